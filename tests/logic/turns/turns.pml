/* Model of slow-start leases: one owner's part of the budget of an endpoint that is warming up, the borrowers that request
 * leases on it, and a network that loses, duplicates, reorders and arbitrarily delays messages. Each node may stall at any
 * time (it takes no step while time advances) and may restart with no state but a new incarnation. The checked invariant:
 * all work sent within any window is at most the part. The steps are those of slow_start_leases.cpp, slow_start_owner.cpp
 * and slow_start_borrower.cpp in logic/fleet; slow_start_leases_replay.cpp plays random runs of the model against them.
 *
 * Times are in units, work is in ms. The defaults are small, for the search; the replay sets the real ratios.
 */
#ifndef STEP
#define STEP 1  /* units by which time advances */
#define LENGTH 2  /* of a lease, by the borrower's clock */
#define OWNER_LENGTH 3  /* of a lease, by the owner's clock: the length plus the drift */
#define RETURN_BEFORE_END 1  /* a lease is returned when at most this much time remains */
#define WINDOW 1
#define PART 2
#define JOB_WORK 1
#define REQUESTED_WORK 1
#define END 5  /* time at which a run ends */
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 1  /* of each node */
#endif
#ifndef BORROWERS
#define BORROWERS 2
#endif
#ifndef MAX_IN_FLIGHT
#define MAX_IN_FLIGHT 1  /* messages in the network */
#endif
#define STEPS (END / STEP + 2)

/* Setting one of these to 0 removes one guard. The search must then find a violation; otherwise it could not show that the
 * guard is needed. */
#ifndef WAIT_AFTER_RESTART
#define WAIT_AFTER_RESTART 1
#endif
#ifndef CHECK_LEASE_END
#define CHECK_LEASE_END 1
#endif
#ifndef CHECK_REQUEST_NUMBERS
#define CHECK_REQUEST_NUMBERS 1
#endif
#ifndef COUNT_LEASE_AT_END
#define COUNT_LEASE_AT_END 1
#endif
#ifndef RETURN_ONCE
#define RETURN_ONCE 1
#endif

#define LEASE_REQUEST 1
#define LEASE_GRANT 2
#define LEASE_RETURN 3
chan network = [MAX_IN_FLIGHT] of { byte, byte, byte, byte, short };  /* kind, borrower, its incarnation, number, work */

short now;
short sent[STEPS];  /* by time: work actually sent */
short sent_by_owner[STEPS];  /* by time: work that the owner knows it sent */
short granted[STEPS];  /* by time of the grant: work granted and not returned */
short owner_waits_until;
byte owner_restarts;

typedef Borrower {
  byte incarnation, number;
  bool is_awaiting_reply;
  short requested_at, held_work, until, started_at
};
Borrower borrowers[BORROWERS];
typedef GrantedLease {
  byte incarnation, number;
  short work, granted_at;
  bool is_returned
};
GrantedLease granted_leases[BORROWERS];

/* Temporary variables, not part of the state. */
hidden byte borrower, incarnation, number, kind;
hidden short k, work, sum, remaining;

inline check_window() {
  sum = 0;
  for (k : 0 .. STEPS - 1) {
    if
    :: k * STEP <= now && k * STEP >= now - WINDOW ->
        sum = sum + sent[k]
    :: else
    fi
  }
  assert(sum <= PART)
}

/* Clears values that are outside every window and past every lease's end, as they no longer matter. */
inline clear_expired() {
  for (k : 0 .. STEPS - 1) {
    if
    :: k * STEP + OWNER_LENGTH < now - WINDOW ->
        sent[k] = 0;
        sent_by_owner[k] = 0;
        granted[k] = 0
    :: else
    fi
  }
  k = 0;
  for (k : 0 .. BORROWERS - 1) {
    if
    :: now - borrowers[k].requested_at >= LENGTH && borrowers[k].held_work == 0 ->
        borrowers[k].until = 0
    :: else
    fi;
    if
    :: granted_leases[k].granted_at + OWNER_LENGTH < now - WINDOW ->
        granted_leases[k].work = 0;
        granted_leases[k].granted_at = 0;
        granted_leases[k].is_returned = true
    :: else
    fi
  }
  k = 0
}

