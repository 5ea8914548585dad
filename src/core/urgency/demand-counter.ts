/** Counts the first tries that arrive at one entry, by urgency and by organisation, within bounds. */
import type { Demand } from '../../generated/messages.types.js';
import {
  DEMAND_TIME_CONSTANT_MS,
  MAX_COUNTED_ORGANISATIONS,
  MAX_ORGANISATIONS,
  MAX_URGENCIES,
} from './consts.js';
import { DecayedRate } from './decayed-rate.js';

/** Time after the start before which counts are not extrapolated further, ms. */
const MIN_HISTORY_MS = 300;
/** Arrivals a second below which a count is dropped. */
const MIN_PER_S = 0.01;

function round(perS: number): number {
  return Number(perS.toPrecision(3));
}

/** Arrivals at one entry. Times are monotonic ms. */
export class DemandCounter {
  private readonly byUrgency = new Map<number, DecayedRate>();
  private readonly byOrganisation = new Map<string, DecayedRate>();
  private readonly others: DecayedRate;

  constructor(private readonly startedAtMs: number) {
    this.others = new DecayedRate(DEMAND_TIME_CONSTANT_MS, startedAtMs);
  }

  /** Counts an arrival. */
  note(urgency: number, organisation: string | undefined, nowMs: number): void {
    this.urgencyCount(urgency, nowMs).add(nowMs);
    this.organisationCount(organisation, nowMs).add(nowMs);
  }

  /**
   * Arrivals a second; those of the first second are extrapolated.
   * @example counter.read(clock.nowMs()).byUrgency['12'] // 3.4
   */
  read(nowMs: number): Demand {
    this.prune(nowMs);
    const historyMs = Math.max(MIN_HISTORY_MS, nowMs - this.startedAtMs);
    const scale = 1 / (1 - Math.exp(-historyMs / DEMAND_TIME_CONSTANT_MS));
    const perS = (rate: DecayedRate): number => round(rate.read(nowMs) * scale);
    const organisations = [...this.byOrganisation]
      .map(([id, rate]) => [id, perS(rate)] as const)
      .sort((a, b) => b[1] - a[1]);
    const rest = organisations.slice(MAX_ORGANISATIONS).reduce((sum, [, rate]) => sum + rate, 0);
    return {
      byUrgency: Object.fromEntries([...this.byUrgency].map(([u, rate]) => [u, perS(rate)])),
      byOrganisation: Object.fromEntries(organisations.slice(0, MAX_ORGANISATIONS)),
      othersPerS: round(rest + perS(this.others)),
    };
  }

  private urgencyCount(urgency: number, nowMs: number): DecayedRate {
    const known = this.byUrgency.get(urgency);
    if (known) return known;
    if (this.byUrgency.size >= MAX_URGENCIES) this.prune(nowMs);
    if (this.byUrgency.size >= MAX_URGENCIES) return this.nearestCount(urgency);
    const created = new DecayedRate(DEMAND_TIME_CONSTANT_MS, nowMs);
    this.byUrgency.set(urgency, created);
    return created;
  }

  private nearestCount(urgency: number): DecayedRate {
    const distance = (other: number): number => Math.abs(other - urgency);
    const nearest = [...this.byUrgency].sort(([a], [b]) => distance(a) - distance(b));
    return (nearest[0] as [number, DecayedRate])[1];
  }

  private organisationCount(organisation: string | undefined, nowMs: number): DecayedRate {
    if (organisation === undefined) return this.others;
    const known = this.byOrganisation.get(organisation);
    if (known) return known;
    if (this.byOrganisation.size >= MAX_COUNTED_ORGANISATIONS) this.prune(nowMs);
    if (this.byOrganisation.size >= MAX_COUNTED_ORGANISATIONS) this.mergeSmallest(nowMs);
    const created = new DecayedRate(DEMAND_TIME_CONSTANT_MS, nowMs);
    this.byOrganisation.set(organisation, created);
    return created;
  }

  private mergeSmallest(nowMs: number): void {
    const smallest = [...this.byOrganisation].reduce((least, entry) =>
      entry[1].read(nowMs) < least[1].read(nowMs) ? entry : least,
    );
    this.byOrganisation.delete(smallest[0]);
    this.others.add(nowMs, (smallest[1].read(nowMs) * DEMAND_TIME_CONSTANT_MS) / 1000);
  }

  private prune(nowMs: number): void {
    for (const counts of [this.byUrgency, this.byOrganisation] as Map<unknown, DecayedRate>[])
      for (const [key, rate] of counts) if (rate.read(nowMs) < MIN_PER_S) counts.delete(key);
  }
}
