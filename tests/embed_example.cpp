// The README's example: an embedder's loop in small.
#include <iostream>

#include "reedlb/dispatcher.h"

int main() {
  reedlb::Settings settings;
  settings.classes.resize(1);  // one class, safe to repeat
  settings.try_limit = 3;
  reedlb::Dispatcher dispatcher(settings, /*seed=*/42);

  reedlb::Actions actions;
  reedlb::EndpointList list;
  list.entries.push_back({.endpoint = 7});
  dispatcher.handle(0.0, list, actions);

  reedlb::Arrival job;
  job.request = 1;
  job.ttl_ms = 5000;
  job.hint = 120;
  dispatcher.handle(1.0, job, actions);

  int sends = 0;
  for (const reedlb::Action& action : actions)
    if (const auto* send = std::get_if<reedlb::Send>(&action)) {
      std::cout << "send request " << send->request << " to worker " << send->endpoint << "\n";
      ++sends;
    }
  return sends == 1 ? 0 : 1;
}
