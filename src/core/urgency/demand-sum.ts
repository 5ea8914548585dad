/** Sums the demand of all entries of a group: the latest report of each counts once, whichever agent received it. */
import type { Demand } from '../../generated/messages.types.js';
import {
  MAX_ENTRY_PER_S,
  MAX_HOLD_MS,
  MAX_LIMIT,
  MAX_ORGANISATIONS,
  MAX_URGENCIES,
  SPREAD_TIME_CONSTANT_MS,
} from './consts.js';

/** Age at which a report no longer counts, ms: entries report every 0.3 s. */
const MAX_REPORT_AGE_MS = 2000;
/**
 * Arrivals of one entry that count, as a multiple of the median entry's. Without it, one report of any size would have
 * all others refuse the classes below it.
 */
const MAX_TIMES_MEDIAN = 10;
/** Arrivals a second of one entry that count in any case. */
const MIN_COUNTED_PER_S = 20;
/** Entries kept; a deployment has a few hundred. */
const MAX_ENTRIES = 4096;

type Counts = Demand['byUrgency'];

/** A demand within bounds, and the fields that were dropped. */
export interface CheckedDemand {
  readonly demand: Demand;
  readonly invalid: readonly string[];
}

/**
 * Drops values that are implausible or no number from a reported demand.
 * @example checkDemand({ byUrgency: { '12': -3 }, byOrganisation: {} }).invalid // ['byUrgency.12']
 */
export function checkDemand(reported: Demand): CheckedDemand {
  const invalid: string[] = [];
  const check = (name: string, value: unknown, max: number): number | undefined => {
    if (typeof value === 'number' && value >= 0 && value <= max) return value;
    invalid.push(name);
    return undefined;
  };
  const checkAll = (name: string, counts: Counts, maxKeys: number): Record<string, number> => {
    const entries = Object.entries(counts);
    if (entries.length > maxKeys) invalid.push(name);
    const checked = entries.slice(0, maxKeys).flatMap(([key, value]) => {
      const count = check(`${name}.${key}`, value, MAX_ENTRY_PER_S);
      return count === undefined ? [] : [[key, count] as const];
    });
    return Object.fromEntries(checked);
  };
  const { holdMs, limit, othersPerS } = reported;
  const isUrgency = ([key]: [string, unknown]): boolean => /^\d{1,2}$/.test(key);
  const byUrgency = Object.fromEntries(Object.entries(reported.byUrgency).filter(isUrgency));
  if (Object.keys(byUrgency).length < Object.keys(reported.byUrgency).length)
    invalid.push('byUrgency');
  const demand: Demand = {
    byUrgency: checkAll('byUrgency', byUrgency, MAX_URGENCIES),
    byOrganisation: checkAll('byOrganisation', reported.byOrganisation, MAX_ORGANISATIONS),
    othersPerS:
      othersPerS === undefined ? 0 : (check('othersPerS', othersPerS, MAX_ENTRY_PER_S) ?? 0),
  };
  const checkedHoldMs = holdMs === undefined ? undefined : check('holdMs', holdMs, MAX_HOLD_MS);
  const checkedLimit = limit === undefined ? undefined : check('limit', limit, MAX_LIMIT);
  if (checkedHoldMs !== undefined) demand.holdMs = checkedHoldMs;
  if (checkedLimit !== undefined) demand.limit = checkedLimit;
  return { demand, invalid };
}

/** Arrivals a second of all urgencies together. */
export function totalPerS({ byUrgency }: Demand): number {
  return Object.values(byUrgency).reduce<number>((sum, perS) => sum + (perS ?? 0), 0);
}

function addCounts(sums: Map<string, number>, counts: Counts, scale: number): void {
  for (const [key, perS] of Object.entries(counts))
    sums.set(key, (sums.get(key) ?? 0) + (perS ?? 0) * scale);
}

function medianOf(values: number[]): number | undefined {
  return values.sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}

function toCounts(entries: readonly (readonly [string, number])[]): Record<string, number> {
  return Object.fromEntries(entries.map(([key, perS]) => [key, round(perS)]));
}

