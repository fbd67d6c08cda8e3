// Every decision of the scheduler. The interface is scheduler/dispatcher.h; the comments explain
// the mechanism, its source (the paper "DriftSched") and each exception named below.
#include <algorithm>
#include <cmath>

#include "scheduler/dispatcher.h"
#include "scheduler/state.h"
#include "scheduler/tuning.h"

namespace keelflow::scheduler {
struct Dispatcher::Impl : LearnedState::Fleet {
  Settings s;
  Random random;
  Time now = 0;
  Actions* out = nullptr;

  std::unordered_map<RequestId, Request> requests;     // looked up only, never iterated
  std::unordered_map<EndpointId, Endpoint> endpoints;  // looked up only, never iterated
  std::set<EndpointId> listed;                         // the list in force
  std::map<int, std::set<EndpointId>> cells;
  double at_home = 1;  // share of the endpoints that are at home here
  int dead = 0;        // dispatchers that do not live
  bool talks = false;  // to those who are at home where this one is
  std::vector<ClassState> classes;
  std::vector<KindState> kinds;
  std::shared_ptr<TenantQuotas> shares;
  std::size_t held_count = 0;
  KeyCounts key_counts;

  Alarms<Wake> alarms;
  std::uint64_t next_seq = 0;
  std::set<EndpointId> tried;  // while a job is picked for: who had it before
  Time next_dispatch = 0;      // when a sample that missed is tried again

  bool subscribed = false, asking = false, twin = false, may_release = true;
  double ask_backoff = 0;

  Impl(const Settings& settings, std::uint64_t seed, std::shared_ptr<TenantQuotas> given)
      : s(settings),
        random(seed),
        shares(given ? std::move(given) : std::make_shared<TenantQuotas>()) {
    validate(s);
    classes.resize(s.classes.size());
    resize();
  }

  void resize() {
    kinds.resize(at(s.kinds));
    shares->buckets.resize(s.tenant_quota.size());
    for (KindState& k : kinds)
      k.reserved = false;
    for (const auto& c : s.classes)
      if (c.kind >= 0)
        kinds[at(c.kind)].reserved = true;
    start_delay_ms.resize(at(s.zones));
  }

  const ClassSettings& class_settings(const Request& r) const {
    return s.classes[at(r.job.class_index)];
  }

  // ---- calibration: B per class ----

  double mean_hint(int c) const {
    const LearnedState::Calibration& k = classes[at(c)].learned;
    return k.hint_count > 0 ? k.hint_sum / k.hint_count
                            : std::max(1.0, s.classes[at(c)].latency_objective_ms);
  }

  double budget(const Request& r) const {
    return r.job.hint * classes[at(r.job.class_index)].learned.factor;
  }

  double learn(const Request& r, const Attempt& a, Endpoint& w) {
    double run = now - (a.started >= 0 ? a.started : a.sent);
    double service_time_ratio = run / budget(r) * warmth(w);
    learn_pace(w, service_time_ratio);
    double& b = classes[at(r.job.class_index)].learned.factor;
    b += kAlpha * (std::clamp(run / r.job.hint, 1 / kRatioLimit, kRatioLimit) - b);
    mean_run_ms = mean_run_ms > 0 ? mean_run_ms + kAlpha * (run - mean_run_ms) : run;
    return service_time_ratio;
  }

  void learn_pace(Endpoint& w, double service_time_ratio) {
    service_time_ratio = std::clamp(service_time_ratio, 0.25, 4.0);
    w.service_time_ratio += kSlowAlpha * (service_time_ratio - w.service_time_ratio);
    if (!cold(w))
      kinds[at(w.entry.kind)].service_time_ratio +=
          kAlpha * (service_time_ratio - kinds[at(w.entry.kind)].service_time_ratio);
  }

  // ---- endpoint view: own slots, learned concurrency_limit, health, cold allowance ----

  Endpoint* find(EndpointId id) { return find_in(endpoints, id); }
  Request* find_request(RequestId id) { return find_in(requests, id); }

  double slots(const Endpoint& w) const {
    return w.load + w.told.sum(now);
  }  // in flight there, if known
  bool has_room(const Request& r, const Endpoint& w) const {
    return slots(w) <= 0 || slots(w) + r.load <= w.concurrency_limit;
  }

  const SubsetEntry& here(const Endpoint& w) const { return cold(w) ? w.turn.subset : w.home; }

