/*
 * Two requests and the connections of an entry to one endpoint: src/gateway/endpoints/exchange.ts and
 * src/gateway/requests/attempt.ts.
 *
 * The endpoint runs a request or turns it away, and responds or stays silent. Anywhere, also before the first
 * request of a connection, it may send surplus responses: true ones once more, or some without an id. The entry
 * may lose a connection, give up a request that waits or was written, and replace its pool after a silence;
 * requests that wait stay with the old pool. What was written may be received after the connection was closed.
 *
 * Properties: no request runs whose caller was told "not run"; none runs twice; a surplus response costs at most
 * one request.
 *
 * Broken variants, each of which must have a counterexample: NOT_RUN_FIRST ("not run" is believed before the id
 * is compared), ID_LESS (also without an id), FIRST_ID_LESS (without an id on the first request of a connection),
 * KEEP (a connection is kept after a response of another request), CODES (an error of a connection counts as "not
 * sent" although the request was written), LATE_WRITE (a request that was given up while it waited is written),
 * REWRITE (a request is written again after its connection was lost).
 */
#define REQUESTS 2
#define CONNECTIONS 2
#define POOLS 2
#define SURPLUS 2
#define NOBODY REQUESTS

/* States of a request. */
#define NEW 0
#define WAITING 1
#define WRITTEN 2
#define ENDED 3

/* What its caller was told; also the statements of responses. */
#define NOTHING 0
#define SERVED 1
#define NOT_RUN 2
#define UNKNOWN 3

byte state[REQUESTS];
byte told[REQUESTS];
byte pool[REQUESTS];
byte runs[REQUESTS];
bool turnedAway[REQUESTS];
byte currentPool = 0;

bool isOpen[CONNECTIONS];
byte poolOf[CONNECTIONS];
byte inFlight[CONNECTIONS];
byte carried[CONNECTIONS];

byte surplus = 0;
byte lost = 0;

chan sent[CONNECTIONS] = [REQUESTS] of { byte };
/* Id and statement; the id NOBODY stands for none. */
chan answers[CONNECTIONS] = [3] of { byte, byte };

inline check(r) {
  assert(told[r] != NOT_RUN || runs[r] == 0);
  assert(runs[r] <= 1)
}

inline tell(r, what) {
  told[r] = what;
  state[r] = ENDED;
  check(r)
}

/* Closes a connection; the request on it may have run. */
inline drop(c) {
  isOpen[c] = false;
  if
  :: inFlight[c] != NOBODY ->
#ifdef REWRITE
    state[inFlight[c]] = WAITING;
#else
#ifdef CODES
    tell(inFlight[c], NOT_RUN);
#else
    tell(inFlight[c], UNKNOWN);
#endif
#endif
    inFlight[c] = NOBODY
  :: else
  fi
}

/* A request up to the moment at which it is written. */
proctype Request(byte r) {
  atomic { pool[r] = currentPool; state[r] = WAITING };
  do
  :: atomic {
      state[r] == WAITING && told[r] == NOTHING ->
      /* Given up while it waits: cancelled, too late, or no connection can be opened. */
#ifdef LATE_WRITE
      told[r] = NOT_RUN
#else
      tell(r, NOT_RUN)
#endif
    }
  :: state[r] == ENDED -> break
  od
}

inline write(c, r) {
  isOpen[c] && inFlight[c] == NOBODY && state[r] == WAITING && pool[r] == poolOf[c] ->
  state[r] = WRITTEN;
  inFlight[c] = r;
  carried[c]++;
  sent[c]!r
}

/* Reads a response while a request is in flight; a foreign one closes the connection. */
inline read(c) {
  isOpen[c] && inFlight[c] != NOBODY && nempty(answers[c]) ->
  answers[c]?id, says;
  r = inFlight[c];
  isOwn = (id == r);
#ifdef NOT_RUN_FIRST
  isOwn = isOwn || says == NOT_RUN;
#endif
#ifdef ID_LESS
  isOwn = isOwn || (says == NOT_RUN && id == NOBODY);
#endif
#ifdef FIRST_ID_LESS
  isOwn = isOwn || (says == NOT_RUN && id == NOBODY && carried[c] == 1);
#endif
  inFlight[c] = NOBODY;
  if
  :: isOwn -> tell(r, says)
  :: else ->
    lost++;
    tell(r, UNKNOWN);
#ifndef KEEP
    isOpen[c] = false
#endif
  fi;
  assert(lost <= surplus)
}

/* The entry's side of a connection. */
proctype Connection(byte c) {
  byte id, says, r;
  bool isOwn;
  atomic {
    if
    :: state[0] == WAITING -> poolOf[c] = pool[0]
    :: state[1] == WAITING -> poolOf[c] = pool[1]
    fi;
    isOpen[c] = true
  };
  do
  :: atomic { write(c, 0) }
  :: atomic { write(c, 1) }
  :: atomic { read(c) }
  /* Bytes that come while no request is in flight. */
  :: atomic { isOpen[c] && inFlight[c] == NOBODY && nempty(answers[c]) -> isOpen[c] = false }
  /* The connection is lost. */
  :: atomic { isOpen[c] -> drop(c) }
  /* A silence ends the request; the pool may be replaced. */
  :: atomic {
      isOpen[c] && inFlight[c] != NOBODY ->
      r = inFlight[c];
      inFlight[c] = NOBODY;
      isOpen[c] = false;
      tell(r, UNKNOWN);
      if
      :: poolOf[c] == currentPool && currentPool < POOLS - 1 -> currentPool++
      :: true
      fi
    }
  :: !isOpen[c] -> break
  od
}

/* A true response about a request, once more; one without an id if there is none yet. */
inline repeat(c, r) {
  if
  :: turnedAway[r] -> answers[c]!r, NOT_RUN
  :: runs[r] > 0 -> answers[c]!r, SERVED
  :: !turnedAway[r] && runs[r] == 0 -> answers[c]!NOBODY, SERVED
  fi
}

/* The endpoint's side of a connection. */
proctype Endpoint(byte c) {
  byte r;
end:
  do
  :: atomic {
      sent[c]?r ->
      if
      :: !turnedAway[r] -> runs[r]++; check(r);
        if
        :: nfull(answers[c]) -> answers[c]!r, SERVED
        :: true
        fi
      :: runs[r] == 0 && nfull(answers[c]) -> turnedAway[r] = true; answers[c]!r, NOT_RUN
      fi
    }
  :: atomic {
      isOpen[c] && surplus < SURPLUS && nfull(answers[c]) ->
      surplus++;
      if
      :: answers[c]!NOBODY, NOT_RUN
      :: answers[c]!NOBODY, SERVED
      :: repeat(c, 0)
      :: repeat(c, 1)
      fi
    }
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. CONNECTIONS - 1) {
      inFlight[i] = NOBODY
    };
    for (i : 0 .. REQUESTS - 1) {
      run Request(i)
    };
    for (i : 0 .. CONNECTIONS - 1) {
      run Connection(i);
      run Endpoint(i)
    }
  }
}
