/** Plans expert moves greedily by gain per fetch, until the next move is not worth its cost. */
import { LayerPlanner } from './layer-planner.js';
import { loadSums, stepSkew } from './skew.js';
import type {
  Fetch,
  Move,
  Placement,
  PlacementPlan,
  PlacementPolicy,
  Popularity,
} from './types.js';

/**
 * Whether the step time saved over the horizon, times `skewWeight`, exceeds the time needed to
 * fetch the bytes from the weight store, times `costWeight`.
 */
function isWorthwhile(
  gain: number,
  fetches: number,
  meanLoad: number,
  policy: PlacementPolicy,
): boolean {
  const savedMs = (gain / meanLoad) * policy.balancedStepMs * policy.horizonSteps;
  const fetchMs = (fetches * policy.expertBytes * 1000) / policy.bytesPerSecond;
  return policy.skewWeight * savedMs > policy.costWeight * fetchMs;
}

/**
 * Improves the current placement as far as the gain is worth its cost; may return it unchanged.
 * @example planPlacement(current, estimate.read(), policy).fetches.length
 */
export function planPlacement(
  current: Placement,
  popularity: Popularity,
  policy: PlacementPolicy,
): PlacementPlan {
  const { mean } = loadSums(current, popularity);
  const skewBefore = stepSkew(current, popularity);
  const unchanged: PlacementPlan = {
    placement: current,
    fetches: [],
    bytes: 0,
    skewBefore,
    skewAfter: skewBefore,
  };
  if (mean <= 0) return unchanged;
  const planners = current.map(
    (layer, l) => new LayerPlanner(l, layer, popularity[l] ?? [], policy.slotsPerRank),
  );
  // Skips the search in layers where even an optimal result would not pay for a single fetch.
  const search = (planner: LayerPlanner): Move | undefined =>
    isWorthwhile(planner.excess, 1, mean, policy) ? planner.bestMove() : undefined;
  const nextMoves = planners.map(search);
  const fetches: Fetch[] = [];
  let bytes = 0;
  for (;;) {
    const at = bestLayer(nextMoves);
    const move = at === undefined ? undefined : nextMoves[at];
    if (at === undefined || !move || !isWorthwhile(move.gain, move.fetches.length, mean, policy))
      break;
    const cost = move.fetches.length * policy.expertBytes;
    if (bytes + cost > policy.budgetBytes) break;
    const planner = planners[at] as LayerPlanner;
    planner.apply(move);
    fetches.push(...move.fetches);
    bytes += cost;
    nextMoves[at] = search(planner);
  }
  if (fetches.length === 0) return unchanged;
  const placement = planners.map((planner) => planner.map);
  return { placement, fetches, bytes, skewBefore, skewAfter: stepSkew(placement, popularity) };
}

/** Index of the layer whose next move has the highest gain per fetch. */
function bestLayer(nextMoves: readonly (Move | undefined)[]): number | undefined {
  let best: number | undefined;
  let bestRate = 0;
  nextMoves.forEach((move, at) => {
    const rate = move ? move.gain / move.fetches.length : 0;
    if (rate > bestRate) [best, bestRate] = [at, rate];
  });
  return best;
}
