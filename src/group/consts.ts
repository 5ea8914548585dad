/** Constants of the agents' group work. */
import { AGENT_PACE } from '../core/published/index.js';

/** Pause between two looks at all ranks, ms: demand changes every few seconds, a copy takes 0.1 s. */
export const LOOK_PAUSE_MS = 100;
/**
 * Ranks that each look asks; larger groups are asked whole only now and then. With 16 ranks a look costs
 * what it does in a group of 12, and 40 streams or so tell what is in demand.
 */
export const SAMPLE_RANKS = 16;
/** Ranks of a sample that must answer for a digest: fewer tell too little of what the others run. */
export const LEAST_TOLD_RANKS = 8;
/** Time between two looks at all ranks of a large group, ms: 63 questions take 50 ms of an agent's share. */
export const WHOLE_LOOK_MS = 600;
/**
 * Time between two looks at a sample that carry the digest, ms: entries share out places by it. With 63 ranks a
 * digest takes 1.4 KB, 90 KB/s of the coordinator's 700.
 */
export const DIGEST_PAUSE_MS = 250;
/** Time for the answer to a look, ms. */
const LOOK_MS = 250;
/** Time for the answer to an order of a switch, ms; ranks may stand still meanwhile. */
const ORDER_MS = 300;
/** Time for the answer to a decision, ms; it is sent three times. */
const DECISION_MS = 130;
/**
 * Further time for each rank beyond a sample, ms: a call costs the coordinator 0.4 ms of processor and it
 * has 0.4 of a core, so with 63 ranks the last one is sent and answered 0.2 s after the first.
 */
const FURTHER_RANK_MS = 6;
/** Pause between two looks while a large group switches, ms: both need the coordinator's processor. */
export const BUSY_LOOK_PAUSE_MS = 300;

/** Times for answers in a group of some size, ms. */
export interface AnswerTimes {
  readonly lookMs: number;
  readonly orderMs: number;
  readonly decisionMs: number;
}

/**
 * Times for answers in a group of so many ranks.
 * @example answerTimes(12).lookMs // 250
 */
export function answerTimes(ranks: number): AnswerTimes {
  const furtherMs = Math.max(0, ranks - SAMPLE_RANKS) * FURTHER_RANK_MS;
  return {
    lookMs: LOOK_MS + furtherMs,
    orderMs: ORDER_MS + furtherMs,
    decisionMs: DECISION_MS + furtherMs,
  };
}

/** Time for the answer to an order to prepare, ms: experts are copied. */
export const PREPARE_ORDER_MS = 5000;
/** An agent that is silent for so long while a switch is open is acted for, ms: callers leave after 2 s. */
export const SILENT_MS = 150;
/** An agent that nobody has looked at for this long begins to coordinate, ms. */
const UNLOOKED_MS = 500;
/** The same where most looks ask a sample only, ms: two looks at all ranks may be late. */
const UNLOOKED_LARGE_MS = 2.5 * WHOLE_LOOK_MS;
/**
 * Time without a look after which an agent of a group of so many ranks begins to coordinate, ms.
 * @example unlookedMs(12) // 500
 */
export function unlookedMs(ranks: number): number {
  return ranks > SAMPLE_RANKS ? UNLOOKED_LARGE_MS : UNLOOKED_MS;
}

/**
 * Pause after a change of the list before an agent of a large group that knows all members asks the store again,
 * ms: each call is counted, and 72 agents made most of 3,066 in 76 s while engines were taken away and came back.
 */
const LARGE_CHANGE_PAUSE_MS = 2500;

/**
 * Pause after a change of the list, ms. A group that lacks a member, or is small, hears of the next change soon.
 * @example changePauseMs(12, true) // 1000
 */
export function changePauseMs(ranks: number, isComplete: boolean): number {
  return isComplete && ranks > SAMPLE_RANKS ? LARGE_CHANGE_PAUSE_MS : AGENT_PACE.changePauseMs;
}

/** Age above which an agent does not pass a digest on, ms: the coordinator renews it each 0.1 to 0.6 s. */
export const DIGEST_STALE_MS = 1500;
/** Pause between two questions to the own engine while it has not told its group, ms. */
export const OWN_PAUSE_MS = 200;
/** Further wait for each rank before the own one, ms: one agent begins, not all. */
export const UNLOOKED_STAGGER_MS = 120;
/**
 * Time that a round's copies may take, ms: a shift of demand that comes meanwhile waits for their end, and
 * the orders of a round take 0.3 s besides.
 */
export const COPY_MS = 160;
/**
 * Fall of the summed largest loads, as a share of their mean and for one stream, that each GB copied must
 * bring; on recorded counts half of the copies below it brought no lower skew (docs/EXPERIMENTS.md).
 */
export const GAIN_PER_GB = 0.14;
/** Streams that a group counts for at least when a copy is weighed: an idle one is about to get more. */
export const LEAST_STREAMS = 12;
/** Skew before over skew after below which the present map stays. */
export const LEAST_SKEW_GAIN = 1.08;
/** Steps between arming and the switch, at least and at most. */
export const MARGIN_STEPS = { least: 2, most: 10 } as const;
/** Steps between arming and the switch while it is not known how long either takes. */
export const FIRST_MARGIN_STEPS = 3;
/** Room in the margin for an arm round that takes longer than the slowest one lately. */
export const MARGIN_FACTOR = 1.3;
/** Time after which a slow arm round counts half, ms: orders go unanswered for some seconds at a time. */
export const MARGIN_HALF_LIFE_MS = 4000;
/** Tokens that an estimate needs before a map rests on it. */
export const LEAST_TOKENS = 2000;
/** How often the same fault of a round is logged at most, ms. */
export const LOG_PAUSE_MS = 2000;
/** How often the skew is logged at most, ms. */
export const SKEW_LOG_PAUSE_MS = 500;
/** A group with work that begins no step for so long stands still, ms: its slowest steps take 0.2 s. */
export const STANDS_MS = 400;
