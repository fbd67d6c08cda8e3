/* One owner's part of a cold executor's budget, the others who ask it for grants, and a network that loses, doubles and
 * reorders words and delivers them at any time later. Any of them may be stalled at any time (it takes no step while time
 * goes on) and may start again with nothing but a new number of its life. Whatever happens, all work sent within any window
 * is within the part. The steps are those of logic/fleet/turns.cpp; turns_replay.cpp plays random runs against that.
 *
 * Times in units; work in ms. The defaults are small, for the search; a replay is given the real ratios.
 */
#ifndef STEP
#define STEP 1       /* of time at once */
#define LENGTH 2     /* of a grant, by the clock of the one that asked */
#define GIVEN_FOR 3  /* by the owner's: the length and the drift */
#define EARLY 1      /* so long before its end a grant is given back, or later */
#define WINDOW 1
#define PART 2
#define JOB 1
#define WANT 1
#define END 5
#endif
#ifndef LIVES
#define LIVES 1      /* times that each may start again */
#endif
#ifndef ASKERS
#define ASKERS 2
#endif
#ifndef MOST
#define MOST 1       /* words on their way */
#endif
#define STEPS (END / STEP + 2)

/* Each of these takes away one guard: the search must then find a violation, or it proves nothing. */
#ifndef WAITS
#define WAITS 1
#endif
#ifndef ENDS
#define ENDS 1
#endif
#ifndef NUMBERS
#define NUMBERS 1
#endif
#ifndef COUNTED_AT_END
#define COUNTED_AT_END 1
#endif
#ifndef BACK_ONCE
#define BACK_ONCE 1
#endif

#define ASK 1
#define GRANT 2
#define BACK 3
chan net = [MOST] of { byte, byte, byte, byte, short };  /* what, asker, its life, number, work */

short now;
short used[STEPS];        /* by time: what was truly sent */
short spent[STEPS];       /* by time: what the owner knows that it sent */
short given[STEPS];       /* by the time of the grant: what it granted and did not get back */
short owner_waits_until;
byte owner_lives;

typedef Asker { byte life, number; bool waiting; short asked, held, until, started };
Asker at[ASKERS];
typedef Last { byte life, number; short work, when; bool returned };
Last last[ASKERS];

/* Scratch, no part of the state. */
hidden byte i, life, number, what;
hidden short k, work, sum, room;

inline check() {
  sum = 0;
  for (k : 0 .. STEPS - 1) { if :: k * STEP <= now && k * STEP >= now - WINDOW -> sum = sum + used[k] :: else fi }
  assert(sum <= PART)
}

/* What is out of every window and every grant's end makes no difference any more. */
inline forget() {
  for (k : 0 .. STEPS - 1) {
    if :: k * STEP + GIVEN_FOR < now - WINDOW -> used[k] = 0; spent[k] = 0; given[k] = 0 :: else fi
  }
  k = 0;
  for (k : 0 .. ASKERS - 1) {
    if :: now - at[k].asked >= LENGTH && at[k].held == 0 -> at[k].until = 0 :: else fi;
    if :: last[k].when + GIVEN_FOR < now - WINDOW -> last[k].work = 0; last[k].when = 0; last[k].returned = true :: else fi
  }
  k = 0
}

inline count_room() {
  sum = 0;
  for (k : 0 .. STEPS - 1) {
    if :: k * STEP <= now && k * STEP >= now - WINDOW -> sum = sum + spent[k] :: else fi;
    if :: k * STEP <= now && k * STEP + (COUNTED_AT_END -> GIVEN_FOR : 0) >= now - WINDOW -> sum = sum + given[k] :: else fi
  }
  room = PART - sum;
  if :: WAITS && now < owner_waits_until -> room = 0 :: else fi
}

inline give_back(i) {
  if
  :: at[i].held > 0 ->
     if :: len(net) < MOST -> net ! BACK, i, at[i].life, at[i].number, at[i].held; printf("#sent\n")
        :: else -> printf("#unsent\n") fi
  :: else
  fi;
  at[i].held = 0; at[i].until = 0
}

/* What has a little time left is given back. */
inline age(i) {
  if :: at[i].until > now && at[i].until - now <= EARLY -> give_back(i) :: else fi
}

/* A job comes to one that has no part: it uses its grant, and asks for another where too little is left of it. */
inline arrive(i) {
  if
  :: at[i].held >= JOB && (!ENDS || at[i].until > now) ->
     at[i].held = at[i].held - JOB; used[now / STEP] = used[now / STEP] + JOB; printf("#arrive %d used\n", i); check()
  :: else -> printf("#arrive %d held\n", i)
  fi;
  age(i);
  if
  :: (at[i].held < JOB || (ENDS && at[i].until <= now)) && !(at[i].waiting && at[i].asked == now) ->
     if :: at[i].until > now -> give_back(i) :: else -> at[i].held = 0 fi;
     at[i].number++; at[i].asked = now; at[i].waiting = true;
     if :: len(net) < MOST -> net ! ASK, i, at[i].life, at[i].number, 0; printf("#sent\n") :: else -> printf("#unsent\n") fi
  :: else
  fi
}

