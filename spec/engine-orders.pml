/*
 * Orders from a rank's agent to its engine during a map switch: src/group/switch-engine.ts.
 *
 * Two ranks in lock-step execute two consecutive rounds, either of which may be aborted at any point
 * after arming has begun. An engine may leave an order unanswered and execute it at any later time;
 * the agent then repeats the order, and proceeds only when the engine's report shows its effect.
 * The protocol between agents and coordinators is specified in switch.pml.
 *
 * Properties: no step begins with different maps on the ranks, and at the end no rank holds its group.
 *
 * Broken variants, each of which must have a counterexample: NO_FENCE (engines check no fences),
 * OWN_VERSION (the fence is raised by disarming the round's own version), NO_HOLD (ranks arm without
 * holding the step), EARLY_GO (a rank releases its step as soon as it is armed itself), LATE_ABORT
 * (an abort releases the step before the rank is disarmed).
 */
#include "engine.pml"

inline raise(r, f, version) {
  do
  :: fence[r] >= f -> break
  :: else -> give(r, DISARM, version, 0, f, 0)
  od
}

/* Holds and arms one rank; fails if the step of the switch begins first. */
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
     /* The coordinator may lose contact with a rank at any point. */
     if
     :: !failed -> armRank(1)
     :: failed = true
     fi;
     if
     :: !failed -> release(0); release(1)
     :: failed -> taken = false; abortRank(0); taken = false; abortRank(1)
     fi;
     /* The next round begins when no rank is armed, or when the group has executed its last step. */
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
