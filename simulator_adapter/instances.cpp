#include "simulator_adapter/instances.h"

#include "simulator_adapter/settings.h"

namespace keelflow::simulator_adapter {

using scheduler::Actions;
using scheduler::Dispatcher;
using scheduler::Settings;

std::string Instances::play(const Header& header, std::string_view body, std::string& log) {
  ReplyWriter reply;
  Actions actions;
  bool named = false;
  std::uint32_t current = 0;
  auto address = [&](std::uint32_t id) {
    if (!named || current != id)
      reply.instance(id);
    named = true;
    current = id;
  };
  for (const Addressed& event : read_body(header, body)) {
    if (const auto* spawn = std::get_if<Spawn>(&event.record)) {
      Settings settings = read_settings(spawn->profile);
      try {
        table_[event.instance].dispatcher = std::make_unique<Dispatcher>(settings, spawn->salt);
        table_[event.instance].homes.emplace(settings);
        table_[event.instance].turns.emplace(settings, header.now);
      } catch (const std::invalid_argument& fault) {
        throw SettingsError(fault.what());
      }
    } else if (std::holds_alternative<Stop>(event.record)) {
      table_.erase(event.instance);
    } else if (const auto* unknown = std::get_if<Unknown>(&event.record)) {
      bool& logged = table_[event.instance].unknown_logged[unknown->code];
      if (!logged)
        log += "simulator_adapter: event code " + std::to_string(unknown->code) + " skipped\n";
      logged = true;
    } else if (const auto* input = std::get_if<Event>(&event.record)) {
      auto it = table_.find(event.instance);
      if (it == table_.end() || !it->second.dispatcher)
        continue;  // not started: nothing to decide for
      actions.clear();
      try {
        it->second.dispatcher->handle(header.now, *input, actions);
        std::vector<Event> told;
        if (auto homes = it->second.homes->after(*input))
          told.push_back(std::move(*homes));
        it->second.turns->after(header.now, *input, *it->second.dispatcher, told, actions);
        for (const Event& one : told)
          it->second.dispatcher->handle(header.now, one, actions);
      } catch (const std::exception& fault) {
        address(event.instance);
        reply.give_in(fault.what());
        continue;
      }
      if (!actions.empty())
        address(event.instance);
      for (const Action& action : actions)
        reply.action(action);
    }
  }
  return reply.finish();
}

}  // namespace keelflow::simulator_adapter