  // Keeps the pools an exact index of the endpoints that are ready, not left alone, and below their
  // concurrency_limit.
  void index(Endpoint& w) {
    bool ready = w.entry.state == EndpointState::ready;
    auto& ring = kinds[at(w.entry.kind)].ring;
    if (!ready)
      ring.erase(mix(w.entry.endpoint));
    if (ready)
      ring.emplace(mix(w.entry.endpoint), w.entry.endpoint);
    bool open =
        ready && now >= w.ejected_until && (slots(w) <= 0 || slots(w) < w.concurrency_limit);
    kinds[at(w.entry.kind)].pools[kOpen].set(w.entry.endpoint, open);
    kinds[at(w.entry.kind)].pools[kHome].set(w.entry.endpoint, open && here(w).is_own);
  }

  void good_sign(Endpoint& w) {
    w.outlier_signs = 0;
    if (slots(w) + 1 >= w.concurrency_limit)
      w.concurrency_limit += 1 / w.concurrency_limit;
    index(w);
  }

  void crowd() { congestion += kAlpha * (1 - congestion); }

  // A endpoint that refused as full or started a job late is left alone a while: others fill it. If
  // it looks ill (failed, or started very late) the rest doubles while no good sign comes, and one
  // job tries it again.
  void bad_sign(Endpoint& w, bool ill) {
    w.concurrency_limit = ill ? 1 : std::max(1.0, w.concurrency_limit * kCapDown);
    double rest = std::max(4 * s.tick_ms, kRest * mean_run_ms);
    if (ill)
      rest *= std::exp2(std::max(w.outlier_signs = std::min(w.outlier_signs + 1, kMaxStrikes),
                                 w.consecutive_failures));
    w.ejected_until = std::max(w.ejected_until, now + rest * (0.75 + 0.5 * random()));
    alarms.add(w.ejected_until, Wake::reindex, w.entry.endpoint);
    index(w);
  }

  // Exception: of many none knows a endpoint. Those at home there tell each other what they see.
  void tell(const Endpoint& w, LoadSignal sign, double service_time_ratio = 1, double work = 0) {
    auto note = encode(
        {w.entry.endpoint, incarnation_tag(w.entry), w.load, sign, service_time_ratio, work});
    if (twin)
      out->emplace_back(SendPeerMessage{s.rank, note});
    if (talks)
      for (int other : here(w).peers)
        out->emplace_back(SendPeerMessage{other, note});
  }

  void take_sign(Endpoint& w, LoadSignal sign) {
    if (sign == LoadSignal::served)
      w.consecutive_failures = 0, good_sign(w);
    if (sign == LoadSignal::full || sign == LoadSignal::late)
      bad_sign(w, false);
    if (sign == LoadSignal::failed)
      w.consecutive_failures = std::min(w.consecutive_failures + 1, kMaxFaults);
    if (sign == LoadSignal::failed || sign == LoadSignal::unreached)
      bad_sign(w, true);
  }

  void on(const PeerMessage& e) {
    auto note = decode_load_update(e.bytes);
    Endpoint* w = note ? find(note->endpoint) : nullptr;
    if (!w || note->life != incarnation_tag(w->entry))
      return;
    bool was_full = slots(*w) >= w->concurrency_limit;
    w->told.set(e.peer, note->load, now + kToldLife);
    if (note->sign == LoadSignal::sent && e.peer == s.rank)
      sent_cold(*w, now, note->work);  // twin's
    if (note->sign == LoadSignal::served)
      learn_pace(*w, note->service_time_ratio);
    take_sign(*w, note->sign);
    // All who wait for a slot hear of it at once: each gives the others a moment to fill it first.
    if (was_full)
      w->ejected_until = std::max(w->ejected_until, now + kGiveWay * random());
    alarms.add(was_full ? w->ejected_until : now + kToldLife, Wake::reindex, note->endpoint);
    index(*w);
  }

  bool cold(const Endpoint& w) const {
    return w.entry.started_at > 0 && now < w.entry.started_at + s.slow_start_ms;
  }
  // The least share of its capacity that it can have by now.
  double warmth(const Endpoint& w) const {
    return cold(w) ? s.slow_start_initial_fraction + (1 - s.slow_start_initial_fraction) *
                                                         std::max(0.0, now - w.entry.started_at) /
                                                         s.slow_start_ms
                   : 1;
  }
  double pace(const Endpoint& w) const {
    return w.service_time_ratio / warmth(w);
  }  // run time here now, over corrected hint

  double cold_work(const Request& r,
                   const Endpoint& w) const {  // as if its kind were as fast as its size says
    double service_time_ratio = std::clamp(kinds[at(w.entry.kind)].service_time_ratio, 0.5, 4.0);
    return std::max(kColdPace * r.job.hint, std::max(r.job.hint, budget(r)) * service_time_ratio);
  }

