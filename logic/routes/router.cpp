#include "routes/router.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace keelflow::routes {
namespace {

using scheduler::EndpointEntry;
using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::ListScope;

std::size_t at(int i) {
  return static_cast<std::size_t>(i);
}

template <typename T>
bool any_of(const std::vector<T>& values, const auto& test) {
  return values.empty() || std::any_of(values.begin(), values.end(), test);
}

int index_of(const std::vector<std::string>& list, std::string_view name) {
  auto it = std::find(list.begin(), list.end(), name);
  return it == list.end() ? -1 : static_cast<int>(it - list.begin());
}

std::string_view name_at(const std::vector<std::string>& list, int i) {
  return i >= 0 && at(i) < list.size() ? std::string_view(list[at(i)]) : std::string_view();
}

std::vector<bool> flags(const std::vector<std::string>& wanted,
                        const std::vector<std::string>& all) {
  std::vector<bool> out;
  if (wanted.empty())
    return out;
  out.resize(all.size());
  for (std::size_t i = 0; i < all.size(); ++i)
    out[i] = index_of(wanted, all[i]) >= 0;
  return out;
}

bool allowed(const std::vector<bool>& flags, int i) {
  return flags.empty() || (i >= 0 && at(i) < flags.size() && flags[at(i)]);
}

void find_duplicates(const auto& things, const char* what, std::vector<std::string>& out) {
  std::set<std::string> seen;
  for (const auto& thing : things)
    if (!seen.insert(thing.name).second)
      out.push_back(std::string(what) + " '" + thing.name + "' is defined twice");
}

bool matches_all(const RouteSpec& route) {
  return route.classes.empty() && route.tenants.empty() && route.paths.empty();
}

}  // namespace

std::vector<std::string> faults(const Spec& spec) {
  std::vector<std::string> out;
  if (spec.pools.empty() && !spec.routes.empty())
    out.push_back("routes are defined, but no pool");
  if (!spec.pools.empty() && spec.routes.empty())
    out.push_back("pools are defined, but no route");
  if (spec.pools.size() > kMaxPools)
    out.push_back("more than " + std::to_string(kMaxPools) + " pools");
  if (spec.routes.size() > kMaxRoutes)
    out.push_back("more than " + std::to_string(kMaxRoutes) + " routes");
  find_duplicates(spec.pools, "pool", out);
  find_duplicates(spec.routes, "route", out);
  for (std::size_t i = 0; i < spec.routes.size(); ++i) {
    const RouteSpec& route = spec.routes[i];
    double sum = 0;
    std::set<std::string> seen;
    for (const auto& [pool, weight] : route.to) {
      sum += weight;
      bool known = std::any_of(spec.pools.begin(), spec.pools.end(),
                               [&](const PoolSpec& p) { return p.name == pool; });
      if (!known)
        out.push_back("route '" + route.name + "' names pool '" + pool + "', which is not defined");
      if (!seen.insert(pool).second)
        out.push_back("route '" + route.name + "' names pool '" + pool + "' twice");
      if (!std::isfinite(weight) || weight < 0)
        out.push_back("route '" + route.name + "' has a weight that is negative or not finite");
    }
    if (!(sum > 0))
      out.push_back("route '" + route.name + "' sends to no pool: all its weights are zero");
    bool last = i + 1 == spec.routes.size();
    if (!last && matches_all(route))
      out.push_back("route '" + route.name +
                    "' matches all requests, so later routes are never reached");
    if (last && !matches_all(route))
      out.push_back("the last route, '" + route.name +
                    "', must match all requests: it must not have conditions");
  }
  return out;
}

std::vector<std::string> unknown_names(const Spec& spec, const NameLists& names) {
  std::vector<std::string> out;
  auto check_names = [&](const std::vector<std::string>& wanted,
                         const std::vector<std::string>& all, const char* what) {
    for (const std::string& name : wanted)
      if (index_of(all, name) < 0)
        out.push_back(std::string("the platform has no ") + what + " '" + name + "'");
  };
  for (const PoolSpec& pool : spec.pools) {
    check_names(pool.sites, names.zones, "site");
    check_names(pool.kinds, names.kinds, "endpoint class");
  }
  for (const RouteSpec& route : spec.routes) {
    check_names(route.classes, names.classes, "class");
    check_names(route.tenants, names.tenants, "tenant");
  }
  return out;
}

