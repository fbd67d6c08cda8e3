#include "boxes.h"

#include <sys/socket.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "nodes.h"

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;
constexpr Duration kCallPause = 50ms;
constexpr int kMostCalls = 10;
constexpr std::size_t kMostConnections = 256;  // that a box holds for one node
constexpr std::string_view kJobs = "/jobs/";

double unix_now_ms() {
  return Milliseconds(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

class Box::Port final : public Front {
 public:
  Port(Box& box, std::size_t node)
      : box_(box),
        node_(node),
        server_(box.world_.loop, *this, kMostConnections, box.world_.counters) {}
  std::unique_ptr<Exchange> on_request(InboundConnection& connection,
                                       HttpRequest request) override {
    box_.take(node_, connection, request);
    return nullptr;
  }
  Server& server() { return server_; }

 private:
  Box& box_;
  std::size_t node_;
  Server server_;
};

// One call at a time, each until it is answered or has failed ten times.
class Box::Caller final : ClientConnection::User {
 public:
  Caller(World& world, Box& box, std::size_t node) : world_(world), box_(box), node_(node) {}
  ~Caller() override {
    world_.loop.cancel(timer_);
    drop();
  }

  void tell(const nlohmann::json& news) {
    std::string body = news.dump();
    waiting_.push_back("POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
    next();
  }

 private:
  void next() {
    if (busy_ || waiting_.empty() || node_ >= world_.nodes.size())
      return;
    busy_ = true;
    if (!connection_ || !connection_->open() || connection_->dial() != to()) {
      drop();
      connection_ = std::make_unique<ClientConnection>(world_.loop);
      connection_->attach(this);
      if (!connection_->connect(to()))
        on_broken();
      return;
    }
    connection_->attach(this);
    connection_->send(waiting_.front());
  }
  void on_connected() override { connection_->send(waiting_.front()); }
  void on_head(const net::Head&) override {}
  void on_complete(bool reusable) override {
    done();
    if (!reusable)
      drop();
    next();
  }
  void on_broken() override {
    drop();
    if (++tries_ >= kMostCalls)
      done();
    busy_ = true;
    timer_ = world_.loop.at(world_.loop.now() + kCallPause, [this] {
      busy_ = false;
      next();
    });
  }
  void done() {
    waiting_.pop_front();
    tries_ = 0;
    busy_ = false;
  }
  void drop() {
    if (connection_)
      connection_->close(), world_.loop.dispose(std::move(connection_));
  }

  net::Address to() const { return box_.network_ ? box_.ways_[node_].back : world_.nodes[node_]; }

  World& world_;
  Box& box_;
  std::size_t node_;
  std::deque<std::string> waiting_;
  std::unique_ptr<ClientConnection> connection_;
  bool busy_ = false;
  int tries_ = 0;
  TimerId timer_ = 0;
};

Box::Box(World& world, const BoxPlan& plan, std::string host, std::size_t nodes)
    : world_(world), plan_(plan), host_(std::move(host)) {
  dials_.resize(nodes);
  for (std::size_t i = 0; i < nodes; ++i)
    callers_.push_back(std::make_unique<Caller>(world_, *this, i));
  listen();
  if (!plan.cold)
    return;
  born_ = world_.loop.now();
  born_unix_ms_ = unix_now_ms();
}

Box::~Box() {
  for (auto& [id, job] : jobs_)
    world_.loop.cancel(job.timer), world_.loop.cancel(job.report);
}

void Box::listen() {
  for (std::size_t i = 0; i < dials_.size(); ++i) {
    ports_.push_back(std::make_unique<Port>(*this, i));
    // Not one of those that the kernel gives to whoever connects: a box that is back must find its
    // own free.
    if (dials_[i].in.sin_port == 0)
      dials_[i] = free_address(SOCK_STREAM);
    ports_.back()->server().listen(dials_[i]);
  }
  up_ = true;
}

void Box::stand_in(Network& network, Network::Place place, const std::string& region,
                   const std::vector<net::Address>& nodes) {
  for (std::size_t i = 0; i < nodes.size(); ++i)
    ways_.push_back({network.stream(world_.node_places[i], place, dials_[i]),
                     network.stream(place, world_.node_places[i], nodes[i])});
  network_ = &network;
  place_ = place;
  region_ = region;
}

bool Box::cut_off(std::size_t node) const {
  return network_ && (network_->link(place_, world_.node_places[node]).cut ||
                      network_->link(world_.node_places[node], place_).cut);
}

void Box::unheard(std::size_t node) {
  for (auto& [id, job] : jobs_)
    if (job.node == node && !std::exchange(job.unheard, true))
      world_.rules.attempt_over(id);
}

void Box::over(const Job& job) {
  if (!job.unheard)
    world_.rules.attempt_over(job.id);
}

void Box::count(std::size_t node) {
  ++world_.attempts;
  if (!network_)
    return;
  world_.cross_zone += world_.node_zones[node] != group();
  world_.cross_region += world_.node_regions[node] != region_;
}

double Box::speed() const {
  if (born_ == TimePoint{})
    return plan_.speed;
  double warm = std::clamp(to_ms(world_.loop.now() - born_) / to_ms(world_.cold), 0.0, 1.0);
  return plan_.speed *
         (world_.slow_start_initial_fraction + (1 - world_.slow_start_initial_fraction) * warm);
}

// Whatever reaches a cold box presses on it, also what it turns away.
bool Box::pushed_over(double work_ms) {
  TimePoint now = world_.loop.now();
  if (born_ == TimePoint{} || now >= born_ + world_.cold)
    return false;
  while (!sent_.empty() && sent_.front().first < now - world_.fall)
    sent_.pop_front();
  sent_.emplace_back(now, work_ms);
  double sum = 0;
  for (const auto& [when, work] : sent_)
    sum += work;
  double bears = world_.overload_multiple * speed() * plan_.cores * to_ms(world_.fall);
  world_.cold_fullest = std::max(world_.cold_fullest, sum / bears);
  return sum > bears;
}

void Box::take(std::size_t node, InboundConnection& connection, const HttpRequest& request) {
  std::string_view path = request.head.path();
  if (request.head.method == "DELETE" && path.starts_with(kJobs)) {
    forget(std::string(path.substr(kJobs.size())));
    return connection.respond(200, "");
  }
  std::string id(request.head.find("X-Trace-Id"));
  if (request.head.method != "POST" || id.empty())
    return connection.respond(404, "");
  world_.rules.attempt_began(id, host_, world_.loop.now());
  count(node);
  TimePoint told = world_.drains.counts_as_told(node, host_);
  if (told != TimePoint::max() && world_.loop.now() > told + world_.drain_grace) {
    char late[64];
    std::snprintf(late, sizeof late, " by n%zu, %.2f s after it counted", node,
                  to_ms(world_.loop.now() - told) / 1000);
    world_.rules.drained_box_was_sent(id, host_ + late);
  }
  auto work = world_.works.find(id);
  if (work == world_.works.end())
    return connection.respond(400, "");
  if (pushed_over(work->second.core_ms)) {
    fallen_ = true;
    ++world_.fallen;
    world_.rules.cold_box_fell(host_);
    world_.loop.defer([this] { crash(); });
  }
  bool full = running_ >= plan_.cores && static_cast<double>(queue_.size()) >= plan_.queue;
  if (full || health_ != Health::ready) {
    world_.rules.attempt_over(id);
    return connection.respond(503, "", {{"X-Never-Ran", "1"}});
  }
  accept(connection);
  forget(id);  // given up by its node, whose word of that is still on its way
  jobs_[id] = {.id = id, .node = node};
  queue_.push_back(id);
  if (cut_off(node))
    unheard(node);
  start_next();
}

// The job is taken in both cases.
void Box::accept(InboundConnection& connection) {
  if (!std::bernoulli_distribution(world_.cut_answers)(world_.random))
    return connection.respond(202, "");
  connection.begin_stream(202, {});
  connection.abandon();
}

void Box::start_next() {
  while (running_ < plan_.cores && !queue_.empty()) {
    std::string id = queue_.front();
    queue_.pop_front();
    if (jobs_.contains(id))
      start(id);
  }
}

void Box::start(const std::string& id) {
  Job& job = jobs_.at(id);
  const Work& work = world_.works.at(id);
  job.started = true;
  ++running_;
  callers_[job.node]->tell({{"id", id}, {"from", host_}, {"state", "started"}});
  job.began = world_.loop.now();
  job.speed = speed();
  if (auto saved = world_.saved.find(work.key); saved != world_.saved.end()) {
    job.before_ms = saved->second;
    ++world_.resumed;
  }
  Duration lasts = from_ms((work.core_ms - job.before_ms) / job.speed);
  if (work.idempotency ==
      scheduler::Idempotency::idempotent_with_key) {  // a repeat is dropped: it is answered with
                                                      // what the first one made
    auto before = world_.served[group()].find(work.key);
    if (before != world_.served[group()].end() &&
        world_.loop.now() - before->second.second < work.window)
      lasts = 1ms;
  }
  job.timer = world_.loop.at(world_.loop.now() + lasts, [this, id] { end(id); });
  report(id);
}

void Box::report(const std::string& id) {
  if (world_.progress <= Duration::zero())
    return;
  jobs_.at(id).report = world_.loop.at(world_.loop.now() + world_.progress, [this, id] {
    const Job& job = jobs_.at(id);
    double done = job.before_ms + to_ms(world_.loop.now() - job.began) * job.speed;
    ++world_.reports;
    callers_[job.node]->tell({{"id", id},
                              {"from", host_},
                              {"state", "running"},
                              {"share", std::min(1.0, done / world_.works.at(id).core_ms)}});
    report(id);
  });
}

// A job that is cut off leaves what it had at its last checkpoint; work with effects always starts
// over.
void Box::save(const Job& job) {
  const Work& work = world_.works.at(job.id);
  if (!job.started || work.checkpoint <= Duration::zero() ||
      work.idempotency != scheduler::Idempotency::idempotent)
    return;
  auto kept = (world_.loop.now() - job.began) / work.checkpoint * work.checkpoint;
  if (kept > Duration::zero())
    world_.saved[work.key] = job.before_ms + to_ms(kept) * job.speed;
}

void Box::end(const std::string& id) {
  Job job = jobs_.at(id);
  const Work& work = world_.works.at(id);
  TimePoint now = world_.loop.now();
  std::string result = id + " by " + host_;
  auto& served = world_.served[group()];
  auto before = served.find(work.key);
  bool repeat = work.idempotency == scheduler::Idempotency::idempotent_with_key &&
                before != served.end() && now - before->second.second < work.window;
  if (work.idempotency == scheduler::Idempotency::idempotent_with_key && !repeat)
    served[work.key] = {result, now};
  ++runs_;
  world_.loop.cancel(job.report);
  world_.saved.erase(work.key);
  world_.rules.ran(id, host_, group(), result, now);
  over(job);
  jobs_.erase(id);
  --running_;
  callers_[job.node]->tell({{"id", id}, {"from", host_}, {"state", "done"}, {"result", result}});
  start_next();
}

void Box::forget(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end())
    return;
  world_.loop.cancel(it->second.timer);
  world_.loop.cancel(it->second.report);
  save(it->second);
  running_ -= it->second.started;
  // Begun is as good as done where it must not run twice.
  if (it->second.started)
    world_.rules.ran(id, host_, group(), "", world_.loop.now());
  over(it->second);
  jobs_.erase(it);
  std::erase(queue_, id);
  start_next();
}

void Box::crash() {
  if (!up_)
    return;
  up_ = false;
  health_ = Health::gone;
  if (network_)
    network_->down(place_, true);
  ports_.clear();  // with all connections
  while (!jobs_.empty()) {
    std::string id = jobs_.begin()->first;
    queue_.clear();
    forget(id);
  }
}

void Box::revive() {
  if (up_)
    return;
  born_ = world_.loop.now();
  born_unix_ms_ = unix_now_ms();
  sent_.clear();
  fallen_ = false;
  health_ = Health::ready;
  world_.drains.ready(host_);
  listen();
  if (network_)
    network_->down(place_, false);
}

void Box::drain(bool on) {
  if (!up_)
    return;
  health_ = on ? Health::draining : Health::ready;
  if (on)
    world_.drains.drained(host_, world_.loop.now());
  else
    world_.drains.ready(host_);
}

void Box::remove() {
  if (!up_)
    return;
  health_ = Health::gone;
  world_.drains.drained(host_, world_.loop.now());
}

}  // namespace keelflow::lab
