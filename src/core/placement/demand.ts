/**
 * Which experts are in demand now, from counts of tokens. Demand holds still for some seconds and then
 * shifts at once: while it holds, older counts make the estimate better; after a shift they are worthless.
 * A layer whose newest counts look unlike its estimate therefore begins anew with them alone.
 */
import type { Popularity } from './types.js';

/** Settings of the estimate; weighed on recorded counts, docs/EXPERIMENTS.md. */
export interface DemandOptions {
  /** Likeness (cosine) of newest counts and estimate below which demand has shifted. */
  readonly shiftBelow: number;
  /** Half-life of counts just after a shift, and at most, ms; between them it is the time since the shift. */
  readonly leastHalfLifeMs: number;
  readonly mostHalfLifeMs: number;
  /** Tokens in a layer below which newest counts are no sign of a shift. */
  readonly leastTokens: number;
}

export const DEMAND: DemandOptions = {
  shiftBelow: 0.92,
  leastHalfLifeMs: 200,
  mostHalfLifeMs: 700,
  leastTokens: 2000,
};

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/**
 * Cosine of the angle between two vectors: 1 for the same shape, 0 for nothing in common.
 * @example likeness([1, 0], [2, 0]) // 1
 */
export function likeness(a: readonly number[], b: readonly number[]): number {
  let product = 0;
  let squaresA = 0;
  let squaresB = 0;
  a.forEach((value, i) => {
    const other = b[i] ?? 0;
    product += value * other;
    squaresA += value * value;
    squaresB += other * other;
  });
  return squaresA > 0 && squaresB > 0 ? product / Math.sqrt(squaresA * squaresB) : 0;
}

/** Demand of one group. Times are monotonic ms. */
export class DemandEstimate {
  private readonly sums: number[][];
  private readonly shiftedAtMs: number[];
  private takenAtMs = 0;

  constructor(
    layers: number,
    private readonly experts: number,
    private readonly options: DemandOptions = DEMAND,
  ) {
    this.sums = Array.from({ length: layers }, () => new Array<number>(experts).fill(0));
    this.shiftedAtMs = new Array<number>(layers).fill(Number.NEGATIVE_INFINITY);
  }

  /**
   * Takes the tokens counted since the last call; what is not a finite, non-negative number is left out.
   * @example demand.add([[3, 0], [1, 2]], clock.nowMs())
   */
  add(counts: Popularity, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.takenAtMs);
    this.takenAtMs = nowMs;
    this.sums.forEach((sums, layer) => {
      const newest = Array.from({ length: this.experts }, (_, e) => countAt(counts, layer, e));
      if (this.hasShifted(sums, newest)) {
        this.shiftedAtMs[layer] = nowMs;
        sums.fill(0);
      }
      const keep = 0.5 ** (elapsedMs / this.halfLifeMs(layer, nowMs));
      newest.forEach((count, e) => (sums[e] = (sums[e] ?? 0) * keep + count));
    });
  }

  /** The estimate, by layer and expert. */
  read(): Popularity {
    return this.sums;
  }

  private hasShifted(sums: readonly number[], newest: readonly number[]): boolean {
    const { leastTokens, shiftBelow } = this.options;
    if (sumOf(newest) < leastTokens || sumOf(sums) === 0) return false;
    return likeness(newest, sums) < shiftBelow;
  }

  private halfLifeMs(layer: number, nowMs: number): number {
    const { leastHalfLifeMs, mostHalfLifeMs } = this.options;
    const sinceMs = nowMs - (this.shiftedAtMs[layer] ?? 0);
    return Math.min(mostHalfLifeMs, Math.max(leastHalfLifeMs, sinceMs));
  }
}

function countAt(counts: Popularity, layer: number, expert: number): number {
  const count = counts[layer]?.[expert] ?? 0;
  return Number.isFinite(count) && count > 0 ? count : 0;
}