double point_of(const Query& query, std::uint64_t seed) {
  std::string_view text = query.idempotency_key.empty() ? query.id : query.idempotency_key;
  std::uint64_t hash = query.object != 0
                           ? XXH3_64bits_withSeed(&query.object, sizeof query.object, seed)
                           : XXH3_64bits_withSeed(text.data(), text.size(), seed);
  return static_cast<double>(hash >> 11) * 0x1p-53;
}

std::uint64_t affinity_key(const Query& query) {
  std::string_view text = query.idempotency_key.empty() ? query.id : query.idempotency_key;
  return XXH3_64bits_withSeed(text.data(), text.size(),
                              static_cast<std::uint64_t>(query.class_index) + 1);
}

Router::Router(Spec spec, NameLists names, std::vector<scheduler::ClassSettings> classes,
               Timing timing, std::size_t key_entries)
    : spec_(std::move(spec)),
      names_(std::move(names)),
      classes_(std::move(classes)),
      timing_(timing),
      keys_(key_entries) {
  for (const PoolSpec& pool : spec_.pools)
    pool_names_.push_back(pool.name);
  compile();
}

void Router::compile() {
  pool_numbers_.clear();
  for (const PoolSpec& p : spec_.pools)
    pool_numbers_.push_back(index_of(pool_names_, p.name));
  routes_.clear();
  for (const RouteSpec& r : spec_.routes) {
    Route route;
    route.classes = flags(r.classes, names_.classes);
    route.tenants = flags(r.tenants, names_.tenants);
    route.paths = r.paths;
    double sum = 0;
    for (const auto& [name, weight] : r.to)
      sum += weight;
    for (const auto& [name, weight] : r.to)
      route.segments.push_back({index_of(pool_names_, name), weight / sum, 0});
    layout_segments(route);
    routes_.push_back(std::move(route));
  }
  health_.assign(pool_names_.size(), {});
}

void Router::layout_segments(Route& route) {
  double end = 0;
  for (Segment& s : route.segments)
    s.end = end += s.weight;
  route.segments.back().end = 1;
}

std::vector<std::string> Router::numbered_names(const Spec& spec) const {
  std::vector<std::string> names = pool_names_;
  for (const PoolSpec& pool : spec.pools)
    if (index_of(names, pool.name) < 0)
      names.push_back(pool.name);
  return names;
}

bool Router::fits(const Spec& spec) const {
  return numbered_names(spec).size() <= kMaxPools;
}

std::optional<Router::Lists> Router::replace(Spec spec, double now_ms) {
  if (!fits(spec))
    return std::nullopt;
  pool_names_ = numbered_names(spec);
  spec_ = std::move(spec);
  compile();
  for (auto& [id, endpoint] : endpoints_)
    assign_pool(endpoint, now_ms);
  recount_health_by_state(now_ms);
  return complete_list();
}

int Router::pool_for(const Endpoint& endpoint) const {
  std::string_view site = name_at(names_.zones, endpoint.entry.zone),
                   kind = name_at(names_.kinds, endpoint.entry.kind);
  for (std::size_t i = 0; i < spec_.pools.size(); ++i) {
    const PoolSpec& p = spec_.pools[i];
    bool fits = any_of(p.sites, [&](const std::string& s) { return s == site; }) &&
                any_of(p.kinds, [&](const std::string& k) { return k == kind; }) &&
                any_of(p.blocks, [&](int b) { return b == endpoint.entry.cell; }) &&
                any_of(p.hosts, [&](const std::string& h) { return endpoint.host.starts_with(h); });
    if (fits)
      return pool_numbers_[i];
  }
  return -1;
}

bool Router::in_slow_start(const Endpoint& endpoint, double now_ms) const {
  return endpoint.entry.started_at > 0 &&
         now_ms < endpoint.entry.started_at + timing_.slow_start_ms;
}