  // Rule 4: what may still go to a cold endpoint, of the own part of what all may send within a
  // window and of others' that they granted. Of many hardly one sees two jobs at work: up to twice
  // the observed_cores are believed.
  SlowStartBudget slow_start_budget(const Endpoint& w) const {
    double seen = kinds[at(w.entry.kind)].observed_cores,
           observed_cores = std::clamp(w.entry.nominal_capacity, seen, 2 * seen);
    double total =
        kColdMargin * s.overload_multiple * warmth(w) * observed_cores * s.overload_window_ms;
    double own = total * w.turn.fraction - w.cold_sent.sum(now - s.overload_window_ms);
    return {own, w.granted.until > now ? w.granted.work_ms : 0, mean_run_ms};
  }

  void sent_cold(Endpoint& w, Time when, double work) {
    w.cold_sent.add(when, work, now - s.overload_window_ms);
  }

  // ---- the guards: every send passes may_send, every final answer passes may_bounce ----

  bool may_send(const Request& r, Endpoint& w) {
    const ClassSettings& c = class_settings(r);
    if (r.ended || r.streaming || now >= r.deadline || r.attempts.size() >= at(s.max_attempts))
      return false;
    if (w.entry.state != EndpointState::ready)
      return false;  // rule 3
    if (c.kind >= 0 && w.entry.kind != c.kind)
      return false;
    for (const Attempt& a : r.attempts) {  // rule 2
      if (a.fate == Fate::never_ran)
        continue;
      if (a.fate == Fate::out && !s.concurrent_attempts)
        return false;
      if (c.idempotency == Idempotency::non_idempotent)
        return false;
      if (c.idempotency == Idempotency::idempotent)
        continue;
      if (c.deduplication_scope == DeduplicationScope::zone && a.zone != w.entry.zone)
        return false;
      if (c.deduplication_scope == DeduplicationScope::cell && a.cell != w.entry.cell)
        return false;
      if (now > a.sent + kWindowMargin * c.deduplication_window_ms)
        return false;
    }
    return !cold(w) || slow_start_budget(w).total() >= cold_work(r, w);  // rule 4
  }

  bool may_bounce(const Request& r) const {
    const ClassSettings& c = class_settings(r);
    if (c.idempotency == Idempotency::idempotent ||
        (c.idempotency == Idempotency::idempotent_with_key &&
         c.deduplication_scope == DeduplicationScope::all))
      return true;
    return std::ranges::all_of(r.attempts, [](auto& a) { return a.fate == Fate::never_ran; });
  }

  // ---- held queue: smallest corrected budget first ----

  void hold(Request& r) {
    if (r.held || r.ended)
      return;
    r.held = true;
    r.held_since = now;
    ++held_count;
    classes[at(r.job.class_index)].held[r.overdue].emplace(r.size, r.seq, r.job.request);
  }

  void unhold(Request& r) {
    if (!r.held)
      return;
    r.held = false;
    --held_count;
    classes[at(r.job.class_index)].held[r.overdue].erase({r.size, r.seq, r.job.request});
  }

  // Exception: a job that can no longer be in time leaves last, and not while sends meet
  // congestion.
  void overdue(Request& r) {
    bool was_held = r.held;
    unhold(r);
    r.overdue = true;
    if (was_held)
      hold(r);
  }

  // Releases held jobs, smallest corrected budget over all classes first. A class whose first few
  // do not fit is passed over until something changes; a sample that missed is tried again soon.
  void dispatch() {
    if (!may_release)
      return;
    for (int late : {0, 1}) {
      if (late && congestion > kCrowded)
        break;
      std::vector<bool> blocked(classes.size(), false);
      for (int best = 0; held_count > 0 && best >= 0;) {
        best = -1;
        double least = INFINITY;
        for (int c = 0; at(c) < classes.size(); ++c) {
          const Queue& q = classes[at(c)].held[late];
          double f = blocked[at(c)] || q.empty() ? INFINITY : classes[at(c)].learned.factor;
          double b = f < INFINITY ? std::get<0>(*q.begin()) * f : f;
          if (b < least)
            least = b, best = c;
        }
        if (best >= 0)
          blocked[at(best)] = !release_one(classes[at(best)].held[late]);
      }
    }
    if (held_count > 0 && next_dispatch <= now) {
      next_dispatch = now + 10 * s.tick_ms;
      congestion *= 1 - kAlpha / 10;  // with nothing sent, it fades
      alarms.add(next_dispatch, Wake::dispatch);
    }
  }

  bool release_one(const Queue& q) {
    int looked = 0;
    for (auto it = q.begin(); it != q.end() && looked < 3; ++it, ++looked) {
      Request& r = requests.at(std::get<2>(*it));
      if (Endpoint* w = pick(r))
        return send(r, *w), true;
    }
    return false;
  }

