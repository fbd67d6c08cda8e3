#include "crowd.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <random>

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;
constexpr Duration kSlack = 50ms;  // the protocol's, on a deadline
constexpr Duration kAtOnce = 1ms;  // a rude client's pause, and one's that was given no advice
constexpr std::size_t kMostIdle = 400;
constexpr int kLeft = -1;  // in place of a status: the client did not wait for it

}  // namespace

class Crowd::Call final : ClientConnection::User {
 public:
  Call(Crowd& owner, Job job, std::string id, std::size_t node)
      : owner_(owner), job_(std::move(job)), id_(std::move(id)), node_(node) {}
  ~Call() override { owner_.world_.loop.cancel(timer_); }

  void begin() {
    const ClassPlan& class_plan = owner_.plan_.classes[static_cast<std::size_t>(job_.class_index)];
    began_ = owner_.world_.loop.now();
    deadline_ = began_ + class_plan.patience;
    bool leaves = job_.leaves_after > Duration::zero();
    timer_ = leaves ? owner_.world_.loop.at(began_ + job_.leaves_after, [this] { leave(); })
                    : owner_.world_.loop.at(deadline_ + kSlack, [this] { silent(); });
    connection_ = owner_.pool_.take(static_cast<EndpointId>(node_), owner_.world_.nodes[node_]);
    if (!connection_)
      return;  // the deadline ends it
    connection_->attach(this);
    if (connection_->connected())
      on_connected();
  }
  const Job& job() const { return job_; }
  const std::string& id() const { return id_; }

 private:
  void on_connected() override {
    const ClassPlan& class_plan = owner_.plan_.classes[static_cast<std::size_t>(job_.class_index)];
    std::string request =
        "POST /" + class_plan.name + "/x HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id_ +
        "\r\nX-Customer: t" + std::to_string(job_.tenant) + "\r\nX-Object: " + job_.object +
        "\r\nX-Expires-In-Ms: " +
        std::to_string(std::chrono::floor<std::chrono::milliseconds>(class_plan.patience).count()) +
        "\r\nX-Size-Hint: " + std::to_string(static_cast<std::int64_t>(1000 * job_.hint_ms)) +
        "\r\nIdempotency-Key: " + job_.key + (job_.tries > 0 ? "\r\nX-Second-Try: 1" : "") +
        "\r\nContent-Length: 2\r\n\r\nhi";
    connection_->send(request);
  }
  void on_head(const net::Head& head) override {
    status_ = head.status;
    double seconds = 0;
    std::string_view after = head.find("Retry-After");
    std::from_chars(after.data(), after.data() + after.size(), seconds);
    retry_after_ = from_ms(1000 * seconds);
  }
  void on_body(std::string_view bytes) override { body_ += bytes; }
  void on_complete(bool reusable) override {
    if (reusable)
      owner_.pool_.give_back(static_cast<EndpointId>(node_), std::move(connection_));
    else
      owner_.pool_.discard(std::move(connection_));  // its end must not be taken for this request's
    finish(status_);
  }
  // Between requests a node may close a connection; one that crosses it on the way is sent once
  // more.
  void on_broken() override {
    owner_.pool_.discard(std::move(connection_));
    bool again = connection_tries_++ == 0 && status_ == 0 && owner_.world_.loop.now() < deadline_;
    if (!again)
      return finish(0);
    connection_ =
        owner_.pool_.take(static_cast<EndpointId>(node_), owner_.world_.nodes[node_], true);
    if (!connection_)
      return;
    connection_->attach(this);
  }
  void leave() {
    owner_.pool_.discard(std::move(connection_));
    owner_.world_.rules.client_left(id_, owner_.world_.loop.now());
    owner_.over(*this, kLeft, body_, {});
  }
  void silent() {
    owner_.pool_.discard(std::move(connection_));
    finish(0);
  }
  void finish(int status) {
    owner_.world_.loop.cancel(timer_);
    bool lost = owner_.faulty(node_, began_, owner_.world_.loop.now());
    bool late = owner_.world_.loop.now() > deadline_ + kSlack;
    if (lost && (status == 0 || late))
      ++owner_.lost_with_node_;
    else if (status == 0)
      owner_.world_.rules.unanswered(id_);
    else
      owner_.world_.rules.answered(id_, status, body_, !late);
    owner_.over(*this, status, body_, retry_after_);
  }