inline hear_ask() {
  count_room();
  work = (room / 2 < WANT -> room / 2 : WANT);
  if
  :: (!NUMBERS || life > last[i].life || (life == last[i].life && number > last[i].number)) && work >= JOB ->
     last[i].life = life; last[i].number = number; last[i].work = work; last[i].when = now; last[i].returned = false;
     given[now / STEP] = given[now / STEP] + work;
     printf("#grant %d\n", work);
     if :: len(net) < MOST -> net ! GRANT, i, life, number, work; printf("#sent\n") :: else -> printf("#unsent\n") fi
  :: else -> printf("#nothing\n")
  fi
}

inline hear_back() {
  if
  :: last[i].life == life && last[i].number == number && (!last[i].returned || !BACK_ONCE) ->
     last[i].returned = true;
     given[last[i].when / STEP] = given[last[i].when / STEP] - (work < last[i].work -> work : last[i].work);
     printf("#nothing\n")
  :: else -> printf("#nothing\n")
  fi
}

inline hear_grant() {
  age(i);
  if
  :: (at[i].waiting || !NUMBERS) && life == at[i].life && number == at[i].number ->
     at[i].waiting = false;
     if :: now < at[i].asked + LENGTH || !ENDS -> at[i].held = work; at[i].until = at[i].asked + LENGTH; printf("#got %d\n", work)
        :: else -> at[i].until = 0; printf("#late\n") fi
  :: else -> printf("#nothing\n")
  fi
}

active proctype all() {
  do
  :: d_step { now + STEP <= END -> now = now + STEP; forget(); printf("#tick\n") }
  :: d_step { now < END -> arrive(0) }
#if ASKERS > 1
  :: d_step { now < END -> arrive(1) }
#endif
  :: d_step { now < END -> count_room();
       if :: room >= JOB -> spent[now / STEP] = spent[now / STEP] + JOB; used[now / STEP] = used[now / STEP] + JOB; printf("#own used\n"); check()
          :: else -> printf("#own held\n") fi }
  :: d_step { len(net) > 0 -> net ? what, i, life, number, work;
       printf("#deliver\n");
       if :: what == ASK -> hear_ask() :: what == BACK -> hear_back() :: what == GRANT -> hear_grant() fi }
#ifdef OFTEN  /* a random run takes each way as often as the others: these more, or little would happen */
  :: d_step { now < END -> arrive(0) }
  :: d_step { now < END -> arrive(0) }
  :: d_step { now < END -> arrive(1) }
  :: d_step { len(net) > 0 -> net ? what, i, life, number, work;
       printf("#deliver\n");
       if :: what == ASK -> hear_ask() :: what == BACK -> hear_back() :: what == GRANT -> hear_grant() fi }
  :: d_step { len(net) > 0 -> net ? what, i, life, number, work;
       printf("#deliver\n");
       if :: what == ASK -> hear_ask() :: what == BACK -> hear_back() :: what == GRANT -> hear_grant() fi }
  :: d_step { len(net) > 0 -> net ? what, i, life, number, work;
       printf("#deliver\n");
       if :: what == ASK -> hear_ask() :: what == BACK -> hear_back() :: what == GRANT -> hear_grant() fi }
#endif
  :: d_step { len(net) > 0 -> net ? what, i, life, number, work; printf("#lose\n") }
  :: d_step { len(net) > 0 && len(net) < MOST -> net ? <what, i, life, number, work>; net ! what, i, life, number, work; printf("#double\n") }
  :: d_step { len(net) > 1 -> net ? what, i, life, number, work; net ! what, i, life, number, work; printf("#rotate\n") }
  :: d_step { owner_lives < LIVES && now < END ->
       owner_lives++; owner_waits_until = now + WINDOW + GIVEN_FOR; printf("#owner again\n");
       for (k : 0 .. STEPS - 1) { spent[k] = 0; given[k] = 0 }
       for (k : 0 .. ASKERS - 1) { last[k].life = 0; last[k].number = 0; last[k].work = 0; last[k].when = 0; last[k].returned = true }; k = 0 }
  :: d_step { at[0].life < LIVES && now > at[0].started && now < END ->
       at[0].life++; at[0].number = 0; at[0].waiting = false; at[0].held = 0; at[0].until = 0; at[0].asked = 0; at[0].started = now; printf("#again 0\n") }
  :: now >= END -> break
  od
}
