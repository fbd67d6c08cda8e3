#include "rules.h"

namespace keelflow::lab {
namespace {
constexpr std::size_t kMostExamples = 10;
constexpr Duration kLeftSlack = std::chrono::milliseconds(150);  // 0.1 s, and the way there
}  // namespace

void Rules::breach(const char* rule, const std::string& what) {
  ++broken_;
  ++by_rule_[rule];
  if (examples_.size() < kMostExamples)
    examples_.push_back(std::string(rule) + ": " + what);
}

void Rules::asked(const std::string& id, std::string key, scheduler::Idempotency idempotency,
                  Duration window) {
  Request& r = requests_[id];
  r.key = std::move(key);
  r.idempotency = idempotency;
  r.window = window;
}

void Rules::client_left(const std::string& id, TimePoint now) {
  if (auto it = requests_.find(id); it != requests_.end())
    it->second.client_left = now;
}

void Rules::attempt_began(const std::string& id, const std::string& box, TimePoint now) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return breach("made", "box " + box + " was sent '" + id + "', which nobody asked for");
  if (it->second.client_left != TimePoint::max() && now > it->second.client_left + kLeftSlack)
    breach("left", box + " was sent " + id + ", whose client had gone");
  if (it->second.attempts_out++ > 0)
    breach("one", id + " reached " + box + " while another attempt of it was out");
}

void Rules::attempt_over(const std::string& id) {
  auto it = requests_.find(id);
  if (it != requests_.end() && it->second.attempts_out > 0)
    --it->second.attempts_out;
}

void Rules::ran(const std::string& id, const std::string& box, const std::string& group,
                const std::string& result, TimePoint now) {
  Request& r = requests_[id];
  ++r.runs;
  r.result = result;
  Runs& runs = keys_[r.key];
  if (r.idempotency == scheduler::Idempotency::non_idempotent && runs.count > 0)
    breach("unsafe", r.key + " ran again, as " + id + " at " + box);
  if (r.idempotency == scheduler::Idempotency::idempotent_with_key && runs.count > 0 &&
      runs.group != group && now - runs.at < r.window)
    breach("keyed", r.key + " ran in group " + runs.group + " and in " + group);
  ++runs.count;
  runs.group = group;
  runs.at = now;
}

void Rules::answered(const std::string& id, int status, const std::string& body, bool in_time) {
  Request& r = requests_[id];
  if (++r.answers > 1)
    breach("answer", id + " was answered twice");
  if (!in_time)
    breach("answer", id + " was answered after its client had given up");
  if (status == 200 && (r.runs == 0 || body != r.result))
    breach("made", id + " was served with something that no box made for it");
  if ((status == 503 || status == 429) && r.idempotency == scheduler::Idempotency::non_idempotent &&
      r.runs > 0)
    breach("unsafe", id + " was refused, and has run");
}

void Rules::unanswered(const std::string& id) {
  breach("answer", id + " was never answered");
}
void Rules::drained_box_was_sent(const std::string& id, const std::string& box) {
  breach("drain", id + " went to " + box);
}
void Rules::cold_box_fell(const std::string& box) {
  breach("cold", box + " fell over");
}

}  // namespace keelflow::lab
