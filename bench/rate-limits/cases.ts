/** Scenarios in which the sharing of rate limits between entries is checked. */
import type { FleetScenario } from './fleet.js';

type LimitAt = FleetScenario['limitAt'];

/** Time at which endpoints begin to report a limit, ms. */
const LIMIT_FROM_MS = 3000;

/** A limit that stays in force once reported. */
export const constantLimit =
  (limitPerS: number): LimitAt =>
  (nowMs) =>
    nowMs > LIMIT_FROM_MS ? limitPerS : undefined;

/** A limit that is alternately reported and not reported, for `spanMs` each. */
export const intermittentLimit =
  (limitPerS: number, spanMs: number): LimitAt =>
  (nowMs) =>
    nowMs > LIMIT_FROM_MS && Math.floor(nowMs / spanMs) % 2 === 0 ? limitPerS : undefined;

/** A limit that alternates between its full value and a quarter of it, for `spanMs` each. */
export const alternatingLimit =
  (limitPerS: number, spanMs: number): LimitAt =>
  (nowMs) => {
    if (nowMs <= LIMIT_FROM_MS) return undefined;
    return Math.floor(nowMs / spanMs) % 2 === 0 ? limitPerS : limitPerS / 4;
  };

/** A scenario without its seed and its number of entries. */
export type Case = Omit<FleetScenario, 'seed' | 'entries'>;

/** Cases by name, for a number of entries and a limit in requests/s. */
export function casesFor(entries: number, limitPerS: number): Readonly<Record<string, Case>> {
  const overload: Case = {
    relays: 3,
    endpoints: 1,
    limitAt: constantLimit(limitPerS),
    requestsPerS: 6 * entries,
    responseDelayMs: 40,
    fault: 'none',
    durationS: 70,
  };
  const twiceLimit: Case = { ...overload, endpoints: 3, requestsPerS: 6 * limitPerS };
  return {
    'twice the limit, spread evenly': twiceLimit,
    'twice the limit, half at one entry': { ...twiceLimit, busiestEntryShare: 0.5 },
    'load far above the limit': overload,
    'bursts of 14 s': { ...overload, idlePeriodMs: 14_000 },
    'bursts, responses after 3 s': { ...overload, idlePeriodMs: 14_000, responseDelayMs: 3000 },
    'limit reported intermittently': { ...overload, limitAt: intermittentLimit(limitPerS, 9000) },
    'limit alternates with a quarter of it': {
      ...overload,
      limitAt: alternatingLimit(limitPerS, 9000),
    },
    'rolling restart': { ...overload, fault: 'rolling-restart' },
    'relays restart together': { ...overload, fault: 'relays-restart' },
    'relays suspended, bursts': { ...overload, fault: 'relays-suspended', idlePeriodMs: 5000 },
    'network partition': { ...overload, fault: 'partition' },
    'a third of the calls are lost': { ...overload, lossRatio: 1 / 3 },
    'no relay': { ...overload, relays: 0 },
  };
}