/**
 * Sums checked demands; holding times by their arrivals, limits by their median.
 * @example sumDemands([one, other]).byUrgency['12']
 */
export function sumDemands(demands: readonly Demand[]): Demand {
  const urgencies = new Map<string, number>();
  const organisations = new Map<string, number>();
  let others = 0;
  let holdSum = 0;
  let holdWeight = 0;
  const totals = demands.map(totalPerS);
  const maxPerS = Math.max(MIN_COUNTED_PER_S, MAX_TIMES_MEDIAN * (medianOf([...totals]) ?? 0));
  for (const [i, demand] of demands.entries()) {
    const weight = Math.min(totals[i] ?? 0, maxPerS);
    const scale = weight / Math.max(totals[i] ?? 0, weight, Number.MIN_VALUE);
    addCounts(urgencies, demand.byUrgency, scale);
    addCounts(organisations, demand.byOrganisation, scale);
    others += (demand.othersPerS ?? 0) * scale;
    if (typeof demand.holdMs !== 'number') continue;
    holdSum += demand.holdMs * weight;
    holdWeight += weight;
  }
  const bySize = [...organisations].sort((a, b) => b[1] - a[1]);
  const rest = bySize.slice(MAX_ORGANISATIONS).reduce((sum, [, perS]) => sum + perS, 0);
  const kept = [...urgencies].sort((a, b) => b[1] - a[1]).slice(0, MAX_URGENCIES);
  const limit = medianOf(demands.flatMap((d) => (typeof d.limit === 'number' ? [d.limit] : [])));
  return {
    byUrgency: toCounts(kept),
    byOrganisation: toCounts(bySize.slice(0, MAX_ORGANISATIONS)),
    othersPerS: round(others + rest),
    ...(holdWeight > 0 && { holdMs: Math.round(holdSum / holdWeight) }),
    ...(limit !== undefined && { limit: Math.round(limit) }),
  };
}

interface Report {
  readonly demand: Demand;
  readonly atMs: number;
}

interface Spread {
  mean: number;
  variance: number;
}

/** The latest demand of each entry of one group. Times are monotonic ms. */
export class DemandSum {
  private readonly reports = new Map<string, Report>();
  private readonly spreads = new Map<string, Spread>();
  private updatedAtMs: number | undefined;

  /** Records a report; an older one than the latest of the same entry is ignored. */
  record(entry: string, demand: Demand, atMs: number): void {
    const known = this.reports.get(entry);
    if (known && known.atMs >= atMs) return;
    if (!known && this.reports.size >= MAX_ENTRIES) return;
    this.reports.set(entry, { demand, atMs });
  }

  /**
   * The sum with its spread; undefined without a recent report.
   * @example demandSum.read(clock.nowMs())?.byUrgency
   */
  read(nowMs: number): Demand | undefined {
    for (const [entry, { atMs }] of this.reports)
      if (nowMs - atMs > MAX_REPORT_AGE_MS) this.reports.delete(entry);
    if (this.reports.size === 0) return undefined;
    const sum = sumDemands([...this.reports.values()].map((report) => report.demand));
    this.updateSpreads(sum.byUrgency, nowMs);
    const spread = [...this.spreads].map(([u, { variance }]) => [u, Math.sqrt(variance)] as const);
    return { ...sum, spread: toCounts(spread) };
  }

  private updateSpreads(byUrgency: Counts, nowMs: number): void {
    const elapsedMs = nowMs - (this.updatedAtMs ?? nowMs);
    this.updatedAtMs = nowMs;
    const weight = 1 - Math.exp(-elapsedMs / SPREAD_TIME_CONSTANT_MS);
    for (const urgency of this.spreads.keys())
      if (!(urgency in byUrgency)) this.spreads.delete(urgency);
    for (const [urgency, perS] of Object.entries(byUrgency)) {
      const known = this.spreads.get(urgency) ?? { mean: perS ?? 0, variance: 0 };
      const difference = (perS ?? 0) - known.mean;
      known.mean += weight * difference;
      known.variance = (1 - weight) * (known.variance + weight * difference * difference);
      this.spreads.set(urgency, known);
    }
  }
}
