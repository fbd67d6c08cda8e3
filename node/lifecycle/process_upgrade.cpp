#include "lifecycle/process_upgrade.h"

#include <cstdlib>

#include "handover/learned_state_codec.h"
#include "log/log.h"

namespace keelflow {

using log::Subsystem;

namespace {

// The time from an established watch until the list that discovery sends at once is applied.
constexpr Duration kListArrivalTime = std::chrono::milliseconds(30);

}  // namespace

void ProcessUpgrade::begin() {
  const char* folder = std::getenv("TMPDIR");
  if (!folder || !*folder)
    log::warning(Subsystem::node, "no-handover", {{"fault", "TMPDIR is not set"}});
  else
    handover_ = std::make_unique<Handover>(parts_.loop, folder, parts_.config.name,
                                           handover_callbacks(), parts_.counters);
  succession_.emplace(parts_.clock.unix_ms(parts_.loop.now()),
                      handover_ && handover_->connect_to_old_process());
  parts_.loop.at(parts_.clock.at(succession_->latest_ready_ms()), callbacks_.serve_if_ready);
}

Handover::Callbacks ProcessUpgrade::handover_callbacks() {
  return {.welcome = [this] { return welcome(); },
          .on_welcome = [this](const nlohmann::json& message) { on_old_process_state(message); },
          .on_sibling_process = [this](bool is_here) { on_sibling_changed(is_here); },
          .on_new_process_ready =
              [this] {
                has_successor_ = true;
                callbacks_.on_successor_ready();
              },
          .on_admin_override = callbacks_.apply_override,
          .on_load_update =
              [this](const std::string& update) {
                parts_.engine.on_peer_message(parts_.config.settings.rank, update);
              },
          .on_status_callback =
              [this](const std::string& body) {
                auto callback = decode_status_callback(body, parts_.config.report_names);
                return callback && parts_.outbound.news(*callback);
              }};
}

bool ProcessUpgrade::is_done() const {
  // A process between two others forwards status callbacks from its successor to its predecessor.
  // Without a successor it need not, because the predecessor accepts clients again.
  bool forwards_callbacks = handover_ && has_successor_ && handover_->has_old_process();
  return !forwards_callbacks && (!handover_ || handover_->flushed());
}

std::string ProcessUpgrade::waits_for() const {
  return succession_ ? succession_->waits_for(parts_.clock.unix_ms(parts_.loop.now()))
                     : "it starts";
}

void ProcessUpgrade::on_serving() {
  if (handover_)
    handover_->listen();
}

// Discovery sends its pending changes at once: they arrive in this iteration of the loop or the
// next.
void ProcessUpgrade::on_watch_established() {
  parts_.loop.at(parts_.loop.now() + kListArrivalTime, [this] {
    succession_->endpoint_list_received();
    callbacks_.serve_if_ready();
  });
}

void ProcessUpgrade::on_list_before_serving() {
  if (!learned_.empty())
    parts_.engine.restore(learned_);
}

void ProcessUpgrade::send_admin_override(const std::string& host, bool is_out) {
  if (handover_)
    handover_->send_admin_override(host, is_out);
}

bool ProcessUpgrade::forward_status_callback(const std::string& body) {
  return !handover_ || handover_->forward_status_callback(body);
}

nlohmann::json ProcessUpgrade::welcome() const {
  nlohmann::json learned = nlohmann::json::array();
  for (const scheduler::LearnedState& state : parts_.engine.learned_state())
    learned.push_back(to_json(state, parts_.config.names));
  return {{"out", parts_.overrides.disabled_hosts()}, {"knowledge", learned}};
}

void ProcessUpgrade::on_old_process_state(const nlohmann::json& message) {
  for (const auto& host : message.at("out"))
    callbacks_.apply_override(host.get<std::string>(), true);
  learned_.clear();
  for (const auto& state : message.at("knowledge"))
    learned_.push_back(from_json(state, parts_.config.names));
  // Restores the endpoints of the list in the platform's settings; the other endpoints are restored
  // when they are listed.
  parts_.engine.restore(learned_);
  succession_->state_received();
  log::info(Subsystem::node, "taken-over", {{"out", message.at("out").size()}});
  callbacks_.serve_if_ready();
}

void ProcessUpgrade::on_sibling_changed(bool is_here) {
  log::info(Subsystem::node, is_here ? "partner-here" : "partner-gone");
  parts_.server.limit(handover::share_of_limit(limits_.inbound, is_here));
  parts_.connections.most_idle(handover::share_of_limit(limits_.idle_outbound, is_here));
  if (is_here) {
    parts_.engine.set_sibling(
        [this](const std::string& update) { handover_->send_load_update(update); });
    return;
  }
  parts_.engine.set_sibling(nullptr);
  has_successor_ = false;
  parts_.server.accepting(true);
  if (succession_)
    succession_->predecessor_ended();
  callbacks_.serve_if_ready();
}

}  // namespace keelflow
