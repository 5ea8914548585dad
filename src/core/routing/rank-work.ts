/**
 * Estimates the work of a rank for one more request. All ranks of a group advance in lock-step: a pass lasts as
 * long as its most loaded rank, so one rank with twice the mean load doubles the pauses of every stream.
 */

/**
 * Time after which two thirds of the streams counted at a rank have ended, ms: streams last 1 to 1.5 s. Those that
 * began since are assumed to be spread over all ranks.
 */
const STREAM_REPLACEMENT_MS = 1200;
/** Age up to which a count of a rank may rule it out as full, ms; later most of its streams have ended. */
const MAX_FULL_COUNT_AGE_MS = 1000;

/** Streams of one rank as counted for the whole group. */
export interface RankCount {
  /** Streams in flight or queued there. */
  readonly load: number;
  /** Mean of all ranks of the group in the same count. */
  readonly meanLoad: number;
  readonly ageMs: number;
  /** Streams of this entry there at the time of the count. */
  readonly ownThen: number;
}

/** What an entry knows of the load of one rank. */
export interface RankLoad {
  /** Streams of this entry there now. */
  readonly own: number;
  /** Tokens of prompts that this entry sent there and that have not been answered by a first event. */
  readonly unreadTokens: number;
  /** Undefined if the rank was not counted since it started. */
  readonly count: RankCount | undefined;
}

/** Speed at which an engine reads prompts and writes tokens. */
export interface PassModel {
  /** Time that each request of a rank adds to a token step, ms. */
  readonly perRequestMs: number;
  /** Token steps in one pass. */
  readonly stepsPerPass: number;
  /** Prompt tokens read per ms; 0 if unknown. */
  readonly promptTokensPerMs: number;
}

/**
 * Streams of other entries at a rank now: those counted, replaced by the mean as the count ages.
 * @example expectedOthers({ load: 6, meanLoad: 3, ageMs: 1200, ownThen: 1 }) // 3.7
 */
export function expectedOthers({ load, meanLoad, ageMs, ownThen }: RankCount): number {
  const counted = Math.max(0, load - ownThen);
  const remaining = Math.exp(-Math.max(0, ageMs) / STREAM_REPLACEMENT_MS);
  return meanLoad + (counted - meanLoad) * remaining;
}

/**
 * Expected work of a rank, in streams: reading a prompt lengthens a pass as much as several streams do.
 * @example expectedWork({ own: 1, unreadTokens: 0, count: undefined }, model) // 1
 */
export function expectedWork({ own, unreadTokens, count }: RankLoad, model: PassModel): number {
  const perStreamMs = model.perRequestMs * model.stepsPerPass;
  const isModelKnown = model.promptTokensPerMs > 0 && perStreamMs > 0;
  const reading = isModelKnown ? unreadTokens / model.promptTokensPerMs / perStreamMs : 0;
  return own + reading + (count ? expectedOthers(count) : 0);
}

/**
 * Whether a recent count says that all slots of a rank are taken, counting what this entry began and ended there
 * since.
 * @example isKnownFull({ own: 2, unreadTokens: 0, count: { load: 6, meanLoad: 3, ageMs: 300, ownThen: 1 } }, 7) // true
 */
export function isKnownFull({ own, count }: RankLoad, slots: number): boolean {
  if (!count || count.ageMs > MAX_FULL_COUNT_AGE_MS) return false;
  return Math.max(0, count.load - count.ownThen) + own >= slots;
}
