/**
 * Estimates how many concurrent streams a group of engines can run. All ranks of a group advance in
 * lock-step, so all streams pause alike, and one step that takes too long makes every stream late.
 * The limit keeps pauses within the allowed time at the recent slow steps, except for about the
 * slowest third: those follow a shift of demand, and a limit that kept them in time would refuse
 * more callers than they make late. Each entry estimates it from its own streams, without a shared
 * counter (figures in docs/DECISIONS.md).
 */

/** Duration of a token step, as published by the endpoints. */
export interface StepModel {
  readonly ranks: number;
  /** Concurrent requests of one rank. */
  readonly slots: number;
  /** Duration of a step without requests, ms. */
  readonly stepMs: number;
  /** Time added by each request of a rank, ms. */
  readonly perRequestMs: number;
}

/** Settings of the estimator. */
export interface StreamLimitOptions {
  /**
   * Streams per rank before any pauses are observed; the first expert map is the worst one for any
   * demand.
   */
  readonly initialPerRank: number;
  /** Streams per rank if no limit would keep pauses in time. */
  readonly fallbackPerRank: number;
  /**
   * Streams per rank below which a limit is not worth it: most of a step's time does not depend on
   * its streams, so fewer streams barely speed it up but refuse many more callers.
   */
  readonly minPerRank: number;
  /**
   * Part of a rank's slots that the limit may use. Loads of ranks differ by chance, and requests to
   * a rank whose slots are all taken wait. With all slots, three groups of 24 ranks ran 1.0 to 1.6
   * times as many streams as they had slots, four of ten streams were late, and steps of twice the
   * duration kept it so. It also bounds `fallbackPerRank`, which gave 129 ranks of 4 slots 581
   * streams, 65 more than their slots, whenever steps were slow.
   */
  readonly maxSlotShare: number;
  /** Part of the allowed pause that the slowest steps may take. */
  readonly targetPauseShare: number;
  /** Length of the windows over which pauses are averaged, ms. */
  readonly windowMs: number;
  /** Number of recent windows considered. */
  readonly maxWindows: number;
  /**
   * Number of slowest windows ignored: steps after a shift of demand, or while the group was
   * briefly stalled.
   */
  readonly ignoredWindows: number;
}

/**
 * Demand shifts about every 4 s; the 5 s considered hold one or two shifts, each slow for three or
 * four windows. On five days with faults the mean value per caller was 0.459 and 0.490 with one
 * window ignored, 0.495 with seven.
 */
export const DEFAULT_STREAM_LIMIT_OPTIONS: StreamLimitOptions = {
  initialPerRank: 3,
  fallbackPerRank: 4.5,
  minPerRank: 3,
  maxSlotShare: 0.75,
  targetPauseShare: 0.93,
  windowMs: 250,
  maxWindows: 20,
  ignoredWindows: 7,
};

/** Windows needed before the limit is based on them. */
const MIN_WINDOWS = 4;

function predictedStepMs(model: StepModel, streams: number): number {
  return model.stepMs + (model.perRequestMs * streams) / Math.max(1, model.ranks);
}

/** The stream limit of one group, as estimated by one entry. Times are monotonic ms. */
export class StreamLimitEstimator {
  /** Mean ratio of observed pause to published step duration in each window, oldest first. */
  private readonly windowRatios: number[] = [];
  private ratioSum = 0;
  private squaredRatioSum = 0;
  private windowEndsAtMs = 0;

  constructor(private readonly options: StreamLimitOptions = DEFAULT_STREAM_LIMIT_OPTIONS) {}

  /**
   * Notes a pause between two events of a stream while the group had `inFlight` streams.
   * @example estimator.notePause(62, 48, model, clock.nowMs());
   */
  notePause(pauseMs: number, inFlight: number, model: StepModel, nowMs: number): void {
    if (nowMs >= this.windowEndsAtMs) this.startWindow(nowMs);
    const ratio = pauseMs / predictedStepMs(model, inFlight);
    // Weighted by length: many streams observe the same step, and slow steps are few.
    this.ratioSum += ratio;
    this.squaredRatioSum += ratio * ratio;
  }

  private startWindow(nowMs: number): void {
    if (this.ratioSum > 0) this.windowRatios.push(this.squaredRatioSum / this.ratioSum);
    if (this.windowRatios.length > this.options.maxWindows) this.windowRatios.shift();
    this.ratioSum = 0;
    this.squaredRatioSum = 0;
    this.windowEndsAtMs = nowMs + this.options.windowMs;
  }

