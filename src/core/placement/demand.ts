/**
 * Estimates the current demand for each expert from token counts. Demand stays stable for some
 * seconds and then shifts abruptly: older counts improve the estimate until a shift and are useless
 * after it. A layer whose newest counts differ too much from its estimate is therefore reset to
 * those counts.
 */
import type { Popularity } from './types.js';

/**
 * Parameters of the estimate; how the defaults compare is in docs/EXPERIMENTS.md.
 */
export interface DemandOptions {
  /** Cosine similarity of newest counts and estimate below which a shift is detected. */
  readonly shiftThreshold: number;
  /** The half-life of counts is the time since the last shift, bounded by these two values, ms. */
  readonly minHalfLifeMs: number;
  readonly maxHalfLifeMs: number;
  /** Minimum number of new tokens in a layer for shift detection. */
  readonly minTokens: number;
}

export const DEFAULT_DEMAND_OPTIONS: DemandOptions = {
  shiftThreshold: 0.92,
  minHalfLifeMs: 200,
  maxHalfLifeMs: 700,
  minTokens: 2000,
};

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/**
 * Cosine similarity of two non-negative vectors: 1 if proportional, 0 if orthogonal or zero.
 * @example cosineSimilarity([1, 0], [2, 0]) // 1
 */
export function cosineSimilarity(a: readonly number[], b: readonly number[]): number {
  let dotProduct = 0;
  let squaresA = 0;
  let squaresB = 0;
  a.forEach((value, i) => {
    const other = b[i] ?? 0;
    dotProduct += value * other;
    squaresA += value * value;
    squaresB += other * other;
  });
  return squaresA > 0 && squaresB > 0 ? dotProduct / Math.sqrt(squaresA * squaresB) : 0;
}

/** Demand estimate of one group, with a separate shift detection for each layer. */
export class DemandEstimate {
  private readonly sums: number[][];
  private readonly shiftedAtMs: number[];
  private lastAddedAtMs = 0;

  constructor(
    layers: number,
    private readonly experts: number,
    private readonly options: DemandOptions = DEFAULT_DEMAND_OPTIONS,
  ) {
    this.sums = Array.from({ length: layers }, () => new Array<number>(experts).fill(0));
    this.shiftedAtMs = new Array<number>(layers).fill(Number.NEGATIVE_INFINITY);
  }

  /**
   * Adds the tokens counted since the last call; counts that are negative or not finite are
   * ignored. `nowMs` is monotonic time.
   * @example demand.add([[3, 0], [1, 2]], clock.nowMs())
   */
  add(counts: Popularity, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.lastAddedAtMs);
    this.lastAddedAtMs = nowMs;
    this.sums.forEach((sums, layer) => {
      const newest = Array.from({ length: this.experts }, (_, e) => countAt(counts, layer, e));
      if (this.hasShifted(sums, newest)) {
        this.shiftedAtMs[layer] = nowMs;
        sums.fill(0);
      }
      const decay = 0.5 ** (elapsedMs / this.halfLifeMs(layer, nowMs));
      newest.forEach((count, e) => (sums[e] = (sums[e] ?? 0) * decay + count));
    });
  }

  /** Returns the current estimate, indexed by layer and expert. */
  read(): Popularity {
    return this.sums;
  }

  private hasShifted(sums: readonly number[], newest: readonly number[]): boolean {
    const { minTokens, shiftThreshold } = this.options;
    if (sumOf(newest) < minTokens || sumOf(sums) === 0) return false;
    return cosineSimilarity(newest, sums) < shiftThreshold;
  }

  private halfLifeMs(layer: number, nowMs: number): number {
    const { minHalfLifeMs, maxHalfLifeMs } = this.options;
    const sinceMs = nowMs - (this.shiftedAtMs[layer] ?? 0);
    return Math.min(maxHalfLifeMs, Math.max(minHalfLifeMs, sinceMs));
  }
}

function countAt(counts: Popularity, layer: number, expert: number): number {
  const count = counts[layer]?.[expert] ?? 0;
  return Number.isFinite(count) && count > 0 ? count : 0;
}
