/** Limits of the connections of clients. */

/** Time for which a connection that is closed is still read, ms, so that the client reads the last response. */
export const LINGER_MS = 150;
/** Bytes that are discarded behind a malformed request while responses are due before the connection is closed. */
export const MAX_MALFORMED_BYTES = 256 * 1024;
/** Interval at which timeouts of heads are checked, ms. */
export const HEAD_CHECK_INTERVAL_MS = 100;
/** Requests that run at once on one connection; further ones wait unread. */
export const MAX_REQUESTS_AHEAD = 2;
/** Bytes of a connection that are parsed at a time. */
export const PIECE_BYTES = 4096;
/** Time for which one connection is parsed before others have their turn, ms. */
export const MAX_SLICE_MS = 1;
/** Time for which connections are parsed before the event loop does other work, ms. */
export const MAX_TURN_MS = 8;
/** Time without parsing after which a new turn has begun, ms. */
export const MIN_GAP_MS = 1;
/** Memory that a head takes for each of its bytes: a short field becomes two strings and their places in a list. */
export const MEMORY_PER_HEAD_BYTE = 8;
/** Memory that one field of a whole head takes beside its text: strings, and places in a list and a dictionary. */
export const MEMORY_PER_FIELD = 192;
/** Memory of a whole head up to which it is not counted. */
export const SHORT_HEAD_BYTES = 8 * 1024;
/** Memory of a request that waits for its turn, bytes. */
export const WAITING_REQUEST_BYTES = 8 * 1024;
/** Bytes of requests that nobody needs that a process reads in a row, and bytes per ms after that. */
export const DISCARD_RATE = { burstBytes: 2 * 1024 * 1024, bytesPerMs: 2 * 1024 } as const;
/** Share of the connections of a server that is closed when there are too many, so that it is seldom necessary. */
export const EVICTED_SHARE = 0.02;
/** Reads of at least this size count as those of a large request; smaller ones are never held up. */
export const LARGE_READ_BYTES = 16 * 1024;
/** Large requests that are read at once as fast as they come; more of them share the read rate. */
export const MAX_UNLIMITED_READERS = 4;
/**
 * Share of the memory of an instance that many large requests may bring at once, and each ms after that. What is read
 * is garbage that a collection frees some time later.
 */
export const READ_BURST_SHARE = 0.005;
export const READ_SHARE_PER_MS = 0.00005;
