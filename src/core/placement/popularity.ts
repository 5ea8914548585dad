/** Estimates expert popularity from decayed token counts and the shifts declared for events. */
import type { Popularity } from './types.js';

/** Exponentially decayed token counts of one group. */
export class PopularityEstimate {
  private readonly sums: number[][];

  /** @param halfLifeMs age at which the weight of a count has halved */
  constructor(
    layers: number,
    private readonly experts: number,
    private readonly halfLifeMs: number,
  ) {
    this.sums = Array.from({ length: layers }, () => new Array<number>(experts).fill(0));
  }

  /**
   * Adds the counts of the last interval; counts that are negative or not finite are ignored.
   * @example estimate.add([[3, 0], [1, 2]], 2000)
   */
  add(counts: Popularity, elapsedMs: number): void {
    const decay = 0.5 ** (Math.max(0, elapsedMs) / this.halfLifeMs);
    this.sums.forEach((layer, l) => {
      for (let e = 0; e < this.experts; e += 1) {
        const count = counts[l]?.[e] ?? 0;
        layer[e] = (layer[e] ?? 0) * decay + (Number.isFinite(count) && count > 0 ? count : 0);
      }
    });
  }

  /** Returns the current estimate, indexed by layer and expert. */
  read(): Popularity {
    return this.sums;
  }
}

/** An expected popularity change of one expert, declared in advance for an event. */
export interface DeclaredShift {
  readonly expert: number;
  readonly factor: number;
}

/**
 * Applies declared shifts to a popularity estimate. `confidence` scales them: 0 ignores them, 1
 * applies the full factors.
 * @example applyDeclaredShifts([[10, 10]], [{ expert: 0, factor: 3 }], 0.5) // [[20, 10]]
 */
export function applyDeclaredShifts(
  popularity: Popularity,
  shifts: readonly DeclaredShift[],
  confidence: number,
): Popularity {
  if (shifts.length === 0 || confidence <= 0) return popularity;
  return popularity.map((layer) => {
    const shifted = [...layer];
    for (const { expert, factor } of shifts) {
      if (expert < shifted.length)
        shifted[expert] = (shifted[expert] ?? 0) * (1 + (factor - 1) * Math.min(1, confidence));
    }
    return shifted;
  });
}