  void send(Request& r, Endpoint& w) {
    unhold(r);
    double of_grant =
        cold(w) ? std::min(cold_work(r, w), slow_start_budget(w).granted) : 0;  // it ends sooner
    w.granted.work_ms -= of_grant;
    if (cold(w))
      sent_cold(w, now, cold_work(r, w) - of_grant);
    w.load += r.load;
    ++w.out, w.used = true;
    index(w);
    if (!cold(w) || twin)
      tell(w, LoadSignal::sent, 1, cold_work(r, w));  // of a cold one what ends is news enough
    r.attempts.push_back({w.entry.endpoint, w.entry.zone, w.entry.cell, now});
    out->push_back(SendAttempt{r.job.request, w.entry.endpoint, 0});
    int attempt = static_cast<int>(r.attempts.size()) - 1;
    if (s.reports_start)
      alarms.add(now + patience(w.entry.zone), Wake::late_start, r.job.request, attempt);
  }

  double patience(int zone) const { return 3 * start_delay_ms[at(zone)] + 4 * s.tick_ms + 10; }

  // ---- pick: of a few sampled endpoints with room, the one that holds fewest of this dispatcher's
  // slots ----

  bool usable(const Request& r, Endpoint* w) {
    // Work that must not run twice is not what a failing endpoint is tried again with.
    if (w && w->consecutive_failures > 1 &&
        class_settings(r).idempotency == Idempotency::non_idempotent)
      return false;
    // On a cold endpoint a job may run too long to be in time.
    if (w && cold(*w) &&
        budget(r) * pace(*w) > class_settings(r).latency_objective_ms +
                                   class_settings(r).objective_runtime_factor * r.job.hint)
      return false;
    return w && !tried.count(w->entry.endpoint) && has_room(r, *w) && may_send(r, *w) &&
           kinds[at(w->entry.kind)].pools[kOpen].has(w->entry.endpoint);
  }

  // Exception: a endpoint that runs jobs slower than their corrected hints counts its slots so much
  // dearer. Not for jobs with keys (run times tell of fetches too), nor for a cold one's first: it
  // has to be tried.
  void keep_best(const Request& r, Endpoint*& best, Endpoint* w) const {
    auto cost = [&](const Endpoint& x) {
      return r.job.key || (cold(x) && !x.used) ? slots(x) : (slots(x) + 1) * std::max(1.0, pace(x));
    };
    if (!best || cost(*w) < cost(*best))
      best = w;
  }

  // Exception: a endpoint that had this job before is asked again only where no other has room.
  Endpoint* pick(const Request& r) {
    for (const Attempt& a : r.attempts)
      tried.insert(a.endpoint);
    Endpoint* w = tried.empty() ? nullptr : pick_any(r);
    tried.clear();
    return w ? w : pick_any(r);
  }

  Endpoint* pick_any(const Request& r) {
    const ClassSettings& c = class_settings(r);
    if (c.idempotency == Idempotency::idempotent_with_key &&
        c.deduplication_scope == DeduplicationScope::cell)
      for (const Attempt& a : r.attempts)
        if (a.fate != Fate::never_ran)
          return pick_in_cell(r, a.cell);
    for (bool spare : {true, false})
      if (Endpoint* w = r.job.key != 0 ? pick_by_key(r, spare) : pick_near_home(r, spare))
        return w;
    return nullptr;
  }

  // Exception: a kind that some class cannot do without is spared for it while other kinds have
  // room.
  bool runs_on(const Request& r, int kind, bool spare) const {
    int need = class_settings(r).kind;
    return need < 0 ? !spare || !kinds[at(kind)].reserved : need == kind;
  }

  Endpoint* pick_in_cell(const Request& r, int cell) {
    Endpoint* best = nullptr;
    for (EndpointId id : cells[cell])
      if (Endpoint* w = find(id); usable(r, w))
        keep_best(r, best, w);
    return best;
  }

  // Exception: where dispatchers are many, own slots say little about a endpoint that all use. Each
  // is at home with a few, which sample theirs first. A job that has waited a while for them goes
  // anywhere.
  Endpoint* pick_near_home(const Request& r, bool spare) {
    if (Endpoint* w = sample(kHome, r, spare))
      return w;
    double wait = kOverflow * mean_run_ms * (1 + kCrowdWait * congestion * (1 - at_home));
    if (r.held && now - r.held_since < wait)
      return nullptr;
    return sample(kOpen, r, spare);
  }

  Endpoint* sample(PoolName name, const Request& r, bool spare) {
    std::size_t total = 0;
    auto size = [&](int k) {
      return runs_on(r, k, spare) ? kinds[at(k)].pools[name].size() : 0;
    };
    for (int k = 0; k < s.kinds; ++k)
      total += size(k);
    Endpoint* best = nullptr;
    for (int hits = 0, draws = 0; total > 0 && hits < kCandidates && draws < kDraws; ++draws) {
      auto n = static_cast<std::size_t>(random() * static_cast<double>(total));
      int k = 0;
      while (n >= size(k))
        n -= size(k++);
      Endpoint* w = find(kinds[at(k)].pools[name][n]);
      if (usable(r, w))
        ++hits, keep_best(r, best, w);
    }
    return best;
  }

