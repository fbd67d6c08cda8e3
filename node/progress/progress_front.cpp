#include "progress/progress_front.h"

#include <charconv>
#include <cstdio>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::string_view kReplayPath = "/progress/";
constexpr Duration kReplayPause = 200ms;  // between two looks for further events
// Looks in a row that may find nothing of a stream that had entries: its last events may still be
// on their way to the store.
constexpr int kMaxEmptyLooks = 5;

const ExtraHeaders kStreamHeaders = {{"Content-Type", "text/event-stream"},
                                     {"Cache-Control", "no-store"}};

bool wants_stream(const net::Head& head) {
  std::string_view accept = head.find("Accept");
  while (!accept.empty()) {
    auto comma = accept.find(',');
    std::string_view type = accept.substr(0, std::min(comma, accept.find(';')));
    while (!type.empty() && type.front() == ' ')
      type.remove_prefix(1);
    while (!type.empty() && type.back() == ' ')
      type.remove_suffix(1);
    if (net::same_word(type, "text/event-stream"))
      return true;
    if (comma == std::string_view::npos)
      break;
    accept.remove_prefix(comma + 1);
  }
  return false;
}

// Text from outside may be no UTF-8, which JSON cannot hold.
std::string dump(const json& data) {
  return data.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool is_final(std::string_view type) {
  return type == "done" || type == "refused" || type == "failed" || type == "cancelled";
}

// After such an end the request's ID may be used again, and names the later run.
bool releases_id(std::string_view type) {
  return type == "refused" || type == "cancelled";
}

// The event that ends a stream. The client has its 200 by then, so the status goes in the data.
SseEvent final_event(const FinalAnswer& answer) {
  switch (answer.kind) {
    case FinalAnswer::Kind::served:
      return {.id = {}, .type = "done", .data = answer.result};
    case FinalAnswer::Kind::refused:
      return {.id = {},
              .type = "refused",
              .data = dump({{"status", 503}, {"retry_after_ms", to_ms(answer.retry_after)}})};
    case FinalAnswer::Kind::failed:
      break;
  }
  return {.id = {}, .type = "failed", .data = dump({{"status", answer.timed_out ? 504 : 502}})};
}

}  // namespace

// A stream on its connection: its head goes out with its first event, heartbeats follow while
// nothing else does.
class EventWriter {
 public:
  EventWriter(net::EventLoop& loop, InboundConnection& connection, Duration heartbeat)
      : loop_(loop), connection_(connection), heartbeat_(heartbeat) {}
  ~EventWriter() { loop_.cancel(timer_); }

  bool begun() const { return begun_; }
  std::size_t pending() const { return connection_.pending(); }
  void write(const SseEvent& event) {
    if (!std::exchange(begun_, true))
      connection_.begin_stream(200, kStreamHeaders);
    connection_.stream(write_event(event));
    beat();
  }
  void end() {
    loop_.cancel(timer_);
    connection_.end_stream();
  }

 private:
  void beat() {
    loop_.cancel(timer_);
    timer_ = loop_.at(loop_.now() + heartbeat_, [this] {
      if (pending() == 0)
        connection_.stream(write_comment("still here"));  // a reader that lags gets no more
      beat();
    });
  }

  net::EventLoop& loop_;
  InboundConnection& connection_;
  Duration heartbeat_;
  bool begun_ = false;
  TimerId timer_ = 0;
};

// One request whose client asked for progress. Until the first event it can still be answered with
// a plain status; from then on its end is the one final event. Plug-ins may look at events: those
// wait here, in their order, and never hold up the end.
class ProgressStream final : public Exchange, public ResponseSink, Shaper {
 public:
  ProgressStream(ProgressFront& front, InboundConnection& connection)
      : front_(front),
        connection_(connection),
        writer_(front.loop_, connection, front.settings_.heartbeat) {}
  ~ProgressStream() override {
    for (const Waiting& waiting : waiting_)
      front_.plugins_.take_back(waiting.ticket);
  }

  bool take(Job job) {
    name_ = job.id;
    cls_ = front_.names_.classes[static_cast<std::size_t>(job.class_index)];
    tenant_ = job.tenant;
    auto id = front_.engine_.submit(std::move(job), *this);
    if (id)
      id_ = *id;
    return id.has_value();
  }

  void on_label(const std::string& label) override { label_ = label; }

  void on_progress(const Progress& progress) override {
    if (waiting_.size() >= kMostWaiting) {
      ++front_.counters_.plugin_events_dropped;
      return;
    }
    Waiting event{.started = progress.kind == Progress::Kind::started,
                  .attempt = progress.attempt + 1,
                  .share = progress.share};
    event.ticket = front_.plugins_.shape({.request = name_,
                                          .class_index = cls_,
                                          .label = label_,
                                          .tenant = tenant_,
                                          .attempt = event.attempt,
                                          .share = event.share,
                                          .started = event.started},
                                         *this);
    event.shaped = event.ticket == 0;
    waiting_.push_back(std::move(event));
    tell();
  }

