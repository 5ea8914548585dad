/**
 * How a rate limit is divided.
 *
 * If relays grant tokens, each of them holds a fixed part (`shardShare`). Entries that know one
 * another but have no relays use a ring (`limitShare`): only as many of them as the bound allows
 * requests send to one endpoint, so the bound holds even if all of them resume at once; other
 * endpoints of the service have other entries.
 */
import {
  ISOLATED_SHARE,
  LIMIT_BOUND,
  MIN_PROBE_PER_S,
  MIN_RELEASED_PER_S,
  TARGET_UTILISATION,
} from './consts.js';
import type { CurrentLimit } from './known-limits.js';
import type { LimitShare } from './token-bucket.js';

/** The peers sharing the limits of a service's endpoints. */
export interface LimitPeers {
  /** Index of this entry among those known; undefined if the others are not known. */
  readonly index: number | undefined;
  /** Number of entries, known or assumed. */
  readonly count: number;
}

/** Inputs of a share in the ring. */
export interface LimitShareInput {
  /** Requests/s that the endpoint accepts. */
  readonly limitPerS: number;
  readonly peers: LimitPeers;
  /** Position of the endpoint among those of its service, 0 to 1. */
  readonly ringPosition: number;
}

const MS_PER_S = 1000;
const WINDOW_S = LIMIT_BOUND.windowMs / MS_PER_S;
/**
 * Part of a window in which a bucket gains the tokens of one, since requests do not arrive exactly
 * a window apart.
 */
const WINDOW_SHARE = 0.95;

/** Maximum requests of all entries together in a window. */
function allowedInWindow(limitPerS: number): number {
  return TARGET_UTILISATION * (LIMIT_BOUND.factor * limitPerS * WINDOW_S + LIMIT_BOUND.extra);
}

/**
 * The share of a limit that one entry may use.
 * @example limitShare({ limitPerS: 4, peers: { index: 2, count: 6 }, ringPosition: 0 }).perS // 0.67
 */
export function limitShare({ limitPerS, peers, ringPosition }: LimitShareInput): LimitShare {
  const { index, count } = peers;
  const allowed = allowedInWindow(limitPerS);
  const maxPerWindow = Math.floor(allowed);
  if (index === undefined) return { perS: limitPerS / Math.max(count, maxPerWindow), saved: 1 };
  if (count <= maxPerWindow) return shareOfEach(limitPerS, allowed / count, count);
  const first = Math.floor(ringPosition * count);
  const isOneOf = (index - first + count) % count < maxPerWindow;
  return { perS: isOneOf ? limitPerS / maxPerWindow : 0, saved: 1 };
}

/**
 * The share of one entry after the end of a limit: a ramp that doubles each second.
 * @example releasedShare(4, { index: 0, count: 6 }, 2000).perS // 2.67
 */
export function releasedShare(
  limitPerS: number,
  { count }: LimitPeers,
  releasedMs: number,
): LimitShare {
  const perS = Math.max(limitPerS, MIN_RELEASED_PER_S) / count;
  return { perS: perS * 2 ** (releasedMs / MS_PER_S), saved: 1 };
}

/** Rate of all entries together, requests/s: the limit, or a ramp after its end. */
function ratePerS({ limitPerS, releasedMs }: CurrentLimit): number {
  if (releasedMs === undefined) return Math.max(limitPerS, MIN_PROBE_PER_S);
  return Math.max(limitPerS, MIN_RELEASED_PER_S) * 2 ** (releasedMs / MS_PER_S);
}

/**
 * The part of a limit that one of some relays grants.
 * @example shardShare({ limitPerS: 3, releasedMs: undefined }, 3).perS // 1
 */
export function shardShare(limit: CurrentLimit, shards: number): LimitShare {
  const perS = ratePerS(limit) / shards;
  if (limit.releasedMs !== undefined) return { perS, saved: 1 };
  const inWindow = allowedInWindow(limit.limitPerS) / shards;
  return { perS, saved: Math.max(1, inWindow - perS * WINDOW_S) };
}

/**
 * The share of an entry that reaches no relay, assuming that none of that many peers does.
 * @example isolatedShare({ limitPerS: 4, releasedMs: undefined }, 48).perS // 0.042
 */
export function isolatedShare(limit: CurrentLimit, peers: number): LimitShare {
  return { perS: (ISOLATED_SHARE * ratePerS(limit)) / peers, saved: 1 };
}

/** The share of each entry if each may send `inWindow` requests in a window. */
function shareOfEach(limitPerS: number, inWindow: number, count: number): LimitShare {
  const perS = Math.min(limitPerS / count, (WINDOW_SHARE * Math.floor(inWindow)) / WINDOW_S);
  return { perS, saved: Math.max(1, inWindow - perS * WINDOW_S) };
}
