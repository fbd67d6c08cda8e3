/// The example in the README: a minimal program that embeds the scheduler.
#include <iostream>

#include "scheduler/dispatcher.h"

int main() {
  keelflow::scheduler::Settings settings;
  settings.classes.resize(1);  // one class, idempotent
  settings.max_attempts = 3;
  keelflow::scheduler::Dispatcher dispatcher(settings, /*seed=*/42);

  keelflow::scheduler::Actions actions;
  keelflow::scheduler::EndpointList list;
  list.entries.push_back({.endpoint = 7});
  dispatcher.handle(0.0, list, actions);

  keelflow::scheduler::RequestArrived request;
  request.request = 1;
  request.client_timeout_ms = 5000;
  request.hint = 120;
  dispatcher.handle(1.0, request, actions);

  int sends = 0;
  for (const keelflow::scheduler::Action& action : actions)
    if (const auto* send = std::get_if<keelflow::scheduler::SendAttempt>(&action)) {
      std::cout << "send request " << send->request << " to worker " << send->endpoint << "\n";
      ++sends;
    }
  return sends == 1 ? 0 : 1;
}
