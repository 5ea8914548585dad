/** Constants of the two-phase map switch. */

/** An epoch is a multiple of this plus the rank of its coordinator, which makes epochs unique. */
export const EPOCH_STRIDE = 1024;
/**
 * Steps between arming and the switch: the duration of an arm and a confirm round, plus a reserve.
 */
export const ARM_MARGIN_STEPS = 40;
/** Attempts to deliver a decision before the switch is left to a later round. */
export const MAX_DECISION_ATTEMPTS = 3;
/**
 * Bandwidth limit for a coordinator's rounds, bytes per second; half of a daemon's control budget.
 */
export const MAX_ROUND_BYTES_PER_SECOND = 3500;
/** Approximate size of an order and its reply on the wire, without counts, bytes. */
export const ESTIMATED_ORDER_BYTES = 1200;
/** Approximate size of one count on the wire, bytes. */
export const ESTIMATED_COUNT_BYTES = 6;