  void on_final(FinalAnswer answer) override {
    for (Waiting& event : waiting_)  // what plug-ins have not said by now counts as their fallback
      if (!event.shaped)
        event.shape = front_.plugins_.take_back(event.ticket), event.shaped = true;
    tell();
    SseEvent event = final_event(answer);
    event.id = std::to_string(++sequence_);
    bool is_plain_refusal = answer.kind == FinalAnswer::Kind::refused && sequence_ == 1;
    if (!is_plain_refusal)  // nothing was told of it, and it may be tried again under its ID
      store(event.type, event.data);
    if (!writer_.begun() && answer.kind != FinalAnswer::Kind::served)
      return respond_final(connection_, answer);
    if (!writer_.begun())
      ++front_.counters_.streams_opened;
    ++front_.counters_.events_sent;
    writer_.write(event);
    writer_.end();
  }

  void on_client_gone() override {
    if (sequence_ > 0) {
      ++sequence_;
      store("cancelled", "{}");
    }
    front_.engine_.on_client_disconnected(id_);
  }

 private:
  static constexpr std::size_t kMostWaiting = 16;  // events that plug-ins look at
  struct Waiting {
    bool started = false;
    int attempt = 1;
    double share = 0;
    std::uint64_t ticket = 0;
    bool shaped = false;
    plugins::Shape shape = {};
  };

  void on_shaped(std::uint64_t ticket, const plugins::Shape& shape) override {
    for (Waiting& event : waiting_)
      if (event.ticket == ticket)
        event.shape = shape, event.shaped = true;
    tell();
  }

  void tell() {
    for (; !waiting_.empty() && waiting_.front().shaped; waiting_.pop_front())
      if (waiting_.front().shape.drop)
        ++front_.counters_.plugin_events_dropped;
      else
        write(waiting_.front());
  }

  void write(const Waiting& event) {
    if (!writer_.begun())
      ++front_.counters_.streams_opened;
    const plugins::Shape& shape = event.shape;
    const std::string& label = shape.has_label ? shape.label : label_;
    json data = {{"attempt", event.attempt}};
    if (!event.started)
      data["share"] = shape.has_share ? shape.share : event.share;
    if (!label.empty())
      data["label"] = label;
    SseEvent out{.id = std::to_string(++sequence_),
                 .type = event.started ? "started" : "progress",
                 .data = dump(data)};
    store(out.type, out.data);
    // A client that does not read costs a bounded amount: it misses progress, and still gets the
    // end.
    if (writer_.pending() > front_.settings_.most_pending) {
      ++front_.counters_.events_dropped;
      return;
    }
    ++front_.counters_.events_sent;
    writer_.write(out);
  }

  // Stores the event numbered `sequence_`.
  void store(const std::string& type, const std::string& data) {
    if (!log_)
      log_ = front_.begin_log(name_);
    if (log_)
      log_->append(sequence_, type, data, is_final(type));
  }

  ProgressFront& front_;
  InboundConnection& connection_;
  EventWriter writer_;
  std::shared_ptr<ProgressLog> log_;
  std::string name_, cls_, label_;
  int tenant_ = 0;
  RequestId id_ = 0;
  std::uint64_t sequence_ = 0;
  std::deque<Waiting> waiting_;
};

// The events of a request that another connection, or another node, had begun: read from the shared
// store. An ID names its first run, as long as that one is stored, unless the run has released the
// ID and a later one follows. Once it has written an event, a replay stays with its run.
class ReplayStream final : public Exchange {
 public:
  ReplayStream(ProgressFront& front, InboundConnection& connection, std::string name,
               std::uint64_t after)
      : front_(front),
        connection_(connection),
        writer_(front.loop_, connection, front.settings_.heartbeat),
        name_(std::move(name)),
        last_(after) {}
  ~ReplayStream() override { front_.loop_.cancel(timer_); }

  // The event that the client has already is read again: if it was the final one, there is
  // nothing to wait for.
  void look() { read(run_, last_, front_.store_->max_entries(), &ReplayStream::on_entries); }

 private:
  using OnEntries = void (ReplayStream::*)(const Store::Entries& entries);

  void read(int run, std::uint64_t from, std::size_t count, OnEntries then) {
    front_.store_->read(
        progress_stream(name_, run), from, count,
        [this, then, alive = std::weak_ptr<int>(alive_)](const Store::Entries* entries) {
          if (alive.expired())
            return;
          if (entries)
            (this->*then)(*entries);
          else
            on_store_silent();
        });
  }

