// Parts of the node that need no socket: parsers, decoders.
#include <gtest/gtest.h>

#include "config/config.h"
#include "inbound/platform_front.h"
#include "net/http.h"
#include "net/timer_queue.h"
#include "outbound/load_report.h"
#include "progress/event_stream.h"

namespace keelflow {
namespace {

using net::HttpParser;

struct Collected : HttpParser::Sink {
  void on_head(const net::Head& h) override { head = h; }
  void on_body(std::string_view b) override { body += b; }
  void on_complete() override { ++complete; }
  net::Head head;
  std::string body;
  int complete = 0;
};

TEST(HttpParser, AnyCutOfTheBytesGivesTheSameMessage) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n5;x=y\r\nhello\r\n1\r\n "
      "\r\n5\r\nworld\r\n0\r\nT: r\r\n\r\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    HttpParser parser(HttpParser::Kind::response, {});
    Collected got;
    for (std::size_t at = 0; at < text.size(); at += step) {
      std::string_view piece = std::string_view(text).substr(at, step);
      EXPECT_EQ(parser.feed(piece, got), piece.size());
    }
    EXPECT_EQ(got.complete, 1) << step;
    EXPECT_EQ(got.body, "hello world");
    EXPECT_EQ(got.head.find("x-a"), "b");
    EXPECT_TRUE(parser.idle());
  }
}