void Router::assign_pool(Endpoint& endpoint, double now_ms) {
  int pool = pool_for(endpoint);
  if (endpoint.pool >= 0 && pool != endpoint.pool)
    endpoint.joins_at_ms =
        in_slow_start(endpoint, now_ms) ? now_ms + timing_.pool_change_delay_ms : 0;
  endpoint.pool = pool;
}

// Returns whether the endpoint has left another pool, whose Dispatcher must be notified.
bool Router::update_endpoint(EndpointEntry entry, std::string_view host, double now_ms) {
  auto [it, fresh] = endpoints_.try_emplace(entry.endpoint);
  Endpoint& endpoint = it->second;
  endpoint.entry = entry;
  if (!host.empty())
    endpoint.host = host;
  int before = fresh ? -1 : endpoint.pool;
  assign_pool(endpoint, now_ms);
  return before >= 0 && endpoint.pool != before;
}

// The scope is `cached` because the scheduler takes such a list as complete, without concluding
// that the discovery watch works.
EndpointList Router::complete_list(int pool) const {
  EndpointList list;
  list.scope = ListScope::cached;
  for (const auto& [id, endpoint] : endpoints_)
    if (endpoint.pool == pool && endpoint.joins_at_ms <= 0)
      list.entries.push_back(endpoint.entry);
  return list;
}

Router::Lists Router::complete_list() const {
  Lists out;
  for (int i = 0; i < pool_count(); ++i)
    out.emplace_back(i, complete_list(i));
  return out;
}

Router::Lists Router::split(const EndpointList& list,
                            const std::function<std::string_view(scheduler::EndpointId)>& host,
                            double now_ms) {
  Lists out;
  for (int i = 0; i < pool_count(); ++i)
    out.emplace_back(i, EndpointList{list.scope, {}});
  if (list.scope == ListScope::failed)
    return out;
  if (list.scope != ListScope::delta) {  // complete: missing endpoints are gone
    std::set<scheduler::EndpointId> named;
    for (const EndpointEntry& e : list.entries)
      named.insert(e.endpoint);
    std::erase_if(endpoints_, [&](const auto& known) { return !named.contains(known.first); });
  }
  for (const EndpointEntry& e : list.entries) {
    auto known = endpoints_.find(e.endpoint);
    int before = known == endpoints_.end() ? -1 : known->second.pool;
    if (e.state == EndpointState::gone) {
      if (before >= 0)
        out[at(before)].second.entries.push_back(e);
      endpoints_.erase(e.endpoint);
      continue;
    }
    bool left = update_endpoint(e, host(e.endpoint), now_ms);
    const Endpoint& endpoint = endpoints_[e.endpoint];
    if (left && list.scope == ListScope::delta) {
      EndpointEntry gone = e;
      gone.state = EndpointState::gone;
      out[at(before)].second.entries.push_back(gone);
    }
    if (endpoint.pool >= 0 && endpoint.joins_at_ms <= 0)
      out[at(endpoint.pool)].second.entries.push_back(e);
  }
  recount_health_by_state(now_ms);
  if (list.scope == ListScope::delta && pool_count() > 1)
    std::erase_if(out, [](const auto& pool_list) { return pool_list.second.entries.empty(); });
  return out;
}

Router::Lists Router::due(double now_ms) {
  std::set<int> joined;
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.joins_at_ms <= 0 || endpoint.joins_at_ms > now_ms)
      continue;
    endpoint.joins_at_ms = 0;
    if (endpoint.pool >= 0)
      joined.insert(endpoint.pool);
  }
  Lists out;
  for (int pool : joined)
    out.emplace_back(pool, complete_list(pool));
  recount_health_by_state(now_ms);
  return out;
}

std::optional<double> Router::next_due() const {
  std::optional<double> next;
  for (const auto& [id, endpoint] : endpoints_)
    if (endpoint.joins_at_ms > 0 && (!next || endpoint.joins_at_ms < *next))
      next = endpoint.joins_at_ms;
  return next;
}

