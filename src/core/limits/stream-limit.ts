/**
 * How many streams a group of engines bears at once. All its ranks advance in lock-step, so every stream
 * pauses alike, and one step that takes too long makes every running stream late. The limit is such that the
 * slow steps of late would keep the pauses allowed, but for the slowest third: those come just after demand has
 * shifted, and to keep them, more callers would be refused than are late by them. Each entry finds it from its
 * own streams, with no shared counter (figures in docs/DECISIONS.md).
 */

/** How long a token step takes, as the endpoints publish it. */
export interface StepModel {
  readonly ranks: number;
  /** Requests that one rank works on at once. */
  readonly slots: number;
  /** Time of a step without requests, ms. */
  readonly stepMs: number;
  /** What each request of a rank adds, ms. */
  readonly perRequestMs: number;
}

/** Settings of the limit. */
export interface StreamLimitOptions {
  /** Streams of each rank before anything is known: the first map is the worst for any demand. */
  readonly startPerRank: number;
  /** Streams of each rank where no limit would keep pauses in time. */
  readonly usualPerRank: number;
  /**
   * Streams of each rank below which a lower limit is not worth it: a step takes most of its time without
   * any, so fewer streams make it little faster, and many more callers are refused.
   */
  readonly leastPerRank: number;
  /**
   * Share of a rank's slots that the limit may take: loads of ranks differ by chance, and what comes to one whose
   * slots are all taken waits. With all slots, three groups of 24 ranks ran 1.0 to 1.6 times theirs, four of ten
   * streams were late, and steps of twice the time kept it so. It bounds the usual streams as well: 129 ranks of 4 slots
   * were given 581 streams, 65 more than they have slots, whenever steps were slow (limits.test).
   */
  readonly mostSlotShare: number;
  /** Share of the allowed pause that the slowest steps may take. */
  readonly targetShare: number;
  /** Span over which pauses are put together, ms. */
  readonly spanMs: number;
  /** Spans that count. */
  readonly spans: number;
  /** Slowest spans that are left out: steps after a shift of demand, and a group that was held for a moment. */
  readonly leftOut: number;
}

/**
 * Demand shifts each four seconds or so: five seconds hold a shift or two, each slow for three or four spans.
 * With one span left out a mean worth of 0.459 and 0.490 on five days with trouble, with seven 0.495.
 */
export const STREAM_LIMIT: StreamLimitOptions = {
  startPerRank: 3,
  usualPerRank: 4.5,
  leastPerRank: 3,
  mostSlotShare: 0.75,
  targetShare: 0.93,
  spanMs: 250,
  spans: 20,
  leftOut: 7,
};

/** Spans that are needed before the limit rests on them. */
const LEAST_SPANS = 4;

function modelMs(model: StepModel, streams: number): number {
  return model.stepMs + (model.perRequestMs * streams) / Math.max(1, model.ranks);
}

/** The limit of one group, as one entry finds it. Times are monotonic ms. */
export class StreamLimit {
  /** Mean pause over the published time of a step, for each span, oldest first. */
  private readonly ratios: number[] = [];
  private sum = 0;
  private weightedSum = 0;
  private spanEndsAtMs = 0;

  constructor(private readonly options: StreamLimitOptions = STREAM_LIMIT) {}

  /**
   * Notes a pause between two events of a stream while the group ran `streams` at once.
   * @example limit.notePause(62, 48, model, clock.nowMs());
   */
  notePause(pauseMs: number, streams: number, model: StepModel, nowMs: number): void {
    if (nowMs >= this.spanEndsAtMs) this.nextSpan(nowMs);
    const ratio = pauseMs / modelMs(model, streams);
    // Pauses count by their length: many streams note the same step, and slow steps are few.
    this.sum += ratio;
    this.weightedSum += ratio * ratio;
  }

  private nextSpan(nowMs: number): void {
    if (this.sum > 0) this.ratios.push(this.weightedSum / this.sum);
    if (this.ratios.length > this.options.spans) this.ratios.shift();
    this.sum = 0;
    this.weightedSum = 0;
    this.spanEndsAtMs = nowMs + this.options.spanMs;
  }

