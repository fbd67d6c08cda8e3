#include "store/progress_log.h"

#include <utility>

namespace keelflow {

namespace {

// Events that wait for a stream. Further progress events are left out, a final event is not.
constexpr std::size_t kMaxWaiting = 32;

}  // namespace

std::string progress_stream(const std::string& request, int number) {
  std::string name = "keelflow:progress:" + request;
  return number == 1 ? name : name + ":" + std::to_string(number);  // no ID has a colon
}

ProgressLog::~ProgressLog() {
  counters_.store_skipped += waiting_.size();
}

void ProgressLog::append(std::uint64_t sequence, std::string type, std::string data,
                         bool is_final) {
  Store::Entry entry{
      .sequence = sequence, .type = std::move(type), .data = std::move(data), .run = {}};
  if (state_ == State::claimed)
    return write(entry);
  if (state_ == State::abandoned || (waiting_.size() >= kMaxWaiting && !is_final)) {
    ++counters_.store_skipped;
    return;
  }
  waiting_.push_back(std::move(entry));
  if (state_ == State::unclaimed)
    claim();
}

// Without an answer the stream stays unclaimed, and the next event tries again.
void ProgressLog::claim() {
  Store::Entry first = waiting_.front();
  first.run = run_;
  bool is_sent = store_.append(
      progress_stream(request_, number_), first,
      [self = shared_from_this()](Store::AppendResult result) { self->on_claim_result(result); });
  state_ = is_sent ? State::claiming : State::unclaimed;
}

void ProgressLog::on_claim_result(Store::AppendResult result) {
  switch (result) {
    case Store::AppendResult::stored:
      return on_claimed();
    case Store::AppendResult::refused:
      return check_owner();
    case Store::AppendResult::unknown:
      state_ = State::unclaimed;
  }
}

// The stream may be this run's own: the answer to an earlier claim was lost with its connection.
void ProgressLog::check_owner() {
  store_.read(progress_stream(request_, number_), 1, 1,
              [self = shared_from_this()](const Store::Entries* entries) {
                self->on_first_entry(entries);
              });
}

void ProgressLog::on_first_entry(const Store::Entries* entries) {
  if (!entries)
    state_ = State::unclaimed;
  else if (!entries->empty() && entries->front().run == run_)
    on_claimed();
  else
    try_next_stream();
}

void ProgressLog::try_next_stream() {
  if (number_ < kMaxStoredRuns) {
    ++number_;
    return claim();
  }
  state_ = State::abandoned;
  counters_.store_skipped += waiting_.size();
  waiting_.clear();
}

void ProgressLog::on_claimed() {
  state_ = State::claimed;
  waiting_.pop_front();
  for (const Store::Entry& entry : std::exchange(waiting_, {}))
    write(entry);
}

void ProgressLog::write(const Store::Entry& entry) {
  if (!store_.append(progress_stream(request_, number_), entry))
    ++counters_.store_skipped;
}

}  // namespace keelflow
