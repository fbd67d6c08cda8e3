/// Passes the records of a batch to the instances that they address.
#include "simulator_adapter/instance_table.h"

#include <optional>
#include <utility>

#include "simulator_adapter/settings_decoder.h"

namespace keelflow::simulator_adapter {

using scheduler::Actions;

InstanceTable::Instance::Instance(const scheduler::Settings& settings, std::uint64_t seed,
                                  double now)
    : dispatcher(settings, seed), subsets(settings), leases(settings, now) {}

void InstanceTable::Instance::handle(double now, const Event& event, Actions& actions) {
  dispatcher.handle(now, event, actions);
  std::vector<Event> follow_ups;
  if (auto subset = subsets.after(event))
    follow_ups.emplace_back(std::move(*subset));
  leases.after(now, event, dispatcher, follow_ups, actions);
  for (const Event& follow_up : follow_ups)
    dispatcher.handle(now, follow_up, actions);
}

class InstanceTable::AddressedReply {
 public:
  void write(std::uint32_t instance, const Actions& actions) {
    if (actions.empty())
      return;
    address(instance);
    for (const Action& action : actions)
      writer_.action(action);
  }
  void write_failure(std::uint32_t instance, std::string_view reason) {
    address(instance);
    writer_.write_instance_failure(reason);
  }
  std::string finish() { return writer_.finish(); }

 private:
  void address(std::uint32_t instance) {
    if (addressed_ != instance)
      writer_.instance(instance);
    addressed_ = instance;
  }

  ReplyWriter writer_;
  std::optional<std::uint32_t> addressed_;
};

void InstanceTable::spawn(std::uint32_t id, const SpawnInstance& spawn, double now) {
  scheduler::Settings settings = read_settings(spawn.settings);
  try {
    instances_[id] = std::make_unique<Instance>(settings, spawn.seed, now);
  } catch (const std::invalid_argument& error) {
    throw SettingsError(error.what());
  }
}

void InstanceTable::log_unknown(std::uint32_t id, int code, std::string& log) {
  bool is_new = unknown_codes_[id].insert(code).second;
  if (is_new)
    log += "simulator_adapter: skipped event with unknown code " + std::to_string(code) + "\n";
}

void InstanceTable::handle(std::uint32_t id, double now, const Event& event,
                           AddressedReply& reply) {
  auto it = instances_.find(id);
  if (it == instances_.end())
    return;  // the instance is not running
  Actions actions;
  try {
    it->second->handle(now, event, actions);
  } catch (const std::exception& error) {
    return reply.write_failure(id, error.what());
  }
  reply.write(id, actions);
}

std::string InstanceTable::process_batch(const BatchHeader& header, std::string_view body,
                                         std::string& log) {
  AddressedReply reply;
  for (const AddressedRecord& addressed : read_body(header, body)) {
    std::uint32_t id = addressed.instance;
    if (const auto* start = std::get_if<SpawnInstance>(&addressed.record)) {
      spawn(id, *start, header.now);
    } else if (std::holds_alternative<StopInstance>(addressed.record)) {
      instances_.erase(id);
      unknown_codes_.erase(id);
    } else if (const auto* unknown = std::get_if<Unknown>(&addressed.record)) {
      log_unknown(id, unknown->code, log);
    } else if (const auto* event = std::get_if<Event>(&addressed.record)) {
      handle(id, header.now, *event, reply);
    }
  }
  return reply.finish();
}

}  // namespace keelflow::simulator_adapter