  /**
   * Streams that the whole group may run when pauses of `allowedMs` are still in time.
   * @example limit.streams(120, model) // 48
   */
  streams(allowedMs: number, model: StepModel): number {
    const { startPerRank, usualPerRank, leastPerRank, targetShare, leftOut } = this.options;
    const mostPerRank = model.slots * this.options.mostSlotShare;
    if (this.ratios.length < LEAST_SPANS) return model.ranks * Math.min(mostPerRank, startPerRank);
    const slowest = [...this.ratios].sort((a, b) => b - a);
    const worst = slowest[Math.min(leftOut, slowest.length - 1)] ?? 1;
    const perRank = ((allowedMs * targetShare) / worst - model.stepMs) / model.perRequestMs;
    // Streams that are late whatever the limit had better be served late than refused.
    if (perRank < leastPerRank) return model.ranks * Math.min(mostPerRank, usualPerRank);
    return model.ranks * Math.min(mostPerRank, perRank);
  }
}

/** What an entry knows of how much a group runs. */
export interface GroupCount {
  /** Streams that the group ran when it was counted. */
  readonly running: number;
  /** How long ago that was, ms. */
  readonly ageMs: number;
  /** Streams of this entry at that moment, and now. */
  readonly ownThen: number;
  readonly own: number;
  /** Entries that send to the group. */
  readonly entries: number;
}

/**
 * Streams of an entry, times the age of the count in seconds, at which half of a change in them is taken for one of the
 * whole group, half for chance: chance makes the root of the streams that came and went, and a group changes by a
 * third in a second.
 */
const CHANCE_STREAM_SECONDS = 10;

/**
 * Streams that a group runs now, from what it ran when it was counted: the others are taken to have done as this
 * entry did since, but for what may be chance.
 *
 * A group's count is up to two seconds old. Where places rested on it and on the own streams of now, they grew with
 * each stream that was let in: entries that were told of 34 streams gave out 2,045 places of a limit of 331, refused
 * everyone two seconds later, and the group ran 125 to 477 streams by turns. Of played callers who are told each 1.2 s,
 * 0.02 are refused while the group has room in place of 0.23 (shared-places.test). Weighed: the own streams of then alone, which refuse 0.10
 * of the callers of a group that is 0.7 full, since an entry with few streams by chance keeps few places.
 * @example runningNow({ running: 200, ageMs: 1000, ownThen: 5, own: 8, entries: 40 }) // 253
 */
export function runningNow({ running, ageMs, ownThen, own, entries }: GroupCount): number {
  const mean = running / Math.max(1, entries);
  const rise = Math.max(0, own - Math.max(ownThen, mean));
  const fall = Math.max(0, Math.min(ownThen, mean) - own);
  const most = Math.max(own, mean);
  const known = (most * ageMs) / 1000;
  const share = known / (known + CHANCE_STREAM_SECONDS);
  return Math.max(own, running + share * entries * (rise - fall));
}

/** What an entry needs to find its part of a limit. */
export interface GroupLoad extends GroupCount {
  /** Streams that the whole group may run. */
  readonly limit: number;
}

/** Part of the limit that is split evenly among entries; the rest goes by what each runs now. */
const EVEN_SHARE = 0.25;
/** Places that an entry has however full the group is, so that it can begin at all. */
const LEAST_PLACES = 2;

/**
 * Part of what is free that is handed out at once: what the group runs is known 0.3 s late, and all
 * entries see the same free places (with all of it handed out, groups ran 1.4 times their limit).
 */
const FREE_SHARE = 0.5;

/**
 * Places of this entry: its share of the limit, and of a part of what is free.
 * @example placesOf({ limit: 48, running: 48, ageMs: 0, ownThen: 8, own: 8, entries: 6 }) // 8
 */
export function placesOf(load: GroupLoad): number {
  const running = runningNow(load);
  const even = 1 / Math.max(1, load.entries);
  const byUse = running > 0 ? Math.min(1, load.own / running) : even;
  const share = EVEN_SHARE * even + (1 - EVEN_SHARE) * byUse;
  const free = Math.max(0, load.limit - running);
  return Math.max(LEAST_PLACES, Math.round(share * (load.limit + FREE_SHARE * free)));
}
