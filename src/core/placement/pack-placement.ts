/**
 * Builds a placement from scratch: the initial placement of a group and a baseline for comparison.
 */
import type { LayerMap, Placement, Popularity } from './types.js';

interface Replica {
  readonly expert: number;
  readonly load: number;
}

/**
 * Assigns one slot per expert, then each spare slot to the expert with the highest load per
 * replica.
 */
function replicate(popularity: readonly number[], slots: number): Replica[] {
  const counts = popularity.map(() => 1);
  for (let spare = slots - popularity.length; spare > 0; spare -= 1) {
    let hottest = 0;
    popularity.forEach((tokens, e) => {
      if (tokens / (counts[e] ?? 1) > (popularity[hottest] ?? 0) / (counts[hottest] ?? 1))
        hottest = e;
    });
    counts[hottest] = (counts[hottest] ?? 1) + 1;
  }
  return popularity.flatMap((tokens, expert) => {
    const count = counts[expert] ?? 1;
    return Array.from({ length: count }, () => ({ expert, load: tokens / count }));
  });
}

function packLayer(popularity: readonly number[], ranks: number, slotsPerRank: number): LayerMap {
  const replicas = replicate(popularity, Math.min(ranks * slotsPerRank, popularity.length * ranks));
  replicas.sort((a, b) => b.load - a.load);
  const bins = Array.from({ length: ranks }, () => ({ experts: [] as number[], load: 0 }));
  for (const { expert, load } of replicas) {
    const open = bins.filter((b) => b.experts.length < slotsPerRank && !b.experts.includes(expert));
    const [firstOpen] = open;
    if (!firstOpen) continue; // All ranks with free slots hold it; one replica is always placed.
    const bin = open.reduce((least, b) => (b.load < least.load ? b : least), firstOpen);
    bin.experts.push(expert);
    bin.load += load;
  }
  return bins.map((b) => b.experts);
}

/**
 * Replicates the most popular experts, then assigns replicas in descending order of load to the
 * least loaded rank with a free slot (longest processing time first).
 * @example packPlacement([[5, 1, 1, 1]], 2, 3)
 */
export function packPlacement(
  popularity: Popularity,
  ranks: number,
  slotsPerRank: number,
): Placement {
  return popularity.map((layer) => packLayer(layer, ranks, slotsPerRank));
}
