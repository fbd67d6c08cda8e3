// The messages of an upgrade as lines of JSON: each is decoded as it was encoded, and what is
// malformed ends in an exception. The bytes themselves are recorded in tests/replay.
#include "handover/handover_message.h"

#include <gtest/gtest.h>

namespace keelflow {
namespace {

// Without its end, as the link gives it.
std::string line_of(const HandoverMessage& message) {
  std::string line = encode(message);
  EXPECT_EQ(line.back(), '\n');
  line.pop_back();
  EXPECT_EQ(line.find('\n'), std::string::npos);
  return line;
}

template <typename M>
M restored(const M& message) {
  auto decoded = decode_handover_message(line_of(message));
  EXPECT_TRUE(decoded && std::holds_alternative<M>(*decoded));
  return decoded ? std::get<M>(*decoded) : M{};
}

TEST(HandoverMessage, IsDecodedAsItWasEncoded) {
  EXPECT_EQ(restored(HelloMessage{1, "node-1"}).node, "node-1");
  EXPECT_EQ(restored(HelloMessage{3, "node-1"}).version, 3);
  restored(ReadyMessage{});
  EXPECT_EQ(restored(AdminOverrideMessage{"box\n1", true}).host, "box\n1");
  EXPECT_TRUE(restored(AdminOverrideMessage{"box-1", true}).is_out);
  EXPECT_FALSE(restored(AdminOverrideMessage{"box-1", false}).is_out);
  std::string bytes("\x00\xff\n\x7f", 4);
  EXPECT_EQ(restored(LoadUpdateMessage{bytes}).bytes, bytes);
  EXPECT_EQ(restored(StatusCallbackMessage{"{\"id\":\"A\"}\r\n"}).body, "{\"id\":\"A\"}\r\n");
}

TEST(HandoverMessage, AWelcomeHasItsWritersStateBesideItsOwnKeys) {
  WelcomeMessage welcome = restored(WelcomeMessage{1, "node-1", {{"out", {"box-3"}}}});
  EXPECT_EQ(welcome.version, 1);
  EXPECT_EQ(welcome.node, "node-1");
  EXPECT_EQ(welcome.state.at("out").at(0), "box-3");
}

TEST(HandoverMessage, AnUnknownKindIsIgnoredAndWhatIsMalformedThrows) {
  EXPECT_FALSE(decode_handover_message(R"({"say":"of a later release"})"));
  for (const char* malformed :
       {"", "{", "[]", "{}", R"({"say":1})", R"({"say":"hello"})",
        R"({"say":"welcome","node":"x"})", R"({"say":"by-hand","host":"x"})",
        R"({"say":"by-hand","host":"x","out":1})", R"({"say":"note"})",
        R"({"say":"note","note":"zz"})", R"({"say":"news"})"})
    EXPECT_THROW(decode_handover_message(malformed), std::exception) << malformed;
}

}  // namespace
}  // namespace keelflow
