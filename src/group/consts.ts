/** Timeouts, intervals and limits of the agents' group coordination. */
import { AGENT_PACE } from '../core/published/index.js';

/**
 * Interval between two polls of all ranks, ms: demand changes every few seconds, a copy takes 0.1
 * s.
 */
export const POLL_INTERVAL_MS = 100;
/**
 * Maximum number of agents that a coordinator calls directly; larger groups are called through
 * branches.
 */
export const MAX_DIRECT_CALLS = 16;
/**
 * Maximum agents per branch: with 129 ranks a coordinator calls 11 agents, each of which calls 11
 * more.
 */
export const MAX_BRANCH_SIZE = 12;
/**
 * Extra time for the reply of an agent that forwards an order, ms: forwarding costs 0.4 ms of CPU
 * per call, on 0.4 of a core.
 */
export const FORWARDING_ALLOWANCE_MS = 80;
/**
 * Time during which an agent that failed to forward an order is not chosen again, ms: instances
 * stall for about 4 s.
 */
export const FORWARDER_BACKOFF_MS = 5000;
/**
 * Ranks of a large group that report token counts in each poll, spread over all branches: 40 ranks
 * reflect the demand of 100 streams. Each branch sends the sum of its counts, 4 KB with 16 layers
 * of 258 experts.
 */
export const COUNT_SAMPLE_SIZE = 40;
/**
 * Minimum number of replies for a digest: fewer say too little about the load of the other ranks.
 */
export const MIN_DIGEST_REPLIES = 8;
/**
 * Interval between two polls of a large group that carry the digest, by which entries share out
 * slots, ms. With 129 ranks such a poll takes 32 KB, 130 KB/s of the 525 KB/s of an agent's link.
 */
export const DIGEST_INTERVAL_MS = 250;
/** Timeout of a poll, ms. */
const POLL_TIMEOUT_MS = 250;
/** Timeout of an order during a switch, ms; ranks may be stalled meanwhile. */
const ORDER_TIMEOUT_MS = 300;
/** Timeout of a decision (confirm or abort), ms; it is sent three times. */
const DECISION_TIMEOUT_MS = 130;
/**
 * Extra time for replies in a large group, ms: among many ranks one is late by chance, and an
 * aborted round costs more than a slow one.
 */
const LARGE_GROUP_EXTRA_MS = 300;
/** Interval between two polls of a large group, ms: every agent replies, at 2 ms of CPU each. */
export const LARGE_GROUP_POLL_INTERVAL_MS = 150;
/**
 * Poll interval while a large group switches, ms: polls and the switch compete for the
 * coordinator's CPU, but entries rely on polled load. At 129 ranks an interval of 300 ms left
 * entries with counts 0.9 to 1.6 s old, 150 ms with a median of 0.85 s.
 */
export const SWITCHING_POLL_INTERVAL_MS = 200;

/** Timeouts for replies, depending on group size, ms. */
export interface ReplyTimeouts {
  readonly pollMs: number;
  readonly orderMs: number;
  readonly decisionMs: number;
}

/**
 * Timeouts for replies in a group with this number of ranks.
 * @example replyTimeouts(12).pollMs // 250
 */
export function replyTimeouts(ranks: number): ReplyTimeouts {
  const extraMs = ranks > MAX_DIRECT_CALLS ? LARGE_GROUP_EXTRA_MS : 0;
  return {
    pollMs: POLL_TIMEOUT_MS + extraMs,
    orderMs: ORDER_TIMEOUT_MS + extraMs,
    decisionMs: DECISION_TIMEOUT_MS + extraMs,
  };
}

/** Timeout of a prepare order, ms: it includes copying experts. */
export const PREPARE_TIMEOUT_MS = 5000;
/**
 * Time an agent may be unresponsive during an open switch before the coordinator drives its engine
 * directly, ms: callers disconnect after 2 s.
 */
