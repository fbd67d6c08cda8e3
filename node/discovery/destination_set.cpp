#include "discovery/destination_set.h"

namespace keelflow {

DestinationSet::DestinationSet(net::EventLoop& loop, net::Address discovery, Names names,
                               Listener listener, Counters& counters, std::uint64_t seed)
    : receiver_(directory_, std::move(names), std::move(listener), counters),
      lease_(
          loop, counters, [this] { return watches_.status(); },
          [this](bool may_send) { notify_lease(may_send); }),
      watches_(loop, discovery, receiver_, lease_, watch_callbacks(), counters, seed) {}

void DestinationSet::start(const discovery::CallPolicy& policy,
                           const discovery::LeaseTerms& terms) {
  change(policy, terms);
  notify_lease(false);  // a list from before the start may be arbitrarily old
  watches_.start();
}

void DestinationSet::change(const discovery::CallPolicy& policy,
                            const discovery::LeaseTerms& terms) {
  watches_.change(policy);
  lease_.change(terms);
}

void DestinationSet::notify_lease(bool may_send) const {
  if (on_lease)
    on_lease(may_send);
}

WatchManager::Callbacks DestinationSet::watch_callbacks() {
  return {.on_call_accepted =
              [this] {
                if (on_watch_established)
                  on_watch_established();
              },
          .on_descriptors_exhausted =
              [this] {
                return on_pressure && on_pressure();
              }};
}

}  // namespace keelflow
