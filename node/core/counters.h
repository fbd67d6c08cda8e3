/// Counters of the node's requests, attempts and answers; printed on request and at exit.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace keelflow {

// One counter per line.
// clang-format off
#define KEELFLOW_COUNTERS(X) \
  X(requests_taken) \
  X(requests_rejected) \
  X(answers_served) \
  X(answers_refused) \
  X(answers_failed) \
  X(clients_gone) \
  X(attempts_started) \
  X(attempts_served) \
  X(attempts_error) \
  X(attempts_turned_away) \
  X(attempts_written) \
  X(attempts_never_connected) \
  X(attempts_reset) \
  X(attempts_timed_out) \
  X(attempts_cancelled) \
  X(give_ups_unheard) \
  X(news_received) \
  X(news_unmatched) \
  X(probes_sent) \
  X(connections_accepted) \
  X(connections_opened) \
  X(connections_shed) \
  X(connections_worn) \
  X(answers_doubted) \
  X(connections_failed) \
  X(accept_paused) \
  X(lists_received) \
  X(list_entries_malformed) \
  X(watches_opened) \
  X(watches_broken) \
  X(list_leases_expired) \
  X(invariant_violations) \
  X(reloads) \
  X(reloads_failed) \
  X(drain_stage) \
  X(streams_opened) \
  X(events_sent) \
  X(events_dropped) \
  X(slow_readers_closed) \
  X(requests_rehomed) \
  X(requests_spilled) \
  X(requests_kept) \
  X(keys_forgotten) \
  X(log_dropped) \
  X(admin_calls) \
  X(moves_started) \
  X(moves_undone) \
  X(moves_done) \
  X(plugin_asked) \
  X(plugin_not_asked) \
  X(plugin_late) \
  X(plugin_faults) \
  X(plugin_refused) \
  X(plugin_held) \
  X(plugin_holds_cut) \
  X(plugin_hosts_started) \
  X(plugin_hosts_ended) \
  X(plugin_reloads) \
  X(plugin_reloads_failed) \
  X(plugin_lines_dropped) \
  X(plugin_events_dropped) \
  X(peer_messages_sent) \
  X(peer_messages_received) \
  X(peer_messages_dropped) \
  X(peer_messages_unknown) \
  X(fleet_words_sent) \
  X(fleet_bytes_sent) \
  X(members_suspected) \
  X(members_dead) \
  X(news_passed) \
  X(handover_dropped) \
  X(operator_calls) \
  X(operator_callers_ended) \
  X(store_writes) \
  X(store_faults) \
  X(store_skipped) \
  X(store_ids_taken) \
  X(replays) \
  X(input_shed)
// clang-format on

/// Final answers of one class whose client was still connected.
struct ClassAnswerCounts {
  std::uint64_t completed = 0, rejected = 0, failed = 0;
};

/// All counters of the process. Metrics scrapers depend on their names.
struct Counters {
  std::map<std::string, ClassAnswerCounts>
      classes;  // by name; never erased, since a class may be removed and added again
#define X(name) std::uint64_t name = 0;
  KEELFLOW_COUNTERS(X)
#undef X

  std::string text() const {
    std::string out;
#define X(name) out += "keelflow_" #name " " + std::to_string(name) + "\n";
    KEELFLOW_COUNTERS(X)
#undef X
    return out;
  }
};

}  // namespace keelflow
