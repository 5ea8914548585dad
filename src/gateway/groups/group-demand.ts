/** Demand for one group at this entry, and the admission level that follows from it and from the group's digest. */
import type { Clock } from '../../core/clock/index.js';
import type { GroupStreamCount } from '../../core/limits/index.js';
import { estimateInFlight, HoldingTime } from '../../core/limits/index.js';
import {
  admissionLevel,
  HoldCorrection,
  DemandCounter,
  HOLDING_TIME_CONSTANT_MS,
  type AdmissionLevel,
  type ServiceUrgencies,
} from '../../core/urgency/index.js';
import type { Demand } from '../../generated/messages.types.js';

/** Time for which a computed level is used, ms; much shorter than the time constant of the demand. */
const LEVEL_INTERVAL_MS = 25;
/** Time for which own demand is kept, ms, and interval between two samples; a digest is used for up to 3 s. */
const HISTORY_MS = 4000;
const HISTORY_RESOLUTION_MS = 100;

/** What the level needs to know about the group. */
export interface GroupFacts {
  readonly count: GroupStreamCount;
  /** Streams that the group may run, as this entry estimates it. */
  readonly limit: number;
  /** Demand at all entries, as old as the count. */
  readonly demand: Demand | undefined;
}

/** Demand and admission level of one group. */
export class GroupDemand {
  private readonly counter: DemandCounter;
  private readonly holdingTime = new HoldingTime(HOLDING_TIME_CONSTANT_MS);
  private readonly correction = new HoldCorrection();
  /** Own demand of the last seconds, oldest first. */
  private readonly history: { readonly atMs: number; readonly demand: Demand }[] = [];
  /** Newest facts; the level outlives them while the status of the group is unknown. */
  private facts: GroupFacts | undefined;
  private factsAtMs = 0;
  private level: AdmissionLevel | undefined;
  private levelAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {
    this.counter = new DemandCounter(clock.nowMs());
  }

  /** Counts a first try. */
  noteArrival(urgency: number, organisation: string | undefined): void {
    this.counter.note(urgency, organisation, this.clock.nowMs());
  }

  /** Notes the number of slots that this entry has taken. */
  noteTaken(taken: number): void {
    this.holdingTime.note(taken, this.clock.nowMs());
  }

  /** Demand at this entry, to report to the group. */
  report(limit: number | undefined): Demand {
    const nowMs = this.clock.nowMs();
    const holdMs = this.holdingTime.meanMs(nowMs);
    return {
      ...this.counter.read(nowMs),
      ...(holdMs !== undefined && { holdMs: Math.round(holdMs) }),
      ...(limit !== undefined && { limit: Math.round(limit) }),
    };
  }

  /**
   * The admission level; undefined while neither the digest nor this entry knows any demand, or no stream has ended yet.
   * @example demand.levelFor(urgencies, facts)?.cut
   */
  levelFor(urgencies: ServiceUrgencies, facts: GroupFacts | undefined): AdmissionLevel | undefined {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.levelAtMs < LEVEL_INTERVAL_MS) return this.level;
    if (facts) [this.facts, this.factsAtMs] = [facts, nowMs];
    this.levelAtMs = nowMs;
    this.level = this.computeLevel(urgencies, nowMs);
    return this.level;
  }

  /** Returns the demand at this entry, and keeps it for comparison with later digests. */
  private ownDemand(nowMs: number): Demand {
    const demand = this.counter.read(nowMs);
    if (nowMs - (this.history.at(-1)?.atMs ?? 0) >= HISTORY_RESOLUTION_MS)
      this.history.push({ atMs: nowMs, demand });
    while ((this.history[1]?.atMs ?? nowMs) < nowMs - HISTORY_MS) this.history.shift();
    return demand;
  }

  private computeLevel(urgencies: ServiceUrgencies, nowMs: number): AdmissionLevel | undefined {
    const { facts } = this;
    if (!facts) return undefined;
    const holdMs = facts.demand?.holdMs ?? this.holdingTime.meanMs(nowMs);
    if (holdMs === undefined) return undefined;
    const heldMs = nowMs - this.factsAtMs;
    const limit = facts.demand?.limit ?? facts.limit;
    // Without a new status the streams of the group are unknown, and nothing is corrected by them.
    const inFlight = heldMs > 0 ? limit : estimateInFlight(facts.count);
    this.correction.update(inFlight / Math.max(1, limit), this.level?.cut !== undefined, nowMs);
    const own = this.ownDemand(nowMs);
    const countedAtMs = this.factsAtMs - facts.count.ageMs;
    return admissionLevel({
      limit,
      inFlight,
      holdMs: holdMs * this.correction.factor,
      group: facts.demand,
      ageMs: facts.count.ageMs + heldMs,
      own,
      ownAtCount: this.history.findLast(({ atMs }) => atMs <= countedAtMs)?.demand ?? own,
      entries: facts.count.entries,
      mayHave: urgencies.mayHave,
    });
  }
}
