/*
 * Two engines of a group in lock-step, and orders that may remain unanswered and be executed at any
 * later time. Included by the specifications of the agents.
 */
#define RANKS 2
#define STEPS 4
#define DISARM 1
#define PREPARE 2
#define HOLD 3
#define ARM 4
#define GO 5
#define UNUSED 9

byte map[RANKS];
byte prepared[RANKS];
/* Creators of the map in use and of the prepared map: equal versions may differ in contents. */
byte mapBy[RANKS];
byte preparedBy[RANKS];
byte armed[RANKS];      /* version, 0 for none */
byte armedStep[RANKS];
byte held[RANKS];       /* step, 0 for none */
byte fence[RANKS];
byte step = 0;

/* Unanswered orders to be executed later: kind, version, step, fence, creator of the map */
chan late[RANKS] = [2] of { byte, byte, byte, byte, byte };

inline carry(r, kind, version, at, f, by) {
  taken = false;
  if
#ifndef NO_FENCE
  :: f < fence[r] -> skip
#endif
  :: else ->
     if
     :: kind == DISARM && version != map[r] ->
        if
        :: armed[r] == version && version != UNUSED -> armed[r] = 0; armedStep[r] = 0
        :: else
        fi;
        taken = true
     :: kind == PREPARE && armed[r] == 0 && version > prepared[r] ->
        prepared[r] = version; preparedBy[r] = by; taken = true
     :: kind == PREPARE && version == prepared[r] -> taken = true
     :: kind == HOLD && at > step -> held[r] = at; taken = true
     :: kind == ARM && armed[r] == version && armedStep[r] == at -> taken = true
     :: kind == ARM && armed[r] == 0 && prepared[r] == version && at > step ->
        armed[r] = version; armedStep[r] = at; taken = true
     :: kind == GO ->
        if
        :: held[r] == at -> held[r] = 0
        :: else
        fi;
        taken = true
     :: else
     fi;
     if
     :: taken && f > fence[r] -> fence[r] = f
     :: else
     fi
  fi
}

/* Sends an order once: it is executed now, or it remains unanswered and is executed later. */
inline give(r, kind, version, at, f, by) {
  atomic {
    taken = false;
    if
    :: carry(r, kind, version, at, f, by)
    :: late[r] ! kind, version, at, f, by
    fi
  }
}

/* Executes the unanswered orders of one rank. */
proctype Late(byte r) {
  byte kind, version, at, f, by;
  bool taken;
  end:
  do
  :: atomic { late[r] ? kind, version, at, f, by ->
       carry(r, kind, version, at, f, by); kind = 0; version = 0; at = 0; f = 0; by = 0; taken = false }
  od
}

/* The group begins its next step unless a rank holds it; maps armed for it come into use. */
proctype Group() {
  byte r;
  end:
  do
  :: atomic {
       step < STEPS && held[0] != step + 1 && held[1] != step + 1 ->
       step++;
       for (r : 0 .. RANKS - 1) {
         if
         :: armed[r] != 0 && armedStep[r] == step -> 
            map[r] = armed[r]; mapBy[r] = preparedBy[r]; armed[r] = 0; armedStep[r] = 0
         :: else
         fi
       }
       r = 0;
       assert(map[0] == map[1] && mapBy[0] == mapBy[1])
     }
  od
}