void Router::recount_health_by_state(double now_ms) {
  next_warm_ms_ = std::numeric_limits<double>::infinity();
  unassigned_ = 0;
  health_.assign(pool_names_.size(), {});
  for (const auto& [id, e] : endpoints_) {
    unassigned_ += e.pool < 0;
    if (e.pool < 0 || e.joins_at_ms > 0)
      continue;
    Health& h = health_[at(e.pool)];
    h.draining += e.entry.state == EndpointState::draining;
    if (e.entry.state != EndpointState::ready)
      continue;
    ++h.ready;
    if (in_slow_start(e, now_ms)) {
      next_warm_ms_ = std::min(next_warm_ms_, e.entry.started_at + timing_.slow_start_ms);
      continue;
    }
    ++h.warm;
    h.warm_share += e.entry.nominal_capacity;
  }
}

const Health& Router::health(int pool, double now_ms) {
  if (now_ms >= next_warm_ms_)
    recount_health_by_state(now_ms);
  return health_.at(at(pool));
}

Choice Router::choose(const Query& query, double now_ms) {
  if (now_ms >= next_warm_ms_)
    recount_health_by_state(now_ms);
  Choice out;
  const Route* route = nullptr;
  for (std::size_t i = 0; i < routes_.size() && !route; ++i) {
    const Route& r = routes_[i];
    bool fits = allowed(r.classes, query.class_index) && allowed(r.tenants, query.tenant) &&
                any_of(r.paths, [&](const std::string& p) { return query.path.starts_with(p); });
    if (fits) {
      route = &r;
      out.route = static_cast<int>(i);
    }
  }
  const scheduler::ClassSettings& class_settings = classes_.at(at(query.class_index));
  bool keyed = class_settings.idempotency == scheduler::Idempotency::idempotent_with_key;
  std::uint64_t key = keyed ? affinity_key(query) : 0;
  int before = keyed ? keys_.find(key, now_ms) : -1;
  if (before >= 0 && is_current(before)) {
    out.pool = before;
    out.kept = true;
  } else {
    double point = point_of(query, static_cast<std::uint64_t>(out.route));
    std::size_t segment_of_point = 0;
    while (segment_of_point + 1 < route->segments.size() &&
           point >= route->segments[segment_of_point].end)
      ++segment_of_point;
    out.pool = route->segments[segment_of_point].pool;
    // If this pool has no ready endpoint, or only endpoints in slow start, the request goes to the
    // route's best pool in these respects; the order after `segment_of_point` breaks ties.
    auto fitness = [&](int pool) {
      return health_[at(pool)].warm > 0 ? 2 : health_[at(pool)].ready > 0 ? 1 : 0;
    };
    int best = fitness(out.pool);
    for (std::size_t i = 1; best < 2 && i < route->segments.size(); ++i) {
      int other = route->segments[(segment_of_point + i) % route->segments.size()].pool;
      if (fitness(other) > best) {
        out.pool = other;
        best = fitness(other);
        out.spilled = true;
      }
    }
  }
  if (keyed)
    keys_.put(key, out.pool,
              now_ms + query.remaining_timeout_ms + class_settings.deduplication_window_ms, now_ms);
  return out;
}

void Router::shift(int route, int from, int to, double share) {
  Route& r = routes_.at(at(route));
  auto find = [&](int pool) {
    return std::find_if(r.segments.begin(), r.segments.end(),
                        [&](auto& s) { return s.pool == pool; });
  };
  double both = find(from)->weight + find(to)->weight;
  find(to)->weight = both * share;
  find(from)->weight = both * (1 - share);
  // The two segments are adjacent, `to` first, so that only the boundary between them moves.
  Segment moved = *find(to);
  r.segments.erase(find(to));
  r.segments.insert(find(from), moved);
  layout_segments(r);
}

int Router::pool(std::string_view name) const {
  int number = index_of(pool_names_, name);
  return number >= 0 && is_current(number) ? number : -1;
}

int Router::route(std::string_view name) const {
  for (std::size_t i = 0; i < spec_.routes.size(); ++i)
    if (spec_.routes[i].name == name)
      return static_cast<int>(i);
  return -1;
}

bool Router::is_current(int pool) const {
  return std::find(pool_numbers_.begin(), pool_numbers_.end(), pool) != pool_numbers_.end();
}

double Router::weight(int route, int pool) const {
  for (const Segment& s : routes_.at(at(route)).segments)
    if (s.pool == pool)
      return s.weight;
  return 0;
}

}  // namespace keelflow::routes
