#include "discovery/list_receiver.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "log/log.h"

namespace keelflow {
namespace {

using log::Subsystem;
using scheduler::ListScope;

ListScope scope_of(const HostList& list) {
  return list.is_complete ? ListScope::full : ListScope::delta;
}

std::optional<HostList> decode_text(const std::string& text, const Names& names) {
  try {
    return decode_list(nlohmann::json::parse(text), names);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::uint64_t count_not_ready(const HostList& list) {
  auto count = std::count_if(list.hosts.begin(), list.hosts.end(), [](const Host& host) {
    return host.entry.state != scheduler::EndpointState::ready;
  });
  return static_cast<std::uint64_t>(count);
}

}  // namespace

ListReceiver::ListReceiver(EndpointDirectory& directory, Names names, Listener listener,
                           Counters& counters)
    : directory_(directory),
      names_(std::move(names)),
      listener_(std::move(listener)),
      counters_(counters) {}

void ListReceiver::set_names(Names names) {
  names_ = std::move(names);
}

std::string ListReceiver::resume_query() const {
  return has_list_ ? "&since=" + std::to_string(version_) : "";
}

ReceivedList ListReceiver::receive(const std::string& text, const ListRequest& request) {
  std::optional<HostList> list = decode_text(text, names_);
  if (!list)
    return {.verdict = ListVerdict::undecodable, .list = {}};
  if (is_stale(*list, request)) {
    if (!list->is_complete && !request.is_first_object)
      return {.verdict = ListVerdict::overtaken, .list = std::move(*list)};
    // Discovery may have restarted its count: the next call asks for the complete list.
    has_list_ = false;
    return {.verdict = ListVerdict::stale, .list = std::move(*list)};
  }
  ListVerdict verdict = list->malformed > 0 ? ListVerdict::malformed_entries : ListVerdict::current;
  return {.verdict = verdict, .list = std::move(*list)};
}

// The first object of a call that asked for the complete list is never stale: it is the
// whole list that discovery has.
bool ListReceiver::is_stale(const HostList& list, const ListRequest& request) const {
  return list.version < version_ && !accepts_any_version_ &&
         !(request.asked_for_all && request.is_first_object);
}

void ListReceiver::apply(const HostList& list) {
  accepts_any_version_ = false;
  publish(list, scope_of(list));
}

void ListReceiver::apply_decoded_entries(const HostList& list) {
  counters_.list_entries_malformed += list.malformed;
  log::warning(Subsystem::discovery, "list-malformed",
               {{"version", list.version}, {"entries", list.malformed}});
  HostList decoded = list;
  decoded.version = version_;
  bool had_list = has_list_;
  publish(decoded, scope_of(list));
  has_list_ = had_list;
}

void ListReceiver::apply_cached(const HostList& list) {
  publish(list, ListScope::cached);
}

void ListReceiver::publish(const HostList& list, ListScope scope) {
  version_ = list.version;
  has_list_ = scope != ListScope::cached || version_ > 0;
  directory_.apply(list, scope);
  scheduler::EndpointList published;
  published.scope = scope;
  for (const Host& host : list.hosts)
    published.entries.push_back(host.entry);
  ++counters_.lists_received;
  log::info(Subsystem::discovery, "list-applied",
            {{"version", list.version},
             {"whole", list.is_complete},
             {"entries", std::uint64_t{list.hosts.size()}},
             {"not_ready", count_not_ready(list)},
             {"cached", scope == ListScope::cached}});
  listener_(std::move(published));
}

}  // namespace keelflow
