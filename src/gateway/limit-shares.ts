/** What this entry may send of the limits that endpoints named, where the entries know one another. */
import {
  limitShare,
  releasedShare,
  type KnownLimits,
  type LimitShare,
  type Sharers,
} from '../core/backpressure/index.js';
import type { PublishedEndpoint, PublishedState } from '../core/published/index.js';

/** What working shares out needs. */
export interface LimitSharesParts {
  readonly state: PublishedState;
  /** The limits that endpoints named. */
  readonly limits: KnownLimits;
  /** The entries that share them. */
  readonly sharers: () => Sharers;
}

/** Place of an endpoint among those of its service, as a share of them. */
function ringPlaceOf(state: PublishedState, { id, service }: PublishedEndpoint): number {
  const ids = [...state.workingOf(service)].map((endpoint) => endpoint.id);
  const before = ids.filter((other) => other < id).length;
  return before / Math.max(1, ids.length);
}

/**
 * This entry's share of an endpoint's limit; undefined where it has none.
 * @example shareOf(parts, endpoint)?.perS
 */
export function shareOf(
  { state, limits, sharers }: LimitSharesParts,
  endpoint: PublishedEndpoint,
): LimitShare | undefined {
  if (limits.isEmpty) return undefined;
  const limit = limits.of(endpoint);
  if (!limit) return undefined;
  const { limitPerS, releasedMs } = limit;
  if (releasedMs !== undefined) return releasedShare(limitPerS, sharers(), releasedMs);
  return limitShare({ limitPerS, sharers: sharers(), ringPlace: ringPlaceOf(state, endpoint) });
}
