#include "core/attempt.h"

namespace keelflow {

bool Attempt::change_state(AttemptEvent event) {
  AttemptState next = state;
  switch (event) {
    case AttemptEvent::start_reported:
      if (state == AttemptState::sent)
        next = AttemptState::started;
      else if (state == AttemptState::cancelling)
        next = AttemptState::cancelling_started;
      break;
    case AttemptEvent::cancel_requested:
      if (state == AttemptState::sent)
        next = AttemptState::cancelling;
      else if (state == AttemptState::started)
        next = AttemptState::cancelling_started;
      break;
    case AttemptEvent::end_reported:
      next = AttemptState::ended;
      break;
  }
  if (next == state)
    return false;
  state = next;
  return true;
}

}  // namespace keelflow
