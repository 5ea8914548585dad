/** Parts of an instance's memory that buffered bytes may take. */

/**
 * Share of an instance's memory for buffered bytes. The smallest instance has 250 MB: the runtime
 * takes up to 70 MB and the state of some hundred requests as much again.
 */
export const BUFFER_MEMORY_SHARE = 0.2;

/** Share of the budget for request bodies, so that bodies alone never end a response. */
export const BODY_BUDGET_SHARE = 0.5;

/** Share of the budget for one response, so that one caller never ends all others. */
export const RESPONSE_BUDGET_SHARE = 0.25;

/**
 * Age of unread bytes up to which a caller keeps up, ms: more than the retransmission of a lost
 * packet takes (200 ms at least).
 */
export const KEEPS_UP_MS = 250;