inline compute_remaining() {
  sum = 0;
  for (k : 0 .. STEPS - 1) {
    if
    :: k * STEP <= now && k * STEP >= now - WINDOW ->
        sum = sum + sent_by_owner[k]
    :: else
    fi;
    if
    :: k * STEP <= now && k * STEP + (COUNT_LEASE_AT_END -> OWNER_LENGTH : 0) >= now - WINDOW ->
        sum = sum + granted[k]
    :: else
    fi
  }
  remaining = PART - sum;
  if
  :: WAIT_AFTER_RESTART && now < owner_waits_until ->
      remaining = 0
  :: else
  fi
}

inline give_back(borrower) {
  if
  :: borrowers[borrower].held_work > 0 ->
      if
      :: len(network) < MAX_IN_FLIGHT ->
          network ! LEASE_RETURN, borrower, borrowers[borrower].incarnation,
              borrowers[borrower].number, borrowers[borrower].held_work;
          printf("#sent\n")
      :: else ->
          printf("#unsent\n")
      fi
  :: else
  fi;
  borrowers[borrower].held_work = 0;
  borrowers[borrower].until = 0
}

/* Returns a lease that is about to end. */
inline return_if_ending(borrower) {
  if
  :: borrowers[borrower].until > now && borrowers[borrower].until - now <= RETURN_BEFORE_END ->
      give_back(borrower)
  :: else
  fi
}

/* A job arrives at a borrower: it uses the lease, and requests another one if too little work is left. */
inline arrive(borrower) {
  if
  :: borrowers[borrower].held_work >= JOB_WORK && (!CHECK_LEASE_END ||
      borrowers[borrower].until > now) ->
      borrowers[borrower].held_work = borrowers[borrower].held_work - JOB_WORK;
      sent[now / STEP] = sent[now / STEP] + JOB_WORK;
      printf("#arrive %d used\n", borrower);
      check_window()
  :: else ->
      printf("#arrive %d held\n", borrower)
  fi;
  return_if_ending(borrower);
  if
  :: (borrowers[borrower].held_work < JOB_WORK || (CHECK_LEASE_END &&
      borrowers[borrower].until <= now)) && !(borrowers[borrower].is_awaiting_reply &&
          borrowers[borrower].requested_at == now) ->
      if
      :: borrowers[borrower].until > now ->
          give_back(borrower)
      :: else ->
          borrowers[borrower].held_work = 0
      fi;
      borrowers[borrower].number++;
      borrowers[borrower].requested_at = now;
      borrowers[borrower].is_awaiting_reply = true;
      if
      :: len(network) < MAX_IN_FLIGHT ->
          network ! LEASE_REQUEST, borrower, borrowers[borrower].incarnation,
              borrowers[borrower].number, 0;
          printf("#sent\n")
      :: else ->
          printf("#unsent\n")
      fi
  :: else
  fi
}

inline on_request() {
  compute_remaining();
  work = (remaining / 2 < REQUESTED_WORK -> remaining / 2 : REQUESTED_WORK);
  if
  :: (!CHECK_REQUEST_NUMBERS || incarnation > granted_leases[borrower].incarnation ||
      (incarnation == granted_leases[borrower].incarnation &&
          number > granted_leases[borrower].number)) && work >= JOB_WORK ->
      granted_leases[borrower].incarnation = incarnation;
      granted_leases[borrower].number = number;
      granted_leases[borrower].work = work;
      granted_leases[borrower].granted_at = now;
      granted_leases[borrower].is_returned = false;
      granted[now / STEP] = granted[now / STEP] + work;
      printf("#grant %d\n", work);
      if
      :: len(network) < MAX_IN_FLIGHT ->
          network ! LEASE_GRANT, borrower, incarnation, number, work;
          printf("#sent\n")
      :: else ->
          printf("#unsent\n")
      fi
  :: else ->
      printf("#nothing\n")
  fi
}

inline on_return() {
  if
  :: granted_leases[borrower].incarnation == incarnation &&
      granted_leases[borrower].number == number && (!granted_leases[borrower].is_returned ||
          !RETURN_ONCE) ->
      granted_leases[borrower].is_returned = true;
      granted[granted_leases[borrower].granted_at / STEP] =
          granted[granted_leases[borrower].granted_at / STEP] -
              (work < granted_leases[borrower].work -> work : granted_leases[borrower].work);
      printf("#nothing\n")
  :: else ->
      printf("#nothing\n")
  fi
}