  Crowd& owner_;
  Job job_;
  std::string id_, body_;
  std::size_t node_;
  TimePoint began_, deadline_;
  TimerId timer_ = 0;
  std::unique_ptr<ClientConnection> connection_;
  int status_ = 0, connection_tries_ = 0;
  Duration retry_after_{};
};

Crowd::Crowd(World& world, const Plan& plan, std::uint64_t seed)
    : world_(world),
      plan_(plan),
      random_(seed),
      pool_(world.loop, 3s, kMostIdle, world.counters),
      figures_(plan.classes.size()),
      left_(static_cast<std::size_t>(plan.nodes)),
      latencies_(boost::histogram::make_histogram(
          boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
              400, 0.5, 60'000))) {
  for (const ClassPlan& c : plan.classes)
    shares_.push_back(c.share);
  for (const ZonePlan& z : plan.zones)
    zone_loads_.push_back(z.load);
}

void Crowd::load(double factor, const std::string& class_name) {
  if (class_name.empty())
    factor_ = factor;
  for (std::size_t i = 0; i < shares_.size(); ++i)
    if (plan_.classes[i].name == class_name)
      shares_[i] = factor * plan_.classes[i].share;
}

void Crowd::zone_load(const std::string& zone, double factor) {
  for (std::size_t i = 0; i < zone_loads_.size(); ++i)
    if (plan_.zones[i].name == zone)
      zone_loads_[i] = factor * plan_.zones[i].load;
}

bool Crowd::faulty(std::size_t node, TimePoint from, TimePoint to) const {
  auto it = faults_.find(node);
  return it != faults_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](const auto& f) { return f.first <= to && f.second >= from; });
}

// A front brings a zone's clients to the zone's nodes, and to others only where it has none left.
std::size_t Crowd::choose_node() {
  std::size_t first = 0, count = left_.size();
  double sum = std::accumulate(zone_loads_.begin(), zone_loads_.end(), 0.0);
  if (sum > 0) {
    double at = std::uniform_real_distribution<double>(0, sum)(random_);
    std::size_t zone = 0, before = 0;
    for (; zone + 1 < zone_loads_.size() && at >= zone_loads_[zone]; ++zone) {
      at -= zone_loads_[zone];
      before += static_cast<std::size_t>(plan_.zones[zone].nodes);
    }
    auto own = static_cast<std::size_t>(plan_.zones[zone].nodes);
    auto from = left_.begin() + static_cast<std::ptrdiff_t>(before);
    if (!std::all_of(from, from + static_cast<std::ptrdiff_t>(own), [](bool left) { return left; }))
      first = before, count = own;
  }
  std::size_t node = random_(static_cast<std::uint32_t>(count));
  for (std::size_t i = 0; i < count && left_[first + node]; ++i)
    node = (node + 1) % count;
  return first + node;
}

Crowd::~Crowd() {
  world_.loop.cancel(timer_);
}

void Crowd::begin() {
  began_ = due_ = world_.loop.now();
  next();
}

void Crowd::stop() {
  stopped_ = true;
  world_.loop.cancel(timer_);
}

