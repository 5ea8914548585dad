/** The cases that ways of sharing a rate limit are compared by. */
import type { FleetPlay } from './fleet.js';

type LimitAt = FleetPlay['limitAt'];

/** Time at which endpoints begin to name a limit, ms. */
const NAMED_FROM_MS = 3000;

/** A limit that stands from the start of a play on. */
export const always =
  (limitPerS: number): LimitAt =>
  (nowMs) =>
    nowMs > NAMED_FROM_MS ? limitPerS : undefined;

/** A limit that is named for a span, then not for as long, by turns. */
export const flapping =
  (limitPerS: number, spanMs: number): LimitAt =>
  (nowMs) =>
    nowMs > NAMED_FROM_MS && Math.floor(nowMs / spanMs) % 2 === 0 ? limitPerS : undefined;

/** A limit that falls to a quarter and rises again, by turns. */
export const varying =
  (limitPerS: number, spanMs: number): LimitAt =>
  (nowMs) => {
    if (nowMs <= NAMED_FROM_MS) return undefined;
    return Math.floor(nowMs / spanMs) % 2 === 0 ? limitPerS : limitPerS / 4;
  };

/** A play without the seed and the size. */
export type Case = Omit<FleetPlay, 'seed' | 'entries'>;

/** Cases for a number of entries and a limit, requests/s. */
export function casesFor(entries: number, limitPerS: number): Readonly<Record<string, Case>> {
  const busy: Case = {
    relays: 3,
    endpoints: 1,
    limitAt: always(limitPerS),
    callersPerS: 6 * entries,
    answerMs: 40,
    fault: 'none',
    seconds: 70,
  };
  const twice: Case = { ...busy, endpoints: 3, callersPerS: 6 * limitPerS };
  return {
    'twice the limit, even': twice,
    'twice the limit, half at one entry': { ...twice, firstShare: 0.5 },
    'far more than the limit': busy,
    'waves of 14 s': { ...busy, quietMs: 14_000 },
    'waves, answers after 3 s': { ...busy, quietMs: 14_000, answerMs: 3000 },
    'need comes and goes': { ...busy, limitAt: flapping(limitPerS, 9000) },
    'limit falls and rises': { ...busy, limitAt: varying(limitPerS, 9000) },
    'rolling restart': { ...busy, fault: 'rolling-restart' },
    'relays restart together': { ...busy, fault: 'relays-restart' },
    'relays frozen, waves': { ...busy, fault: 'relays-frozen', quietMs: 5000 },
    'two halves': { ...busy, fault: 'parted' },
    'a third of the calls lost': { ...busy, lossShare: 1 / 3 },
    'no relay': { ...busy, relays: 0 },
  };
}
