// What the end of a connection proves about an attempt, by what was seen before it.
#include "attempt_evidence/attempt_evidence.h"

#include <gtest/gtest.h>

namespace keelflow::attempt_evidence {
namespace {

TEST(AttemptEvidence, NothingRunsBeforeTheLastByteIsWritten) {
  EXPECT_EQ(conclude({.response_status = kAcceptedStatus}), Conclusion::never_ran);
}

TEST(AttemptEvidence, WithoutAResponseTheConnectionsEndEndsTheAttempt) {
  EXPECT_EQ(conclude({.is_fully_written = true}), Conclusion::ended);
}

TEST(AttemptEvidence, TheHeadOfAnAcceptanceIsAnAcceptance) {
  EXPECT_EQ(conclude({.is_fully_written = true,
                      .has_status_callback = true,
                      .response_status = kAcceptedStatus}),
            Conclusion::accepted);
}

TEST(AttemptEvidence, WhatCannotBeReadOrWasReportedAsStartedMayBeRunning) {
  EXPECT_EQ(conclude({.is_fully_written = true, .may_be_acceptance = true}),
            Conclusion::may_be_running);
  EXPECT_EQ(conclude({.is_fully_written = true, .has_status_callback = true}),
            Conclusion::may_be_running);
  EXPECT_EQ(
      conclude({.is_fully_written = true, .has_status_callback = true, .response_status = 500}),
      Conclusion::may_be_running);
}

TEST(AttemptEvidence, AResponseMayBeAnAcceptanceUpToTheFirstByteThatDiffers) {
  for (const char* start : {"H", "HTTP/1.", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 2", "HTTP/1.0 20",
                            "HTTP/1.1 202", "HTTP/1.1 202 Acc"})
    EXPECT_TRUE(may_be_acceptance(start)) << start;
  for (const char* start : {"", "SSH", "HTTP/2", "HTTP/1.1 5", "HTTP/1.1 200 OK", "HTTP/1.1x"})
    EXPECT_FALSE(may_be_acceptance(start)) << start;
}

TEST(AttemptEvidence, AnotherResponseOrTheEndOfAnEventStreamEndsTheAttempt) {
  EXPECT_EQ(conclude({.is_fully_written = true, .response_status = 503}), Conclusion::ended);
  EXPECT_EQ(conclude({.is_fully_written = true,
                      .is_streaming = true,
                      .has_status_callback = true,
                      .response_status = 200}),
            Conclusion::ended);
}

}  // namespace
}  // namespace keelflow::attempt_evidence
