/** Parts of an instance's memory that buffered bytes may take. */

/**
 * Share of an instance's memory for buffered bytes. The runtime takes 70 MB, the state of 500 requests
 * as much again, and buffered bytes up to twice their size until the next garbage collection.
 */
export const BUFFER_MEMORY_SHARE = 0.12;

/** Share of the budget for request bodies, so that bodies alone never end a response. */
export const BODY_BUDGET_SHARE = 0.5;

/**
 * Share of the budget for one response, so that one caller never ends all others; on an instance of
 * 200 MB it covers the largest response that is not streamed.
 */
export const RESPONSE_BUDGET_SHARE = 0.4;

/**
 * Age of unread bytes up to which a caller keeps up, ms: more than the retransmission of a lost
 * packet takes (200 ms at least).
 */
export const KEEPS_UP_MS = 250;