inline on_grant() {
  return_if_ending(borrower);
  if
  :: (borrowers[borrower].is_awaiting_reply || !CHECK_REQUEST_NUMBERS) &&
      incarnation == borrowers[borrower].incarnation && number == borrowers[borrower].number ->
      borrowers[borrower].is_awaiting_reply = false;
      if
      :: now < borrowers[borrower].requested_at + LENGTH || !CHECK_LEASE_END ->
          borrowers[borrower].held_work = work;
          borrowers[borrower].until = borrowers[borrower].requested_at + LENGTH;
          printf("#got %d\n", work)
      :: else ->
          borrowers[borrower].until = 0;
          printf("#late\n")
      fi
  :: else ->
      printf("#nothing\n")
  fi
}

active proctype fleet() {
  do
  :: d_step {
        now + STEP <= END ->
        now = now + STEP;
        clear_expired();
        printf("#tick\n")
      }
  :: d_step {
        now < END ->
        arrive(0)
      }
#if BORROWERS > 1
  :: d_step {
        now < END ->
        arrive(1)
      }
#endif
  :: d_step {
        now < END ->
        compute_remaining();
        if
        :: remaining >= JOB_WORK ->
            sent_by_owner[now / STEP] = sent_by_owner[now / STEP] + JOB_WORK;
            sent[now / STEP] = sent[now / STEP] + JOB_WORK;
            printf("#own used\n");
            check_window()
        :: else ->
            printf("#own held\n")
        fi
      }
  :: d_step {
        len(network) > 0 ->
        network ? kind, borrower, incarnation, number, work;
        printf("#deliver\n");
        if
        :: kind == LEASE_REQUEST ->
            on_request()
        :: kind == LEASE_RETURN ->
            on_return()
        :: kind == LEASE_GRANT ->
            on_grant()
        fi
      }
#ifdef REPLAY_WEIGHTS /* a random run chooses each alternative equally often; repeating these makes them more frequent */
  :: d_step {
        now < END ->
        arrive(0)
      }
  :: d_step {
        now < END ->
        arrive(0)
      }
  :: d_step {
        now < END ->
        arrive(1)
      }
  :: d_step {
        len(network) > 0 ->
        network ? kind, borrower, incarnation, number, work;
        printf("#deliver\n");
        if
        :: kind == LEASE_REQUEST ->
            on_request()
        :: kind == LEASE_RETURN ->
            on_return()
        :: kind == LEASE_GRANT ->
            on_grant()
        fi
      }
  :: d_step {
        len(network) > 0 ->
        network ? kind, borrower, incarnation, number, work;
        printf("#deliver\n");
        if
        :: kind == LEASE_REQUEST ->
            on_request()
        :: kind == LEASE_RETURN ->
            on_return()
        :: kind == LEASE_GRANT ->
            on_grant()
        fi
      }
  :: d_step {
        len(network) > 0 ->
        network ? kind, borrower, incarnation, number, work;
        printf("#deliver\n");
        if
        :: kind == LEASE_REQUEST ->
            on_request()
        :: kind == LEASE_RETURN ->
            on_return()
        :: kind == LEASE_GRANT ->
            on_grant()
        fi
      }
#endif
  :: d_step {
        len(network) > 0 ->
        network ? kind, borrower, incarnation, number, work;
        printf("#lose\n")
      }
  :: d_step {
        len(network) > 0 && len(network) < MAX_IN_FLIGHT ->
        network ? <kind, borrower, incarnation, number, work>;
        network ! kind, borrower, incarnation, number, work;
        printf("#double\n")
      }
  :: d_step {
        len(network) > 1 ->
        network ? kind, borrower, incarnation, number, work;
        network ! kind, borrower, incarnation, number, work;
        printf("#rotate\n")
      }
  :: d_step {
        owner_restarts < MAX_RESTARTS && now < END ->
        owner_restarts++;
        owner_waits_until = now + WINDOW + OWNER_LENGTH;
        printf("#owner again\n");
        for (k : 0 .. STEPS - 1) {
          sent_by_owner[k] = 0;
          granted[k] = 0
        }
        for (k : 0 .. BORROWERS - 1) {
          granted_leases[k].incarnation = 0;
          granted_leases[k].number = 0;
          granted_leases[k].work = 0;
          granted_leases[k].granted_at = 0;
          granted_leases[k].is_returned = true
        };
        k = 0
      }
  :: d_step {
        borrowers[0].incarnation < MAX_RESTARTS && now > borrowers[0].started_at && now < END ->
        borrowers[0].incarnation++;
        borrowers[0].number = 0;
        borrowers[0].is_awaiting_reply = false;
        borrowers[0].held_work = 0;
        borrowers[0].until = 0;
        borrowers[0].requested_at = 0;
        borrowers[0].started_at = now;
        printf("#again 0\n")
      }
  :: now >= END ->
      break
  od
}
