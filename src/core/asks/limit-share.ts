/**
 * How the requests that an endpoint takes from all entries together are shared out, without a counter that all share.
 *
 * What comes in some 4 s is to stay within the bound whatever the entries' callers do: also when they all ask at once after a
 * quiet time, when every entry has saved up a request. Each that may send at all may send one in that time, so that only as many
 * entries as the bound bears requests send to such an endpoint. Where there are more, each endpoint of a service has others, one
 * after the other in a ring, so that each entry sends to about as many endpoints as the next one.
 */
import {
  ISOLATED_SHARE,
  LEAST_RELEASED_PER_S,
  LIMIT_BOUND,
  MIN_PROBE_PER_S,
  USED_SHARE,
} from './consts.js';
import type { LimitNow } from './known-limits.js';
import type { LimitShare } from './limit-bucket.js';

/** Who shares the limits of a service's endpoints. */
export interface Sharers {
  /** Place of this entry among those known, from 0; undefined where it is not known who they are. */
  readonly place: number | undefined;
  /** How many there are, as far as is known. */
  readonly count: number;
}

/** What decides a share. */
export interface LimitShareFacts {
  /** Requests a second that the endpoint takes. */
  readonly limitPerS: number;
  readonly sharers: Sharers;
  /** Place of the endpoint among those of its service, as a share of them, 0 to 1. */
  readonly ringPlace: number;
}

const MS_PER_S = 1000;
const WINDOW_S = LIMIT_BOUND.windowMs / MS_PER_S;
/** Part of a window in which a bucket gains what it may send in one: its requests do not arrive exactly a window apart. */
const WINDOW_SHARE = 0.95;

/** Requests that all entries together may send in a window. */
function allowedInWindow(limitPerS: number): number {
  return USED_SHARE * (LIMIT_BOUND.factor * limitPerS * WINDOW_S + LIMIT_BOUND.extra);
}

/**
 * What one entry may send of a limit.
 * @example limitShare({ limitPerS: 4, sharers: { place: 2, count: 6 }, ringPlace: 0 }).perS // 0.67
 */
export function limitShare({ limitPerS, sharers, ringPlace }: LimitShareFacts): LimitShare {
  const { place, count } = sharers;
  const allowed = allowedInWindow(limitPerS);
  const most = Math.floor(allowed);
  // Who does not know its place sends as if all of them did.
  if (place === undefined) return { perS: limitPerS / Math.max(count, most), saved: 1 };
  if (count <= most) return shareOfEach(limitPerS, allowed / count, count);
  const first = Math.floor(ringPlace * count);
  const isOneOf = (place - first + count) % count < most;
  return { perS: isOneOf ? limitPerS / most : 0, saved: 1 };
}

/**
 * What one entry may send to an endpoint whose limit was over so many ms ago: more and more, and not all of them at once.
 * @example releasedShare(4, { place: 0, count: 6 }, 2000).perS // 2.67
 */
export function releasedShare(
  limitPerS: number,
  { count }: Sharers,
  releasedMs: number,
): LimitShare {
  const perS = Math.max(limitPerS, LEAST_RELEASED_PER_S) / count;
  return { perS: perS * 2 ** (releasedMs / MS_PER_S), saved: 1 };
}

/** Requests/s that all entries together may send: the limit, or more and more after its end. */
function ratePerS({ limitPerS, releasedMs }: LimitNow): number {
  if (releasedMs === undefined) return Math.max(limitPerS, MIN_PROBE_PER_S);
  return Math.max(limitPerS, LEAST_RELEASED_PER_S) * 2 ** (releasedMs / MS_PER_S);
}

/**
 * The part of a limit that one of some relays grants.
 * @example shardShare({ limitPerS: 3, releasedMs: undefined }, 3).perS // 1
 */
export function shardShare(limit: LimitNow, shards: number): LimitShare {
  const perS = ratePerS(limit) / shards;
  if (limit.releasedMs !== undefined) return { perS, saved: 1 };
  const inWindow = allowedInWindow(limit.limitPerS) / shards;
  return { perS, saved: Math.max(1, inWindow - perS * WINDOW_S) };
}

/**
 * What an entry that reaches no relay may send by itself, among so many that may be in the same state.
 * @example isolatedShare({ limitPerS: 4, releasedMs: undefined }, 48).perS // 0.042
 */
export function isolatedShare(limit: LimitNow, peers: number): LimitShare {
  return { perS: (ISOLATED_SHARE * ratePerS(limit)) / peers, saved: 1 };
}

/** The share of each entry where all of them may send so many in a window. */
function shareOfEach(limitPerS: number, inWindow: number, count: number): LimitShare {
  const perS = Math.min(limitPerS / count, (WINDOW_SHARE * Math.floor(inWindow)) / WINDOW_S);
  return { perS, saved: Math.max(1, inWindow - perS * WINDOW_S) };
}
