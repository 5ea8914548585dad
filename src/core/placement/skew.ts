/** Computes rank loads and their skew. In every layer all ranks wait for the slowest one. */
import type { LayerMap, Placement, Popularity } from './types.js';

/**
 * Returns the tokens that each rank carries in one layer; replicas share the tokens of an expert
 * evenly.
 * @example rankLoads([[0], [0, 1]], [10, 4]) // [5, 9]
 */
export function rankLoads(layer: LayerMap, popularity: readonly number[]): number[] {
  const replicas = new Array<number>(popularity.length).fill(0);
  for (const rank of layer)
    for (const expert of rank) replicas[expert] = (replicas[expert] ?? 0) + 1;
  return layer.map((rank) =>
    rank.reduce((sum, e) => sum + (popularity[e] ?? 0) / (replicas[e] ?? 1), 0),
  );
}

/** Returns the largest and the mean rank load of each layer, summed over all layers. */
export function loadSums(
  placement: Placement,
  popularity: Popularity,
): { max: number; mean: number } {
  let max = 0;
  let mean = 0;
  placement.forEach((layer, l) => {
    const loads = rankLoads(layer, popularity[l] ?? []);
    max += Math.max(...loads);
    mean += loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
  });
  return { max, mean };
}

/**
 * Step-time skew: summed largest loads divided by summed mean loads; 1 when balanced.
 * @example stepSkew([[[0], [1]]], [[3, 1]]) // 1.5
 */
export function stepSkew(placement: Placement, popularity: Popularity): number {
  const { max, mean } = loadSums(placement, popularity);
  return mean > 0 ? max / mean : 1;
}

/**
 * Counts the experts that ranks have to fetch to change from one placement to another.
 * @example countFetchedExperts([[[0], [1]]], [[[1], [1]]]) // 1
 */
export function countFetchedExperts(from: Placement, to: Placement): number {
  let count = 0;
  to.forEach((layer, l) =>
    layer.forEach((rank, r) => {
      const had = new Set(from[l]?.[r] ?? []);
      count += rank.filter((e) => !had.has(e)).length;
    }),
  );
  return count;
}