  // A stream that ends without a final event is asked for again by its client.
  void on_store_silent() {
    if (writer_.begun())
      return connection_.abandon();
    connection_.respond(503, "the store does not answer\n", {{"Retry-After", "1"}});
  }

  void on_entries(const Store::Entries& entries) {
    bool may_be_later_run = entries.empty() ? last_ > 0 : releases_id(entries.back().type);
    if (writer_.begun() || !may_be_later_run || run_ >= kMaxStoredRuns)
      return write(entries);
    found_ = entries;
    read(run_ + 1, 1, 1, &ReplayStream::on_first_of_next_run);
  }

  void on_first_of_next_run(const Store::Entries& entries) {
    if (entries.empty())
      return write(std::exchange(found_, {}));
    ++run_;
    look();
  }

  void write(const Store::Entries& entries) {
    empty_looks_ = entries.empty() ? empty_looks_ + 1 : 0;
    bool is_gone = entries.empty() && (last_ == 0 || empty_looks_ > kMaxEmptyLooks);
    if (is_gone && writer_.begun())
      return connection_.abandon();
    if (is_gone)
      return connection_.respond(404, "no such stream\n");
    for (const Store::Entry& entry : entries) {
      bool known = entry.sequence <= last_;
      if (known && is_final(entry.type) && !writer_.begun())
        return connection_.respond(204, "");
      if (known)
        continue;
      last_ = entry.sequence;
      writer_.write({std::to_string(entry.sequence), entry.type, entry.data});
      ++front_.counters_.events_sent;
      if (is_final(entry.type))
        return writer_.end();
      if (writer_.pending() > front_.settings_.most_pending)
        break;  // the rest when the client has read this
    }
    timer_ = front_.loop_.at(front_.loop_.now() + kReplayPause, [this] { again(); });
  }

  void again() {
    if (writer_.pending() <= front_.settings_.most_pending)
      return look();
    timer_ = front_.loop_.at(front_.loop_.now() + kReplayPause, [this] { again(); });
  }

  ProgressFront& front_;
  InboundConnection& connection_;
  EventWriter writer_;
  std::string name_;
  std::uint64_t last_;
  int run_ = 1;
  Store::Entries found_;  // of this run, while the next one is looked for
  int empty_looks_ = 0;
  TimerId timer_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

std::string ProgressFront::random_name() {
  std::random_device random;
  char name[17];
  std::snprintf(name, sizeof name, "%08x%08x", static_cast<unsigned>(random()),
                static_cast<unsigned>(random()));
  return name;
}

std::shared_ptr<ProgressLog> ProgressFront::begin_log(const std::string& request) {
  if (!store_)
    return nullptr;
  std::string run = process_ + "-" + std::to_string(++logs_begun_);
  return std::make_shared<ProgressLog>(*store_, counters_, request, std::move(run));
}

std::unique_ptr<Exchange> ProgressFront::on_request(InboundConnection& connection,
                                                    HttpRequest request) {
  bool stream = wants_stream(request.head);
  if (stream && request.head.method == "GET" && request.head.path().starts_with(kReplayPath))
    return replay(connection, request);
  if (!stream || request.head.method != "POST")
    return platform_.on_request(connection, std::move(request));
  auto job = decode_job(std::move(request), names_);
  if (const auto* rejection = std::get_if<Rejection>(&job)) {
    ++counters_.requests_rejected;
    return connection.respond(rejection->status, rejection->text), nullptr;
  }
  if (platform_.left_early(connection) || platform_.turned_away(connection))
    return nullptr;
  std::get<Job>(job).wants_progress = true;
  auto exchange = std::make_unique<ProgressStream>(*this, connection);
  if (exchange->take(std::move(std::get<Job>(job))))
    return exchange;
  ++counters_.requests_rejected;
  connection.respond(400, "a request with this X-Trace-Id is open\n");
  return nullptr;
}

std::unique_ptr<Exchange> ProgressFront::replay(InboundConnection& connection,
                                                const HttpRequest& request) {
  std::string name(request.head.path().substr(kReplayPath.size()));
  std::uint64_t after = 0;
  std::string_view last = request.head.find("Last-Event-ID");
  auto [end, error] = std::from_chars(last.data(), last.data() + last.size(), after);
  if (!last.empty() && (error != std::errc() || end != last.data() + last.size()))
    return connection.respond(400, "Last-Event-ID is no number\n"), nullptr;
  bool is_id = !name.empty() && name.find(':') == std::string::npos;  // no ID has a colon
  if (!store_ || !is_id)
    return connection.respond(404, "no such stream\n"), nullptr;
  ++counters_.replays;
  auto exchange = std::make_unique<ReplayStream>(*this, connection, std::move(name), after);
  exchange->look();
  return exchange;
}

}  // namespace keelflow
