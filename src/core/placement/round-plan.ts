/**
 * Plans one quick round: few new experts for each rank, so that the copy is short and the map is in use
 * while demand is still what it was. Demand that shifts every few seconds makes late maps worthless.
 */
import { LayerPlanner } from './moves.js';
import { rankLoads } from './skew.js';
import type { LayerMap, Placement, Popularity } from './types.js';

/** What a round is bound by. */
export interface RoundPolicy {
  /** Experts that a rank can hold in a layer. */
  readonly slotsPerRank: number;
  /** New experts for a rank and layer in one round, at most. */
  readonly mostNew: number;
  /** Fall of a layer's largest load, as a share of its mean load, that one copied expert must bring. */
  readonly gainPerCopy: number;
}

/** The plan of one round. */
export interface RoundPlan {
  readonly placement: Placement;
  /** Experts to copy. */
  readonly copies: number;
  /** Largest rank load over the mean, summed over the layers, before and after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

interface LayerRound {
  readonly map: LayerMap;
  readonly copies: number;
  readonly before: number;
  readonly after: number;
  readonly mean: number;
}

/** Greedy moves of one layer; the prefix of them that is worth most after its copies are paid for. */
function planLayer(
  layer: number,
  map: LayerMap,
  popularity: readonly number[],
  policy: RoundPolicy,
): LayerRound {
  const loads = rankLoads(map, popularity);
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
  const planner = new LayerPlanner(layer, map, popularity, policy.slotsPerRank, policy.mostNew);
  const before = planner.maxLoad;
  let best: LayerRound = { map, copies: 0, before, after: before, mean };
  let bestCost = before;
  let copies = 0;
  for (let move = planner.bestMove(); move; move = planner.bestMove()) {
    planner.apply(move);
    copies += move.fetches.length;
    const cost = planner.maxLoad + copies * policy.gainPerCopy * mean;
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { map: planner.map.map((rank) => [...rank]), copies, before, after: planner.maxLoad, mean };
  }
  return best;
}

/**
 * A placement a few copies away from the present one; the present one when nothing is worth a copy.
 * @example planRound(current, popularity, { slotsPerRank: 8, mostNew: 1, gainPerCopy: 0.01 }).copies
 */
export function planRound(
  current: Placement,
  popularity: Popularity,
  policy: RoundPolicy,
): RoundPlan {
  const rounds = current.map((map, l) => planLayer(l, map, popularity[l] ?? [], policy));
  const sum = (of: (round: LayerRound) => number): number =>
    rounds.reduce((total, round) => total + of(round), 0);
  const mean = sum((round) => round.mean);
  const skew = (load: number): number => (mean > 0 ? load / mean : 1);
  return {
    placement: rounds.map((round) => round.map),
    copies: sum((round) => round.copies),
    skewBefore: skew(sum((round) => round.before)),
    skewAfter: skew(sum((round) => round.after)),
  };
}