  // Exception: a job with a key is sampled among its key's own endpoints, the same at every
  // dispatcher: the hash's ring neighbours, as many as its share of the traffic needs. Others would
  // have to fetch what it needs from a shared store while slots stand idle. A job that has waited
  // about as long as a fetch takes looks one further.
  Endpoint* pick_by_key(const Request& r, bool spare) {
    std::vector<std::pair<std::uint64_t, EndpointId>> near;
    double fleet = 0;
    for (int k = 0; k < s.kinds; ++k) {
      const auto& ring = kinds[at(k)].ring;
      if (!runs_on(r, k, spare) || ring.empty())
        continue;
      fleet += static_cast<double>(ring.size());
      std::uint64_t h = r.job.key;
      for (int i = 0; i < kKeyProbes; ++i) {
        auto it = ring.lower_bound(h = mix(h));
        if (it == ring.end())
          it = ring.begin();
        near.emplace_back(it->first - h, it->second);
      }
    }
    std::sort(near.begin(), near.end());
    double waited = r.held ? (now - r.held_since) / (kFetchRuns * mean_run_ms + s.tick_ms) : 0;
    double wide = std::ceil(key_counts.share(r.job.key) * fleet * kKeySpread) + waited;
    EndpointId last = 0;
    Endpoint* best = nullptr;
    for (const auto& [distance, id] : near) {
      if (id != last && --wide < 0)
        break;
      last = id;
      if (Endpoint* w = find(id); usable(r, w))
        keep_best(r, best, w);
    }
    return best;
  }

  // The tier factor S_tenant: a tenant's share, split evenly over the living, is a bucket that
  // fills with time. A job that finds it empty counts as larger by as much as it is worth less.
  bool within_share(int tenant) {
    if (tenant < 0 || at(tenant) >= shares->buckets.size() || s.over_quota_weight >= 1)
      return true;
    TenantQuotas::Bucket& share = shares->buckets[at(tenant)];
    double rate = s.tenant_quota[at(tenant)] / std::max(1, s.dispatchers - dead) / 1000;
    share.tokens =
        std::min(share.tokens + rate * (now - share.refilled_at), std::max(1.0, kShareSpan * rate));
    share.refilled_at = now;
    if (share.tokens < 1)
      return false;
    share.tokens -= 1;
    return true;
  }

  // ---- ends of a request ----

  void finish(Request& r) {
    if (r.ended)
      return;
    out->push_back(may_bounce(r) ? Action(RejectRequest{r.job.request, come_back()})
                                 : Action(FailRequest{r.job.request}));
    end(r);
  }

  // A refusal goes out at once and says when to try again: about when one of a endpoint's slots is
  // free.
  double come_back() const {
    if (!s.retry_after)
      return 0;
    double least = 4 * s.tick_ms;
    return std::clamp(kComeBack * mean_run_ms, least, std::max(least, s.max_retry_after_ms));
  }

  void end(Request& r) {  // attempts still out are called off; forget_if_done comes next
    unhold(r);
    r.ended = true;
    for (std::size_t i = 0; i < r.attempts.size(); ++i)
      if (r.attempts[i].fate == Fate::out && !r.attempts[i].recalled && s.cancel && !r.streaming)
        recall(r, static_cast<int>(i));
  }

  void recall(Request& r, int attempt) {
    r.attempts[at(attempt)].recalled = true;
    out->push_back(CancelAttempt{r.job.request, attempt});
  }

  bool any_out(const Request& r) const {
    return std::any_of(r.attempts.begin(), r.attempts.end(),
                       [](auto& a) { return a.fate == Fate::out; });
  }

  void forget_if_done(RequestId id) {
    Request* r = find_request(id);
    if (r && r->ended && !any_out(*r))
      requests.erase(id);
  }

  // ---- event handlers ----

  void on(const RequestArrived& e) {
    if (find_request(e.request))
      return;
    if (e.class_index < 0 || at(e.class_index) >= s.classes.size())
      return out->push_back(RejectRequest{e.request, come_back()});
    Request& r = requests[e.request];
    r.job = e;
    bool hinted = std::isfinite(e.hint) && e.hint > 0;
    if (hinted)
      classes[at(e.class_index)].learned.hint_sum += e.hint,
          ++classes[at(e.class_index)].learned.hint_count;
    if (!hinted)
      r.job.hint = mean_hint(e.class_index);
    r.within = within_share(e.tenant);
    r.size = r.job.hint * e.queue_weight *
             (r.within ? 1 : std::min(kTenantLimit, 1 / s.over_quota_weight));
    r.load = std::clamp(std::max({1.0, e.slots, e.memory}), 1.0, 1e6);
    r.seq = next_seq++;
    r.deadline = now + (std::isfinite(e.client_timeout_ms) ? e.client_timeout_ms : 0) - s.tick_ms;
    if (e.key != 0)
      key_counts.count(e.key);
    if (r.deadline <= now)
      return finish(r), forget_if_done(e.request);
    alarms.add(r.deadline, Wake::deadline, e.request);
    double slack = class_settings(r).latency_objective_ms +
                   (class_settings(r).objective_runtime_factor - 1) * r.job.hint;
    if (now + slack < r.deadline)
      alarms.add(now + slack, Wake::overdue, e.request);
    hold(r);
  }

