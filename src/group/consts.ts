/** Constants of the agents' group work. */
import { AGENT_PACE } from '../core/published/index.js';

/** Pause between two looks at all ranks, ms: demand changes every few seconds, a copy takes 0.1 s. */
export const POLL_INTERVAL_MS = 100;
/** Agents that a coordinator calls one by one; more are called by branches. */
export const MAX_DIRECT_CALLS = 16;
/** Agents of a branch: with 129 ranks a coordinator calls 11 agents, and each of them 11 more. */
export const MAX_BRANCH_SIZE = 12;
/** Further time for the answer of an agent that passes an order on, ms: a call costs it 0.4 ms of 0.4 of a core. */
export const FORWARDING_ALLOWANCE_MS = 80;
/** Time for which an agent that failed to pass an order on is not asked to, ms: machines stand still for 4 s or so. */
export const FORWARDER_BACKOFF_MS = 5000;
/**
 * Ranks of a large group that tell what their requests chose at each look, spread over all branches: 40 ranks tell 100
 * streams' demand. Each branch sends the sum of its own, 4 KB with 16 layers of 258 experts.
 */
export const COUNT_SAMPLE_SIZE = 40;
/** Ranks of a look that must answer for a digest: fewer tell too little of what the others run. */
export const MIN_DIGEST_REPLIES = 8;
/**
 * Time between two looks at a large group that carry the digest, ms: entries share out places by it. With 129 ranks a
 * look with a digest takes 32 KB, 130 KB/s of the 525 that the link of an agent bears.
 */
export const DIGEST_INTERVAL_MS = 250;
/** Time for the answer to a look, ms. */
const POLL_TIMEOUT_MS = 250;
/** Time for the answer to an order of a switch, ms; ranks may stand still meanwhile. */
const ORDER_TIMEOUT_MS = 300;
/** Time for the answer to a decision, ms; it is sent three times. */
const DECISION_TIMEOUT_MS = 130;
/**
 * Further time for the answers of a large group, ms: with as many ranks one of them is late by chance, and a round that is
 * given up costs more than one that waits.
 */
const LARGE_GROUP_EXTRA_MS = 300;
/** Pause between two looks at a large group, ms: each is answered by all of its agents, 2 ms of processor each. */
export const LARGE_GROUP_POLL_INTERVAL_MS = 150;
/**
 * Pause between two looks while a large group switches, ms: both need the coordinator's processor, and entries rest on what
 * looks tell; with 300 ms counts were 0.9 to 1.6 s old there in a group of 129 ranks, with 150 ms 0.85 s (the median).
 */
export const SWITCHING_POLL_INTERVAL_MS = 200;

/** Times for answers in a group of some size, ms. */
export interface ReplyTimeouts {
  readonly pollMs: number;
  readonly orderMs: number;
  readonly decisionMs: number;
}

/**
 * Times for answers in a group of so many ranks.
 * @example answerTimes(12).lookMs // 250
 */
export function replyTimeouts(ranks: number): ReplyTimeouts {
  const extraMs = ranks > MAX_DIRECT_CALLS ? LARGE_GROUP_EXTRA_MS : 0;
  return {
    pollMs: POLL_TIMEOUT_MS + extraMs,
    orderMs: ORDER_TIMEOUT_MS + extraMs,
    decisionMs: DECISION_TIMEOUT_MS + extraMs,
  };
}

/** Time for the answer to an order to prepare, ms: experts are copied. */
export const PREPARE_TIMEOUT_MS = 5000;
/** An agent that is silent for so long while a switch is open is acted for, ms: callers leave after 2 s. */
export const UNRESPONSIVE_AFTER_MS = 150;
/** An agent that nobody has looked at for this long begins to coordinate, ms. */
const TAKEOVER_TIMEOUT_MS = 500;
/** The same in a large group, ms: two looks may be late, and a branch whose first agent is silent hears later. */
const LARGE_GROUP_TAKEOVER_TIMEOUT_MS = 1500;
/**
 * Time without a look after which an agent of a group of so many ranks begins to coordinate, ms.
 * @example unlookedMs(12) // 500
 */
export function takeoverTimeoutMs(ranks: number): number {
  return ranks > MAX_DIRECT_CALLS ? LARGE_GROUP_TAKEOVER_TIMEOUT_MS : TAKEOVER_TIMEOUT_MS;
}

/**
 * Pause after a change of the list before an agent of a large group that knows all members asks the store again,
 * ms: each call is counted, and 72 agents made most of 3,066 in 76 s while engines were taken away and came back.
 */
const LARGE_GROUP_CHANGE_PAUSE_MS = 2500;

/**
 * Pause after a change of the list, ms. A group that lacks a member, or is small, hears of the next change soon.
 * @example changePauseMs(12, true) // 1000
 */
export function changePauseMs(ranks: number, isComplete: boolean): number {
  return isComplete && ranks > MAX_DIRECT_CALLS
    ? LARGE_GROUP_CHANGE_PAUSE_MS
    : AGENT_PACE.changePauseMs;
}

/** Age above which an agent does not pass a digest on, ms: the coordinator renews it each 0.1 to 0.6 s. */
export const MAX_DIGEST_AGE_MS = 1500;
/** Pause between two questions to the own engine while it has not told its group, ms. */
export const OWN_ENGINE_POLL_INTERVAL_MS = 200;
/** Further wait for each rank before the own one, ms: one agent begins, not all. */
export const TAKEOVER_STAGGER_MS = 120;
/**
 * Time that a round's copies may take, ms: a shift of demand that comes meanwhile waits for their end, and
 * the orders of a round take 0.3 s besides.
 */
export const ROUND_COPY_BUDGET_MS = 160;
/**
 * Fall of the summed largest loads, as a share of their mean and for one stream, that each GB copied must
 * bring; on recorded counts half of the copies below it brought no lower skew (docs/EXPERIMENTS.md).
 */
export const MIN_GAIN_PER_GB = 0.14;
/** Streams that a group counts for at least when a copy is weighed: an idle one is about to get more. */
export const MIN_STREAMS = 12;
/** Skew before over skew after below which the present map stays. */
export const MIN_SKEW_IMPROVEMENT = 1.08;
/** Steps between arming and the switch, at least and at most. */
export const MARGIN_STEPS = { min: 2, max: 10 } as const;
/** Steps between arming and the switch while it is not known how long either takes. */
export const DEFAULT_MARGIN_STEPS = 3;
/** Room in the margin for an arm round that takes longer than the slowest one lately. */
export const MARGIN_FACTOR = 1.3;
/** Time after which a slow arm round counts half, ms: orders go unanswered for some seconds at a time. */
export const MARGIN_HALF_LIFE_MS = 4000;
/**
 * Rest after a plan, in times that the plan took. With 129 ranks a plan takes 0.1 to 0.2 s of an agent's share of a core;
 * made at each look they took most of it, and digests were 1.3 to 2.3 s old at entries.
 */
export const PLAN_IDLE_FACTOR = 2;
/** Tokens that an estimate needs before a map rests on it. */
export const MIN_TOKENS = 2000;
/** How often the same fault of a round is logged at most, ms. */
export const LOG_INTERVAL_MS = 2000;
/** How often the skew is logged at most, ms. */
export const SKEW_LOG_INTERVAL_MS = 500;
/** A group with work that begins no step for so long stands still, ms: its slowest steps take 0.2 s. */
export const STALLED_AFTER_MS = 400;
