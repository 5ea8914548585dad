/** What this entry may send of the limits that endpoints named. */
import {
  limitShare,
  releasedShare,
  type KnownLimits,
  type LimitNow,
  type LimitShare,
  type Sharers,
} from '../core/asks/index.js';
import type { EndpointId } from '../core/ids/index.js';
import type { Log } from '../core/logging/index.js';
import type { PublishedEndpoint, PublishedState } from '../core/published/index.js';

/** What working shares out needs. */
export interface LimitSharesParts {
  readonly state: PublishedState;
  /** The limits that endpoints named. */
  readonly limits: KnownLimits;
  /** The entries that share them. */
  readonly sharers: () => Sharers;
  readonly log: Log;
  /** Text of the last logged share by endpoint. */
  readonly loggedShares: Map<EndpointId, string>;
}

/** Place of an endpoint among those of its service, as a share of them. */
function ringPlaceOf(state: PublishedState, { id, service }: PublishedEndpoint): number {
  const ids = [...state.workingOf(service)].map((endpoint) => endpoint.id);
  const before = ids.filter((other) => other < id).length;
  return before / Math.max(1, ids.length);
}

type LimitState = 'none' | 'named' | 'ended' | 'lapsed';

function stateOf(limit: LimitNow | undefined): LimitState {
  if (!limit) return 'none';
  if (limit.releasedMs === undefined) return 'named';
  return limit.hasLapsed ? 'lapsed' : 'ended';
}

/** Logs each change of the state of a limit, or of the entries it is shared among. */
function logShare(parts: LimitSharesParts, { id }: PublishedEndpoint, limit?: LimitNow): void {
  const state = stateOf(limit);
  const { place, count } = parts.sharers();
  const text = limit ? `${state} ${place} ${count}` : state;
  if (text === (parts.loggedShares.get(id) ?? 'none')) return;
  if (limit) parts.loggedShares.set(id, text);
  else parts.loggedShares.delete(id);
  const limitPerS = limit?.limitPerS;
  parts.log.info('endpoint.limit-share', { endpoint: id, state, limitPerS, place, peers: count });
}

/**
 * This entry's share of an endpoint's limit; undefined where it has none.
 * @example shareOf(parts, endpoint)?.perS
 */
export function shareOf(
  parts: LimitSharesParts,
  endpoint: PublishedEndpoint,
): LimitShare | undefined {
  const { state, limits, sharers } = parts;
  if (limits.isEmpty) return undefined;
  const limit = limits.of(endpoint);
  logShare(parts, endpoint, limit);
  if (!limit) return undefined;
  const { limitPerS, releasedMs } = limit;
  if (releasedMs !== undefined) return releasedShare(limitPerS, sharers(), releasedMs);
  return limitShare({ limitPerS, sharers: sharers(), ringPlace: ringPlaceOf(state, endpoint) });
}
