/*
 * All agents of a group are killed at once during a switch round: src/group/switch-engine.ts, how an
 * incarnation claims its first fence.
 *
 * Engines outlive their agents. The next incarnation reads the engines' reports (map in use, armed,
 * prepared), but neither their fences nor the unanswered orders that they execute later. It chooses
 * the epoch that a coordinator would choose from these reports, and creates a different map. Two ranks
 * and two incarnations; an incarnation executes one round, and the first may end at any point.
 *
 * Property: no step begins with different maps on the ranks, by version or by the incarnation that
 * created them.
 *
 * Broken variant, which must have a counterexample: NO_CLAIM (an incarnation takes a fence that an
 * earlier one may have taken).
 */
#include "engine.pml"

#define LIVES 2

/* Raises a rank's fence to at least `f`, unless the round has failed. */
inline raise(r, f) {
  do
  :: failed || fence[r] >= f -> break
  :: !failed && fence[r] < f -> give(r, DISARM, UNUSED, 0, f, life)
  od
}

/* Verifies that no earlier incarnation took this round's fence, then takes it; fails otherwise. */
inline claim(r) {
#ifndef NO_CLAIM
  if
  :: fence[r] > 2 * round - 1 -> failed = true
  :: else -> raise(r, 2 * round - 1)
  fi;
#else
  if
  :: fence[r] > 2 * round -> failed = true
  :: else
  fi;
#endif
  raise(r, 2 * round)
}

inline prepare(r) {
  do
  :: prepared[r] == round || fence[r] > 2 * round -> break
  :: else -> give(r, PREPARE, round, 0, 2 * round, life)
  od
}

inline armRank(r) {
  do
  :: failed || held[r] == at -> break
  :: !failed && held[r] != at && (step >= at || fence[r] > 2 * round) -> failed = true
  :: else -> give(r, HOLD, 0, at, 2 * round, life)
  od;
  do
  :: failed || (armed[r] == round && armedStep[r] == at) -> break
  :: !failed && armed[r] == 0 && (step >= at || prepared[r] != round) -> failed = true
  :: !failed && armed[r] != 0 && armed[r] != round -> failed = true
  :: else -> give(r, ARM, round, at, 2 * round, life)
  od
}

inline release(r) {
  do
  :: held[r] == 0 || fence[r] > 2 * round + 1 -> break
  :: else -> give(r, GO, 0, held[r], 2 * round + 1, life)
  od
}

/* Chooses the epoch after those in use and armed; if its claim fails, the next one is tried. */
inline choose() {
  round = 1;
  if
  :: map[0] >= round -> round = map[0] + 1
  :: else
  fi;
  if
  :: armed[0] >= round -> round = armed[0] + 1
  :: else
  fi;
  if
  :: armed[1] >= round -> round = armed[1] + 1
  :: else
  fi
}

bool killed = false;

/* Kills all agents at an arbitrary point. */
proctype Killer() {
  killed = true
}

proctype Lives() {
  byte life, round, at;
  bool taken, failed;
  life = 1;
  do
  :: life > LIVES -> break
  :: else ->
     failed = false;
     choose();
     {
       claim(0); claim(1);
       if
       :: failed -> round++; failed = false; claim(0); claim(1)
       :: else
       fi;
       if
       :: failed || armed[0] != 0 || armed[1] != 0 -> goto ended
       :: else
       fi;
       prepare(0); prepare(1);
       if
       :: prepared[0] == round && prepared[1] == round -> at = step + 1
       :: else -> goto ended
       fi;
       armRank(0); armRank(1);
       if
       :: failed -> goto ended
       :: else -> release(0); release(1)
       fi
     } unless { killed && life < LIVES };
ended:
     at = 0;
     life++
  od
}

init { atomic { run Late(0); run Late(1); run Group(); run Lives(); run Killer() } }
