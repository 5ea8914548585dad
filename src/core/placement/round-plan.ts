/**
 * Plans one placement round with few new experts per rank. Short copies bring the new map into use
 * before demand changes: demand shifts every few seconds, which makes late maps useless.
 */
import { LayerPlanner } from './layer-planner.js';
import { loadSums } from './skew.js';
import type { Move, Placement, Popularity } from './types.js';

/** Limits of one placement round. */
export interface RoundPolicy {
  /** Maximum number of experts that a rank can hold in a layer. */
  readonly slotsPerRank: number;
  /** Maximum number of new experts for a rank, over all layers; a rank copies them sequentially. */
  readonly maxNewPerRank: number;
  /**
   * Maximum number of new experts for a rank in one layer; engines reject a map that exceeds it.
   */
  readonly maxNewPerRankAndLayer: number;
  /**
   * Minimum reduction of the summed largest loads per copied expert, as a fraction of the mean
   * load.
   */
  readonly minGainPerCopy: number;
  /** Slowdown factor of each rank; 1 is normal speed. */
  readonly pace: readonly number[];
}

/** Result of planning one round. */
export interface RoundPlan {
  readonly placement: Placement;
  /** Number of experts to copy. */
  readonly copies: number;
  /**
   * Largest rank load divided by the mean, both summed over all layers, before and after the round.
   */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** Index of the layer whose next move has the highest gain per copy. */
function bestLayer(moves: readonly (Move | undefined)[]): number | undefined {
  let best: number | undefined;
  let bestRate = 0;
  moves.forEach((move, layer) => {
    const rate = move ? move.gain / move.fetches.length : 0;
    if (rate > bestRate) [best, bestRate] = [layer, rate];
  });
  return best;
}

/** Applies all drops with a gain of at least `minDropGain`, then returns the best next move. */
function nextMove(planner: LayerPlanner, minDropGain: number): Move | undefined {
  for (;;) {
    const drop = planner.bestDrop();
    if (!drop || drop.gain < minDropGain) return planner.bestMove();
    planner.applyDrop(drop);
  }
}

/**
 * Improves the current placement with a few copies; returns it unchanged when no copy is worth its
 * cost. Applies moves greedily by gain, including small ones that enable later moves, and returns
 * the intermediate placement with the lowest total of load and copy cost.
 * @example planRound(current, popularity, policy).copies
 */
export function planRound(
  current: Placement,
  popularity: Popularity,
  policy: RoundPolicy,
): RoundPlan {
  const { mean } = loadSums(current, popularity);
  const rankBudgets = (current[0] ?? []).map(() => policy.maxNewPerRank);
  const planners = current.map(
    (map, l) =>
      new LayerPlanner(
        l,
        map,
        popularity[l] ?? [],
        policy.slotsPerRank,
        rankBudgets,
        policy.pace,
        policy.maxNewPerRankAndLayer,
      ),
  );
  const before = planners.reduce((sum, planner) => sum + planner.maxLoad, 0);
  const unchanged: RoundPlan = {
    placement: current,
    copies: 0,
    skewBefore: mean > 0 ? before / mean : 1,
    skewAfter: mean > 0 ? before / mean : 1,
  };
  if (mean <= 0) return unchanged;
  const minDropGain = policy.minGainPerCopy * mean;
  const next = planners.map((planner) => nextMove(planner, minDropGain));
  /** Best intermediate result: copies, summed largest loads, and changes applied in each layer. */
  let best = { copies: 0, load: before, steps: planners.map(() => 0) };
  let bestCost = before;
  let load = before;
  let copies = 0;
  for (let at = bestLayer(next); at !== undefined; at = bestLayer(next)) {
    const move = next[at] as Move;
    const planner = planners[at] as LayerPlanner;
    // A move in another layer may have used up the fetch budget of a rank since this move was
    // found.
    if (planner.isWithinBudget(move)) {
      planner.apply(move);
      copies += move.fetches.length;
    }
    next[at] = nextMove(planner, minDropGain);
    load = planners.reduce((sum, p) => sum + p.maxLoad, 0);
    const cost = load + copies * policy.minGainPerCopy * mean;
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { copies, load, steps: planners.map((p) => p.changeCount) };
  }
  if (best.copies === 0) return unchanged;
  const placement = planners.map((planner, l) => planner.mapAfter(best.steps[l] ?? 0));
  return { ...unchanged, placement, copies: best.copies, skewAfter: best.load / mean };
}