void Crowd::next() {
  // From the moment that was due, not from now: a timer that rings late must not lower the load.
  double plain_sum = 0, share_sum = std::accumulate(shares_.begin(), shares_.end(), 0.0);
  for (const ClassPlan& c : plan_.classes)
    plain_sum += c.share;
  double zones = 0, plain_zones = 0;
  for (std::size_t i = 0; i < zone_loads_.size(); ++i)
    zones += zone_loads_[i], plain_zones += plan_.zones[i].load;
  double factor = factor_ * share_sum / plain_sum * (plain_zones > 0 ? zones / plain_zones : 1);
  due_ += from_ms(1000 * std::exponential_distribution<double>(plan_.load * factor)(random_));
  timer_ = world_.loop.at(due_, [this, share_sum] {
    Job job;
    double at = std::uniform_real_distribution<double>(0, share_sum)(random_);
    while (at >= shares_[static_cast<std::size_t>(job.class_index)] &&
           job.class_index + 1 < static_cast<int>(plan_.classes.size()))
      at -= shares_[static_cast<std::size_t>(job.class_index++)];
    const ClassPlan& class_plan = plan_.classes[static_cast<std::size_t>(job.class_index)];
    job.key = "k" + std::to_string(++last_);
    char object[20];
    std::snprintf(object, sizeof object, "%x",
                  1 + random_(static_cast<std::uint32_t>(plan_.objects)));
    job.object = object;
    job.tenant = static_cast<int>(random_(static_cast<std::uint32_t>(plan_.tenants)));
    double usual = to_ms(class_plan.run);
    job.core_ms =
        usual * std::lognormal_distribution<double>(-class_plan.spread * class_plan.spread / 2,
                                                    class_plan.spread)(random_);
    job.hint_ms = job.core_ms * std::lognormal_distribution<double>(0, 0.2)(random_);
    job.rude = std::bernoulli_distribution(plan_.rude)(random_);
    if (plan_.quitters > 0 && std::bernoulli_distribution(plan_.quitters)(random_))
      job.leaves_after = std::chrono::duration_cast<Duration>(
          std::uniform_real_distribution<double>(0.01, 0.9)(random_) * class_plan.patience);
    job.first = world_.loop.now();
    ClassFigures& f = figures_[static_cast<std::size_t>(job.class_index)];
    ++f.jobs;
    f.worth_asked += class_plan.value;
    auto second = static_cast<std::size_t>(
        std::chrono::floor<std::chrono::seconds>(job.first - began_).count());
    if (seconds_.size() <= second)
      seconds_.resize(second + 1);
    seconds_[second].first += class_plan.value;
    ask(std::move(job));
    if (!stopped_)
      next();
  });
}

void Crowd::ask(Job job) {
  const ClassPlan& class_plan = plan_.classes[static_cast<std::size_t>(job.class_index)];
  std::string id = job.key + "." + std::to_string(job.tries);
  std::size_t node = choose_node();
  ++figures_[static_cast<std::size_t>(job.class_index)].tries;
  world_.works[id] = {job.key, class_plan.idempotency, class_plan.window, job.core_ms,
                      class_plan.checkpoint};
  world_.rules.asked(id, job.key, class_plan.idempotency, class_plan.window);
  auto call = std::make_unique<Call>(*this, std::move(job), std::move(id), node);
  Call* raw = call.get();
  calls_.emplace(raw, std::move(call));
  raw->begin();
}

void Crowd::over(Call& call, int status, const std::string&, Duration retry_after) {
  Job job = call.job();
  const ClassPlan& class_plan = plan_.classes[static_cast<std::size_t>(job.class_index)];
  ClassFigures& f = figures_[static_cast<std::size_t>(job.class_index)];
  retire(call);
  double elapsed = to_ms(world_.loop.now() - job.first);
  if (status == 200) {
    ++f.served;
    latencies_(elapsed);
    if (elapsed > to_ms(class_plan.target) + class_plan.objective_runtime_factor * job.core_ms)
      return;
    ++f.in_time;
    f.worth_in_time += class_plan.value;
    seconds_[static_cast<std::size_t>(
                 std::chrono::floor<std::chrono::seconds>(job.first - began_).count())]
        .second += class_plan.value;
    return;
  }
  if (status == kLeft)
    return;
  bool refused = status == 503 || status == 429;
  ++(status == 0 ? f.silent : refused ? f.refused : f.failed);
  // A keyed try that failed may have run in its group; the next could come to a node that knows
  // nothing of it.
  bool may =
      refused || (status != 0 && class_plan.idempotency == scheduler::Idempotency::idempotent);
  if (!may || job.tries >= class_plan.retries || (stopped_ && elapsed > to_ms(class_plan.patience)))
    return;
  ++job.tries;
  ++retries_;
  Duration pause = job.rude || retry_after <= Duration::zero() ? kAtOnce : retry_after;
  world_.loop.at(world_.loop.now() + pause, [this, job] {
    --retries_;
    ask(job);
  });
}

void Crowd::retire(Call& call) {
  auto it = calls_.find(&call);
  world_.loop.dispose(std::move(it->second));  // it is calling us
  calls_.erase(it);
}

double Crowd::latency(double share) const {
  double total = 0, sum = 0;
  for (double count : latencies_)
    total += count;
  for (int i = 0; i < latencies_.axis().size(); ++i)
    if ((sum += latencies_.at(i)) >= share * total && total > 0)
      return latencies_.axis().bin(i).upper();
  return 0;
}

std::uint64_t Crowd::jobs() const {
  std::uint64_t sum = 0;
  for (const ClassFigures& f : figures_)
    sum += f.jobs;
  return sum;
}

}  // namespace keelflow::lab