  Attempt* find_attempt(RequestId id, int attempt) {  // only while it is out
    Request* r = find_request(id);
    if (!r || attempt < 0 || at(attempt) >= r->attempts.size())
      return nullptr;
    Attempt& a = r->attempts[at(attempt)];
    return a.fate == Fate::out ? &a : nullptr;
  }

  void on(const AttemptStarted& e) {
    Attempt* a = find_attempt(e.request, e.attempt);
    if (!a || a->started >= 0)
      return;
    a->started = now;
    Endpoint* w = find(a->endpoint);
    if (!w)
      return;
    ++w->started;
    double& observed_cores = kinds[at(w->entry.kind)].observed_cores;
    if (!cold(*w))
      observed_cores = std::max(observed_cores, static_cast<double>(w->started));
    w->outlier_signs = 0;
    double delay = now - a->sent;
    if (delay > patience(a->zone))
      return;
    double& usual = start_delay_ms[at(a->zone)];
    usual = usual > 0 ? usual + kAlpha * (delay - usual) : delay;
    congestion -= kAlpha * congestion;
    good_sign(*w);
  }

  void on(const ResponseStreamStarted& e) {
    if (Request* r = find_request(e.request))
      r->streaming = true;
  }

  void on(const ClientDisconnected& e) {
    Request* r = find_request(e.request);
    if (!r)
      return;
    bool shared = r->job.tenant >= 0 && at(r->job.tenant) < shares->buckets.size();
    if (e.is_rerouted && r->within && shared)
      ++shares->buckets[at(r->job.tenant)].tokens;
    end(*r), forget_if_done(e.request);
  }

  void on(const AttemptFinished& e) {
    Attempt* a = find_attempt(e.request, e.attempt);
    if (!a)
      return;
    Request& r = requests.at(e.request);
    bool never = e.result == AttemptResult::rejected || e.result == AttemptResult::connect_failed ||
                 e.result == AttemptResult::withheld;
    a->fate = never ? Fate::never_ran : Fate::may_have_run;
    if (Endpoint* w = find(a->endpoint))
      settle(*w, r, *a, e.result);
    if (e.request_finished && !r.ended)
      end(r);
    if (!r.ended && (e.result == AttemptResult::timeout || now >= r.deadline))
      finish(r);
    if (!r.ended && !any_out(r))
      retry(r);
    forget_if_done(e.request);
  }

  void settle(Endpoint& w, const Request& r, const Attempt& a, AttemptResult result) {
    w.load = --w.out <= 0 ? 0 : w.load - r.load;
    if (a.started >= 0)
      --w.started;
    // A endpoint that fails at once looks empty: starting a job proves nothing of it, only serving
    // one does.
    bool none = result == AttemptResult::cancelled || result == AttemptResult::withheld,
         ok = result == AttemptResult::ok;
    LoadSignal sign = none                                ? LoadSignal::none
                      : ok                                ? LoadSignal::served
                      : result == AttemptResult::rejected ? LoadSignal::full
                                                          : LoadSignal::failed;
    if (result == AttemptResult::connect_failed)
      sign = LoadSignal::unreached;
    if (!none && !ok)
      crowd();
    tell(w, sign, ok ? learn(r, a, w) : 1);
    take_sign(w, sign);
    index(w);
    if (w.out <= 0 && w.entry.state == EndpointState::gone)
      endpoints.erase(a.endpoint);
  }

  // Another attempt if the class allows one anywhere, else the end.
  void retry(Request& r) {
    const ClassSettings& c = class_settings(r);
    bool can = r.attempts.size() < at(s.max_attempts);
    for (const Attempt& a : r.attempts)
      if (a.fate != Fate::never_ran && c.idempotency != Idempotency::idempotent)
        can = can && c.idempotency == Idempotency::idempotent_with_key &&
              now < a.sent + kWindowMargin * c.deduplication_window_ms;
    can ? hold(r) : finish(r);
  }