TEST(HttpParser, FaultsAreNamed) {
  using Fault = HttpParser::Fault;
  const std::string post = "POST / HTTP/1.1\r\n";
  for (auto [text, fault] : std::vector<std::pair<std::string, Fault>>{
           {"POST /\r\n\r\n", Fault::malformed},
           {"POST / HTTP/2.0\r\n\r\n", Fault::malformed},
           {"POST x HTTP/1.1\r\n\r\n", Fault::malformed},
           {post + "A : b\r\n\r\n", Fault::malformed},
           {post + "A: b\r\n folded\r\n\r\n", Fault::malformed},
           {post + "A: b\nX-Trace-Id: smuggled\r\n\r\n", Fault::malformed},
           {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", Fault::malformed},
           {post + "Content-Length: -1\r\n\r\n", Fault::malformed},
           {post + "Content-Length: 99999999999999999999999\r\n\r\n", Fault::body_too_large},
           {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Fault::malformed},
           {post + "Content-Length: 1\r\nTransfer-Encoding:\r\n\r\n", Fault::malformed},
           {post + "Content-Length: 1\r\nTransfer-Encoding: \r\nTransfer-Encoding: chunked\r\n\r\n",
            Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
            Fault::malformed},
           {post + "Transfer-Encoding: gzip, chunked\r\n\r\n", Fault::malformed},
           {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", Fault::malformed},
           {post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", Fault::malformed},
           {post + "Content-Length: 1, 1\r\n\r\n", Fault::malformed},
           {post + "Content-Length: +1\r\n\r\n", Fault::malformed},
           {post + "Content-Length: 0x1\r\n\r\n", Fault::malformed},
           {post + "Content-Length:\r\n\r\n", Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\n\r\n+1\r\n", Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\n\r\n0x1\r\n", Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\n\r\n1 1\r\n", Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\n\r\n\r\n", Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\n\r\n1\n", Fault::malformed},
           {"POST /a\x80 HTTP/1.1\r\n\r\n", Fault::malformed},
           {"POST /a\tb HTTP/1.1\r\n\r\n", Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", Fault::malformed},
           {post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
            Fault::body_too_large},
           {post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", Fault::malformed},
           {post + "A: " + std::string(20000, 'x'), Fault::head_too_large},
           {post + "Content-Length: 2\r\n\r\nok", Fault::none}}) {
    HttpParser parser(HttpParser::Kind::request, {});
    Collected got;
    parser.feed(text, got);
    EXPECT_EQ(parser.fault(), fault) << text.substr(0, 80);
  }
}

TEST(HttpParser, ABodyWithoutALengthLastsUntilTheEnd) {
  HttpParser parser(HttpParser::Kind::response, {});
  Collected got;
  parser.feed("HTTP/1.0 200 OK\r\n\r\nall", got);
  EXPECT_EQ(got.complete, 0);
  EXPECT_TRUE(parser.finish(got));
  EXPECT_EQ(got.complete, 1);
  EXPECT_FALSE(got.head.keep_alive);
}

TEST(EventStream, ReadsWhatTheFormatAllowsInAnyPieces) {
  const std::string text =
      "\xEF\xBB\xBF: comment\r\nid: 7\r\nevent: progress\rdata: a\ndata:b\ndata\n\nevent: "
      "lost\n\ndata: x\nretry: 5\n\n"
      "data: cut off";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    SseParser parser;
    std::vector<SseEvent> got;
    for (std::size_t at = 0; at < text.size(); at += step)
      EXPECT_TRUE(parser.feed(std::string_view(text).substr(at, step),
                              [&](const SseEvent& e) { got.push_back(e); }));
    ASSERT_EQ(got.size(), 2u) << step;
    EXPECT_EQ(got[0].type, "progress");
    EXPECT_EQ(got[0].id, "7");
    EXPECT_EQ(got[0].data, "a\nb\n");
    EXPECT_EQ(got[1].type, "message");
    EXPECT_EQ(got[1].id, "7");
    EXPECT_EQ(got[1].data, "x");
  }
}

TEST(EventStream, WhatIsWrittenReadsBackAndCannotForgeAField) {
  SseEvent event{.id = "1\nevent: x", .type = "done", .data = "a\r\nid: 9\r\revent: y\n"};
  SseParser parser;
  std::vector<SseEvent> got;
  parser.feed(write_comment("x\ndata: y") + write_event(event),
              [&](const SseEvent& e) { got.push_back(e); });
  ASSERT_EQ(got.size(), 1u);
  EXPECT_EQ(got[0].type, "done");
  EXPECT_EQ(got[0].id, "1event: x");
  EXPECT_EQ(got[0].data, "a\nid: 9\n\nevent: y\n");
}

TEST(EventStream, AnEventWithoutEndIsCutOff) {
  SseParser parser(100);
  EXPECT_FALSE(parser.feed("data: " + std::string(200, 'x'), [](const SseEvent&) {}));
}

TEST(Config, SettingsAreFlattenedToTheFormOfTheFirstMessage) {
  EXPECT_EQ(
      flatten_settings(
          R"({"a":{"b":1.5,"c":[1,-1],"d":["x y","p,q"]},"e":[{"n":"k"}],"f":true,"g":[],"h":null})"),
      "a.b=1.5\na.c=1,-1\na.d=x_y,p_q\ne.count=1\ne.0.n=k\nf=true\ng=\n");
}

TEST(Config, FaultsAreNamed) {
  for (const char* text : {"", "{}", R"({"listen":"nowhere","discovery":"127.0.0.1:1"})",
                           R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:99999"})"})
    EXPECT_THROW(decode_config(text), ConfigError) << text;
}

TEST(LoadReport, IsOrderedAsTheSettingsName) {
  auto report = read_load_report("TEXT util=0.5, x0=3, odd=7, eps=0.25", {"err_rps", "cpu", "x0"});
  EXPECT_EQ(report.count, 3);
  EXPECT_FLOAT_EQ(report.values[0], 0.25f);
  EXPECT_FLOAT_EQ(report.values[1], 0.5f);
  EXPECT_FLOAT_EQ(report.values[2], 3.f);
  EXPECT_EQ(read_load_report("", {"cpu"}).count, 0);
}

TEST(Job, HintsComeInMicrosecondsAndPropsByName) {
  HttpRequest request;
  request.head.method = "POST";
  request.head.target = "/hold/shelf?x=1";
  request.head.add("x-trace-id", "A");
  request.head.add("X-Expires-In-Ms", "480");
  request.head.add("X-Size-Hint", "160000");
  request.head.add("X-Object", "ff");
  request.head.add("X-Props", "slots=2,memory=1.5,odd=9,bad");
  request.head.add("X-Customer", "oak lane");
  Names names{{"price", "hold"}, {"river", "oak lane"}, {}, {}};
  auto job = std::get<Job>(decode_job(request, names));
  EXPECT_EQ(job.class_index, 1);
  EXPECT_EQ(job.tenant, 1);
  EXPECT_EQ(job.hint, std::chrono::milliseconds(160));
  EXPECT_EQ(job.client_timeout, std::chrono::milliseconds(480));
  EXPECT_EQ(job.key, 255u);
  EXPECT_EQ(job.slots, 2);
  EXPECT_EQ(job.memory, 1.5);
}

TEST(TimerQueue, RunsInOrderOnceAndNotWhatWasCancelledOrAddedMeanwhile) {
  net::TimerQueue timers;
  TimePoint t{};
  std::string ran;
  timers.add(t + Duration(2), [&] { ran += "b"; });
  timers.add(t + Duration(1), [&] {
    ran += "a";
    timers.add(t, [&] { ran += "later"; });
  });
  timers.cancel(timers.add(t + Duration(1), [&] { ran += "x"; }));
  timers.run(t + Duration(5));
  EXPECT_EQ(ran, "ab");
  timers.run(t + Duration(5));
  EXPECT_EQ(ran, "ablater");
  EXPECT_FALSE(timers.next());
}

// The Engine with a clock of the test's own; no endpoint is ever there.
struct Idle final : EndpointPort, TimerPort, ResponseSink {
  void start(AttemptRef, EndpointId, const Job&, const Terms&) override {}
  void cancel(AttemptRef) override {}
  void cancel_unsent(AttemptRef) override {}
  void send_health_check(EndpointId) override {}
  TimePoint now() const override { return time; }
  TimerId at(TimePoint when, std::function<void()> task) override {
    return timers.add(when, std::move(task));
  }
  void cancel(TimerId id) override { timers.cancel(id); }
  void on_final(FinalAnswer answer) override { kind = answer.kind, answered.push_back(time); }
  void advance(TimePoint to) {
    while (timers.next() && *timers.next() <= to)
      time = std::max(time, *timers.next()), timers.run(time);
    time = to;
  }
  TimePoint time = Clock::now();
  net::TimerQueue timers;
  FinalAnswer::Kind kind{};
  std::vector<TimePoint> answered;
};

TEST(Engine, AnswersATickBeforeTheClientGivesUpWhateverTheMomentOfArrival) {
  using namespace std::chrono_literals;
  for (auto offset : {0us, 700us, 1900us, 3999us}) {
    Idle idle;
    UnixClock clock;
    Counters counters;
    scheduler::Settings settings;
    settings.classes.resize(1);
    settings.tick_ms = 4;
    Engine engine(settings, 1, {100, 4ms}, idle, clock, counters);
    engine.set_endpoints(idle);
    idle.advance(idle.time + offset);
    TimePoint deadline = idle.time + 100ms;
    Job job;
    job.id = "A";
    job.client_timeout = 100ms;
    ASSERT_TRUE(engine.submit(job, idle));
    EXPECT_FALSE(engine.submit(job, idle));
    idle.advance(deadline + 1s);
    ASSERT_EQ(idle.answered.size(), 1u);
    EXPECT_EQ(idle.kind, FinalAnswer::Kind::refused);
    EXPECT_LE(idle.answered[0], deadline - 3900us);
    EXPECT_EQ(engine.open_requests(), 0u);
  }
}

TEST(Engine, ARequestWithNoTimeLeftIsAnsweredBeforeTakeReturns) {
  Idle idle;
  UnixClock clock;
  Counters counters;
  scheduler::Settings settings;
  settings.classes.resize(1);
  Engine engine(settings, 1, {1, {}}, idle, clock, counters);
  engine.set_endpoints(idle);
  Job job;
  job.id = "A";
  ASSERT_TRUE(engine.submit(job, idle));
  EXPECT_EQ(idle.answered.size(), 1u);
  job.client_timeout = std::chrono::seconds(1);
  ASSERT_TRUE(engine.submit(job, idle));
  job.id = "B";  // one more than may be open
  ASSERT_TRUE(engine.submit(job, idle));
  EXPECT_EQ(idle.answered.size(), 2u);
  EXPECT_EQ(counters.answers_refused, 2u);
}

}  // namespace
}  // namespace keelflow