  /**
   * Streams that the whole group may run if pauses of up to `allowedMs` are in time.
   * @example estimator.maxStreams(120, model) // 48
   */
  maxStreams(allowedMs: number, model: StepModel): number {
    const { initialPerRank, fallbackPerRank, minPerRank, targetPauseShare, ignoredWindows } =
      this.options;
    const maxPerRank = model.slots * this.options.maxSlotShare;
    if (this.windowRatios.length < MIN_WINDOWS)
      return model.ranks * Math.min(maxPerRank, initialPerRank);
    const slowestFirst = [...this.windowRatios].sort((a, b) => b - a);
    const referenceRatio = slowestFirst[Math.min(ignoredWindows, slowestFirst.length - 1)] ?? 1;
    const perRank =
      ((allowedMs * targetPauseShare) / referenceRatio - model.stepMs) / model.perRequestMs;
    // Streams that are late at any limit are better served late than refused.
    if (perRank < minPerRank) return model.ranks * Math.min(maxPerRank, fallbackPerRank);
    return model.ranks * Math.min(maxPerRank, perRank);
  }
}

/** A count of the streams of a group, as known to one entry. */
export interface GroupStreamCount {
  /** Streams in flight in the whole group when they were counted. */
  readonly running: number;
  /** Age of the count, ms. */
  readonly ageMs: number;
  /** Streams of this entry at the time of the count, and now. */
  readonly ownAtCount: number;
  readonly ownNow: number;
  /** Entries that send to the group. */
  readonly entries: number;
}

/**
 * Streams of an entry times the age of the count in seconds at which half of a change in them is
 * attributed to the whole group and half to chance. Chance is about the square root of the streams
 * that began and ended; a group changes by a third within a second.
 */
const HALF_WEIGHT_STREAM_SECONDS = 10;

/** Multiple of the mean streams of an entry above which most callers come to this one. */
const CROWDED_FACTOR = 3;

/**
 * Estimates the streams that a group runs now from an older count: the other entries are assumed to
 * have changed like this one since, except for what may be chance.
 *
 * A count is up to 2 s old. When slots were based on it and on the entry's current streams, they
 * grew with each stream admitted: entries that knew of 34 streams gave out 2,045 slots at a limit
 * of 331, refused everyone 2 s later, and the group oscillated between 125 and 477 streams. With a
 * count every 1.2 s that refused 0.23 of simulated callers while the group had room, the estimate
 * refuses 0.02. Using only the entry's streams at the time of the count would refuse 0.10 of the
 * callers of a group that is 0.7 full, since an entry that has few streams by chance keeps few
 * slots.
 * @example estimateInFlight({ running: 200, ageMs: 1000, ownAtCount: 5, ownNow: 8, entries: 40 }) // 253
 */
export function estimateInFlight({
  running,
  ageMs,
  ownAtCount,
  ownNow: own,
  entries,
}: GroupStreamCount): number {
  const meanPerEntry = running / Math.max(1, entries);
  const rise = Math.max(0, own - Math.max(ownAtCount, meanPerEntry));
  const fall = Math.max(0, Math.min(ownAtCount, meanPerEntry) - own);
  const larger = Math.max(own, meanPerEntry);
  const streamSeconds = (larger * ageMs) / 1000;
  const share = streamSeconds / (streamSeconds + HALF_WEIGHT_STREAM_SECONDS);
  // While most callers come here, the others change in proportion to the little that they have.
  const isCrowded = ownAtCount > CROWDED_FACTOR * meanPerEntry;
  const others = isCrowded ? running / ownAtCount : entries;
  return Math.max(own, running + share * (others * rise - entries * fall));
}

/** A count of the streams of a group and the limit on them. */
export interface LimitedStreamCount extends GroupStreamCount {
  /** Streams that the whole group may run. */
  readonly limit: number;
}

/**
 * Part of the limit that is split evenly among entries; the rest is split by their current streams.
 */
const EVEN_SPLIT_SHARE = 0.25;
/** Slots that an entry has however full the group is, so that it can start at all. */
const MIN_SLOTS = 2;

/**
 * Part of the free slots that is handed out at once. Counts are 0.3 s late and all entries see the
 * same free slots; with all of them handed out, groups ran 1.4 times their limit.
 */
const FREE_SLOTS_SHARE = 0.5;

/**
 * Slots of this entry: its share of the limit, and of a part of the free slots.
 * @example slotsForEntry({ limit: 48, running: 48, ageMs: 0, ownAtCount: 8, ownNow: 8, entries: 6 }) // 8
 */
export function slotsForEntry(load: LimitedStreamCount): number {
  const running = estimateInFlight(load);
  const evenShare = 1 / Math.max(1, load.entries);
  const usageShare = running > 0 ? Math.min(1, load.ownNow / running) : evenShare;
  const share = EVEN_SPLIT_SHARE * evenShare + (1 - EVEN_SPLIT_SHARE) * usageShare;
  const free = Math.max(0, load.limit - running);
  return Math.max(MIN_SLOTS, Math.round(share * (load.limit + FREE_SLOTS_SHARE * free)));
}
