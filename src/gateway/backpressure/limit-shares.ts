/** This entry's shares of the rate limits that endpoints announce, computed from the known peers. */
import {
  limitShare,
  releasedShare,
  type KnownLimits,
  type LimitShare,
  type LimitPeers,
} from '../../core/backpressure/index.js';
import type { PublishedEndpoint, PublishedState } from '../../core/published/index.js';

/** Dependencies of `shareOf`. */
export interface LimitShareDeps {
  readonly state: PublishedState;
  /** Rate limits announced by endpoints. */
  readonly limits: KnownLimits;
  /** Returns the peers sharing the limits. */
  readonly limitPeers: () => LimitPeers;
}

/** Position of an endpoint among those of its service sorted by id, 0 to below 1. */
function ringPositionOf(state: PublishedState, { id, service }: PublishedEndpoint): number {
  const ids = [...state.availableEndpoints(service)].map((endpoint) => endpoint.id);
  const before = ids.filter((other) => other < id).length;
  return before / Math.max(1, ids.length);
}

/**
 * Returns this entry's share of an endpoint's rate limit; undefined if the endpoint has none.
 * @example shareOf(deps, endpoint)?.perS
 */
export function shareOf(
  { state, limits, limitPeers }: LimitShareDeps,
  endpoint: PublishedEndpoint,
): LimitShare | undefined {
  if (limits.isEmpty) return undefined;
  const limit = limits.of(endpoint);
  if (!limit) return undefined;
  const { limitPerS, releasedMs } = limit;
  if (releasedMs !== undefined) return releasedShare(limitPerS, limitPeers(), releasedMs);
  return limitShare({
    limitPerS,
    peers: limitPeers(),
    ringPosition: ringPositionOf(state, endpoint),
  });
}