  // Exception: a job that waits at a endpoint is called back when another has room; not with a key:
  // it fetches. Where one attempt at a time is allowed it first loses its place, so only after a
  // long silence.
  void late_start(RequestId id, int attempt) {
    Attempt* a = find_attempt(id, attempt);
    if (!a || a->started >= 0 || a->recalled)
      return;
    Request& r = requests.at(id);
    double waited = now - a->sent;
    if (Endpoint* w = find(a->endpoint))
      crowd(), bad_sign(*w, waited > 2 * mean_run_ms), tell(*w, LoadSignal::late);
    alarms.add(now + std::max(4 * patience(a->zone), 0.5 * mean_run_ms), Wake::late_start, id,
               attempt);
    if (!s.cancel || r.job.key != 0 || r.attempts.size() + 1 >= at(s.max_attempts))
      return;
    if (!s.concurrent_attempts && (congestion > kCrowded || waited <= kSilent * mean_run_ms))
      return;
    // Called back it counts as one that may have run; what may follow then is asked now, while it
    // is out.
    a->fate = Fate::may_have_run;
    bool elsewhere = pick(r);
    a->fate = Fate::out;
    if (elsewhere)
      recall(r, attempt);
  }

  void on(const EndpointList& e) {
    if (e.scope == ListScope::failed)
      return subscribed = asking = false, ask_again();
    if (e.scope != ListScope::cached)
      subscribed = true, asking = false, ask_backoff = 0;
    if (e.scope != ListScope::delta) {  // a complete list: whoever is missing is gone
      std::set<EndpointId> missing = listed;
      for (const auto& n : e.entries)
        missing.erase(n.endpoint);
      for (EndpointId id : missing)
        drop(id);
    }
    for (const auto& n : e.entries)
      apply(n);
    if (s.polls_list && e.scope == ListScope::cached)
      ask_again();
  }

  void apply(const EndpointEntry& n) {
    if (n.state == EndpointState::gone)
      return drop(n.endpoint);
    if (n.zone < 0 || n.zone >= s.zones || n.kind < 0 || n.kind >= s.kinds)
      return drop(n.endpoint);
    Endpoint* w = find(n.endpoint);
    bool same = w && listed.count(n.endpoint) && w->entry.started_at == n.started_at &&
                w->entry.zone == n.zone && w->entry.kind == n.kind && w->entry.cell == n.cell;
    if (!same) {
      Endpoint fresh;  // attempts at its former life still count
      if (w)
        fresh.load = w->load, fresh.out = w->out, fresh.started = w->started;
      drop(n.endpoint);
      w = &(endpoints[n.endpoint] = fresh);
      w->entry = n;
      w->service_time_ratio = kinds[at(n.kind)].service_time_ratio;  // until it has shown its own
      w->turn.fraction = 1.0 / s.dispatchers;
      if (cold(*w))
        alarms.add(n.started_at + s.slow_start_ms, Wake::reindex,
                   n.endpoint);  // at home there are others then
      listed.insert(n.endpoint);
      cells[n.cell].insert(n.endpoint);
    }
    w->entry.state = n.state;
    index(*w);
  }

  void drop(EndpointId id) {
    if (!listed.erase(id))
      return;
    Endpoint& w = endpoints[id];
    w.entry.state = EndpointState::gone;
    index(w);
    auto cell = cells.find(w.entry.cell);
    cell->second.erase(id);
    if (cell->second.empty())
      cells.erase(cell);
    if (w.out <= 0)
      endpoints.erase(id);
  }

  // Spread by the number of dispatchers, slower after failures, yet never slower than
  // poll_within_ms requires.
  void ask_again() {
    if (!s.polls_list)
      return;
    double spread = std::min(0.2 * s.poll_within_ms, 40.0 * (s.dispatchers - 1) + ask_backoff);
    ask_backoff = std::min(0.2 * s.poll_within_ms, 2 * ask_backoff + 200);
    alarms.add(now + spread * random(), Wake::subscribe);
  }

  // Jobs that have used up a stricter limit on attempts end here: held, they would wait in vain.
  void on(const SettingsChanged& e) {
    s = e.settings;
    std::vector<ClassState> old = classes;
    classes.resize(s.classes.size());
    for (int c = 0; at(c) < classes.size(); ++c)
      classes[at(c)].learned =
          e.learned_from[at(c)] < 0 ? ClassState{}.learned : old[at(e.learned_from[at(c)])].learned;
    resize();
    for (const ClassState& c : classes)
      for (const Queue& held : c.held)
        for (const auto& [size, seq, id] : Queue(held))
          if (requests.at(id).attempts.size() >= at(s.max_attempts))
            finish(requests.at(id)), forget_if_done(id);
  }

  void on(const SiblingProcess& e) { twin = e.is_present; }
  void on(const SendPermission& e) { may_release = e.is_allowed; }
  void on(const MembershipChanged& e) {
    dead = static_cast<int>(std::count(e.is_alive.begin(), e.is_alive.end(), false));
  }

