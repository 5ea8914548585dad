/*
 * What a rank's agent does with its engine during a switch: src/group/switch-engine.ts.
 *
 * Two ranks in lock-step, two rounds one after the other, either of which may be aborted at any point
 * after arming began. An engine may leave an order unanswered and carry it out at any later time; the
 * agent then gives it again, and goes on only when the engine's report shows it. The agreement between
 * agents and coordinators is in switch.pml.
 *
 * Held: no step begins with two maps, and at the end no rank holds its group.
 *
 * Broken variants: NO_FENCE (engines check no fences), OWN_VERSION (the fence is raised by disarming the
 * round's own version), NO_HOLD (ranks arm without holding the step), EARLY_GO (a rank lets go as soon as
 * it has armed itself), LATE_ABORT (an abort lets go before the arm is dead).
 */
#include "engine.pml"

inline raise(r, f, version) {
  do
  :: fence[r] >= f -> break
  :: else -> give(r, DISARM, version, 0, f, 0)
  od
}

/* One rank's part of arming; failed when its step has begun or another version is armed. */
inline armRank(r) {
#ifndef NO_HOLD
  do
  :: held[r] == at -> break
  :: held[r] != at && step >= at -> failed = true; break
  :: else -> give(r, HOLD, 0, at, 2 * round, 0)
  od;
#endif
  do
  :: failed -> break
  :: !failed && armed[r] == round && armedStep[r] == at -> break
  :: !failed && armed[r] == 0 && step >= at -> failed = true; break
  :: else -> give(r, ARM, round, at, 2 * round, 0)
  od;
#ifdef EARLY_GO
  release(r)
#endif
}

inline release(r) {
  do
  :: held[r] == 0 -> break
  :: else -> give(r, GO, 0, held[r], 2 * round + 1, 0)
  od
}

inline abortRank(r) {
#ifdef LATE_ABORT
  release(r);
#endif
  do
  :: taken && armed[r] == 0 -> break
  :: else -> give(r, DISARM, round, 0, 2 * round + 1, 0)
  od;
  taken = false;
  release(r)
}

proctype Coordinator() {
  byte round, at;
  bool taken, failed, both;
  round = 1;
  do
  :: round > 2 -> break
  :: else ->
#ifdef OWN_VERSION
     raise(0, 2 * round, round); raise(1, 2 * round, round);
#else
     raise(0, 2 * round, UNUSED); raise(1, 2 * round, UNUSED);
#endif
     do
     :: prepared[0] == round -> break
     :: else -> give(0, PREPARE, round, 0, 2 * round, 0)
     od;
     do
     :: prepared[1] == round -> break
     :: else -> give(1, PREPARE, round, 0, 2 * round, 0)
     od;
     at = step + 1 + (round == 1 -> 0 : 1);
     failed = false; taken = false;
     armRank(0);
     if
     :: !failed -> skip
     :: failed -> skip
     fi;
     /* A coordinator may lose sight of a rank at any point. */
     if
     :: !failed -> armRank(1)
     :: failed = true
     fi;
     if
     :: !failed -> release(0); release(1)
     :: failed -> taken = false; abortRank(0); taken = false; abortRank(1)
     fi;
     /* The next round begins when this one's step is over or nothing is open. */
     do
     :: armed[0] == 0 && armed[1] == 0 -> break
     :: armed[0] != 0 || armed[1] != 0 ->
        if
        :: step < STEPS -> skip
        :: else -> break
        fi
     od;
     round++
  od;
  atomic { empty(late[0]) && empty(late[1]) -> assert(held[0] == 0 && held[1] == 0) }
}

init { atomic { run Late(0); run Late(1); run Group(); run Coordinator() } }
