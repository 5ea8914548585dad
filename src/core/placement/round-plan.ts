/**
 * Plans one quick round: few new experts for each rank, so that the copy is short and the map is in use
 * while demand is still what it was. Demand that shifts every few seconds makes late maps worthless.
 */
import { LayerPlanner } from './moves.js';
import { loadSums } from './skew.js';
import type { Move, Placement, Popularity } from './types.js';

/** What a round is bound by. */
export interface RoundPolicy {
  /** Experts that a rank can hold in a layer. */
  readonly slotsPerRank: number;
  /** New experts for a rank in one round, over all layers: their copies follow one another. */
  readonly mostNew: number;
  /** New experts for a rank in one layer; engines refuse a map that brings more. */
  readonly mostNewInLayer: number;
  /** Fall of the step's largest loads, as a share of its mean load, that one copied expert must bring. */
  readonly gainPerCopy: number;
  /** How slow each rank is; 1 for an ordinary one. */
  readonly pace: readonly number[];
}

/** The plan of one round. */
export interface RoundPlan {
  readonly placement: Placement;
  /** Experts to copy. */
  readonly copies: number;
  /** Largest rank loads over the mean, over all layers, before and after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** The layer whose next move gains most for each copy. */
function bestLayer(moves: readonly (Move | undefined)[]): number | undefined {
  let best: number | undefined;
  let bestRate = 0;
  moves.forEach((move, layer) => {
    const rate = move ? move.gain / move.fetches.length : 0;
    if (rate > bestRate) [best, bestRate] = [layer, rate];
  });
  return best;
}

/** Gives up replicas that only burden the most loaded rank, and finds the next move after that. */
function nextMove(planner: LayerPlanner, leastDrop: number): Move | undefined {
  for (;;) {
    const drop = planner.bestDrop();
    if (!drop || drop.gain < leastDrop) return planner.bestMove();
    planner.applyDrop(drop);
  }
}

/**
 * A placement a few copies away from the present one; the present one when nothing is worth a copy.
 * Moves are taken by gain, also small ones that make room for the next; what counts is the point on the
 * way at which the loads saved are worth most after the copies are paid for.
 * @example planRound(current, popularity, policy).copies
 */
export function planRound(
  current: Placement,
  popularity: Popularity,
  policy: RoundPolicy,
): RoundPlan {
  const { mean } = loadSums(current, popularity);
  const room = (current[0] ?? []).map(() => policy.mostNew);
  const planners = current.map(
    (map, l) =>
      new LayerPlanner(
        l,
        map,
        popularity[l] ?? [],
        policy.slotsPerRank,
        room,
        policy.pace,
        policy.mostNewInLayer,
      ),
  );
  const before = planners.reduce((sum, planner) => sum + planner.maxLoad, 0);
  const keep: RoundPlan = {
    placement: current,
    copies: 0,
    skewBefore: mean > 0 ? before / mean : 1,
    skewAfter: mean > 0 ? before / mean : 1,
  };
  if (mean <= 0) return keep;
  const leastDrop = policy.gainPerCopy * mean;
  const next = planners.map((planner) => nextMove(planner, leastDrop));
  /** The best point on the way: what it cost and saved, and the moves and drops of each layer up to it. */
  let best = { copies: 0, load: before, steps: planners.map(() => 0) };
  let bestCost = before;
  let load = before;
  let copies = 0;
  for (let at = bestLayer(next); at !== undefined; at = bestLayer(next)) {
    const move = next[at] as Move;
    const planner = planners[at] as LayerPlanner;
    // Another layer may have used up the room that this move was found with.
    if (planner.hasRoomFor(move)) {
      planner.apply(move);
      copies += move.fetches.length;
    }
    next[at] = nextMove(planner, leastDrop);
    load = planners.reduce((sum, p) => sum + p.maxLoad, 0);
    const cost = load + copies * policy.gainPerCopy * mean;
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { copies, load, steps: planners.map((p) => p.steps) };
  }
  if (best.copies === 0) return keep;
  const placement = planners.map((planner, l) => planner.mapAfter(best.steps[l] ?? 0));
  return { ...keep, placement, copies: best.copies, skewAfter: best.load / mean };
}