  void on(const SubsetChanged& e) {
    double own = 0;
    for (const SubsetEntry& at : e.endpoints) {
      own += at.is_own;
      if (Endpoint* w = find(at.endpoint))
        w->home = at, index(*w);
    }
    at_home = own / std::max(1.0, static_cast<double>(e.endpoints.size()));
    talks = e.shares_load;
  }

  void on(const SlowStartShares& e) {
    for (const SlowStartShare& at : e.endpoints)
      if (Endpoint* w = find(at.subset.endpoint); w && w->entry.started_at == at.started_at)
        w->turn = at, index(*w);
  }

  void on(const SlowStartGrant& e) {
    Endpoint* w = find(e.endpoint);
    if (!w || w->entry.started_at != e.started_at)
      return;
    e.is_received ? void(w->granted = e) : sent_cold(*w, e.until, e.work_ms);
  }

  void on(const LearnedState& k) {
    for (int c = 0; at(c) < classes.size(); ++c)
      classes[at(c)].learned = k.classes.at(at(c));
    for (int i = 0; i < s.kinds; ++i)
      static_cast<LearnedState::KindSpeed&>(kinds[at(i)]) = k.kinds.at(at(i));
    static_cast<LearnedState::Fleet&>(*this) = k.fleet;
    for (const LearnedState::Endpoint& seen : k.endpoints) {
      Endpoint* w = find(seen.endpoint);
      if (!w || w->entry.started_at != seen.started_at)
        continue;
      static_cast<LearnedState::Health&>(*w) = seen.health;
      w->told.set(s.rank, seen.in_flight, now + kToldLife);
      sent_cold(*w, now, seen.slow_start_work_ms);
      for (Time when : {w->ejected_until, now + kToldLife})
        alarms.add(when, Wake::reindex, seen.endpoint);
      index(*w);
    }
  }

  LearnedState learned_state(Time t) {
    LearnedState k;
    k.kinds.assign(kinds.begin(), kinds.end());
    k.fleet = *this;
    for (const ClassState& c : classes)
      k.classes.push_back(c.learned);
    for (EndpointId id : listed) {
      Endpoint& w = endpoints[id];
      k.endpoints.push_back(
          {id, w.entry.started_at, w, w.load, w.cold_sent.sum(t - s.overload_window_ms)});
    }
    return k;
  }

  void on(const TimerFired& e) { alarms.rang(e.id); }
  void on(const auto&) {}  // probe results: nothing is decided on them

  void ring(const Alarms<Wake>::Alarm& a) {
    Request* r = a.wake == Wake::deadline || a.wake == Wake::overdue ? find_request(a.id) : nullptr;
    if (r && a.wake == Wake::overdue && !r->ended)
      overdue(*r);
    if (r && !r->ended && !r->streaming && r->deadline <= now)
      finish(*r), forget_if_done(a.id);
    if (a.wake == Wake::late_start)
      late_start(a.id, a.attempt);
    if (Endpoint* w = a.wake == Wake::reindex ? find(a.id) : nullptr)
      index(*w);
    if (a.wake == Wake::subscribe && !subscribed && !asking)
      asking = true, out->push_back(PollEndpointList{});
  }

  void handle(Time t, const Event& event, Actions& actions) {
    now = std::max(now, t);
    out = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
    while (alarms.due(now))
      ring(alarms.pop());
    dispatch();
    if (!alarms.must_arm())
      return;
    Time when = alarms.arm();
    actions.push_back(SetTimer{alarms.name(), when});
  }
};

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed,
                       std::shared_ptr<TenantQuotas> shares)
    : impl_(std::make_unique<Impl>(settings, seed, std::move(shares))) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Time now, const Event& event, Actions& out) {
  impl_->handle(now, event, out);
}
double Dispatcher::calibration(int class_index) const {
  return impl_->classes.at(at(class_index)).learned.factor;
}
std::size_t Dispatcher::queued_requests() const {
  return impl_->held_count;
}
LearnedState Dispatcher::learned_state(Time now) const {
  return impl_->learned_state(now);
}
SlowStartBudget Dispatcher::slow_start_budget(EndpointId endpoint, Time now) const {
  impl_->now = std::max(impl_->now, now);
  const Endpoint* w = impl_->find(endpoint);
  return w && impl_->cold(*w) ? impl_->slow_start_budget(*w) : SlowStartBudget{};
}
bool Dispatcher::is_ejected(EndpointId endpoint, Time now) const {
  const Endpoint* w = impl_->find(endpoint);
  return w && w->entry.state == EndpointState::ready && now < w->ejected_until &&
         w->outlier_signs + w->consecutive_failures > 0;
}

}  // namespace keelflow::scheduler