export const UNRESPONSIVE_AFTER_MS = 150;
/** Time without a poll after which an agent may become coordinator, ms. */
const TAKEOVER_TIMEOUT_MS = 500;
/**
 * The same in a large group, ms: two polls may be late, and a branch with an unresponsive forwarder
 * is polled later.
 */
const LARGE_GROUP_TAKEOVER_TIMEOUT_MS = 1500;
/**
 * Time without a poll after which an agent may become coordinator, ms.
 * @example takeoverTimeoutMs(12) // 500
 */
export function takeoverTimeoutMs(ranks: number): number {
  return ranks > MAX_DIRECT_CALLS ? LARGE_GROUP_TAKEOVER_TIMEOUT_MS : TAKEOVER_TIMEOUT_MS;
}

/**
 * Pause after a list change before an agent of a large, complete group asks the store again, ms:
 * store calls are metered, and 72 agents made most of 3,066 calls in 76 s while engines were
 * removed and came back.
 */
const LARGE_GROUP_CHANGE_PAUSE_MS = 2500;

/**
 * Pause after a list change, ms. A small or incomplete group learns of the next change sooner.
 * @example changePauseMs(12, true) // 1000
 */
export function changePauseMs(ranks: number, isComplete: boolean): number {
  return isComplete && ranks > MAX_DIRECT_CALLS
    ? LARGE_GROUP_CHANGE_PAUSE_MS
    : AGENT_PACE.changePauseMs;
}

/**
 * Age above which an agent no longer serves a digest, ms: the coordinator renews it every 0.1 to
 * 0.6 s.
 */
export const MAX_DIGEST_AGE_MS = 1500;
/** Interval between polls of the own engine until it reports its group, ms. */
export const OWN_ENGINE_POLL_INTERVAL_MS = 200;
/** Takeover delay per lower rank, ms: staggered, so that one agent takes over rather than all. */
export const TAKEOVER_STAGGER_MS = 120;
/**
 * Time budget for the copies of a round, ms: a demand shift during the round waits for them, and
 * the orders of a round take another 0.3 s.
 */
export const ROUND_COPY_BUDGET_MS = 160;
/**
 * Minimum reduction of the summed peak loads, relative to their mean and per stream, for each GB
 * copied; on recorded counts, half of the copies below it did not reduce skew.
 */
export const MIN_GAIN_PER_GB = 0.14;
/**
 * Minimum number of streams assumed when the gain of a copy is estimated: an idle group is about to
 * get more.
 */
export const MIN_STREAMS = 12;
/** Minimum ratio of skew before to skew after; below it the current map stays. */
export const MIN_SKEW_IMPROVEMENT = 1.08;
/** Bounds of the number of steps between arming and the switch. */
export const MARGIN_STEPS = { min: 2, max: 10 } as const;
/** Steps between arming and the switch while the time for both is unknown. */
export const DEFAULT_MARGIN_STEPS = 3;
/** Safety factor of the margin, for arm orders slower than the slowest recent one. */
export const MARGIN_FACTOR = 1.3;
/**
 * Half-life of a slow arm order in the margin, ms: orders can stay unanswered for several seconds
 * at a time.
 */
export const MARGIN_HALF_LIFE_MS = 4000;
/**
 * Idle time after planning, as a multiple of the planning time. With 129 ranks a plan takes 0.1 to
 * 0.2 s of an agent's share of a core; planning after every poll used most of it, and entries saw
 * digests 1.3 to 2.3 s old.
 */
export const PLAN_IDLE_FACTOR = 2;
/** Minimum number of tokens in an estimate before a map is planned from it. */
export const MIN_TOKENS = 2000;
/** Minimum interval between log lines about skipped rounds, ms. */
export const LOG_INTERVAL_MS = 2000;
/** Minimum interval between log lines about skew, ms. */
export const SKEW_LOG_INTERVAL_MS = 500;
/**
 * A group with work that starts no step for this long is stalled, ms: its slowest steps take 0.2 s.
 */
export const STALLED_AFTER_MS = 400;
