/** Compares ways to share out what endpoints take from all entries together. */
import { LIMIT_WAYS, playLimit, type LimitPlay } from './limit-model.js';

const ENTRIES = [6, 42, 100];
const LIMITS_PER_S = [1, 4, 20];
const SEEDS = [1, 2, 3];
const SECONDS = 60;
const ENDPOINTS = 3;

/** How callers ask: at twice the limits, evenly or half of them at one entry, or in waves of 15 s at six times the limits. */
const CALLERS = {
  even: { load: 2 },
  uneven: { load: 2, firstShare: 0.5 },
  waves: { load: 6, waveS: 15 },
} as const satisfies Record<string, Partial<LimitPlay>>;

/** What one way came to in one case: the most in 4 s of some seed, the mean share that was used. */
export interface LimitFigure {
  readonly way: string;
  readonly entries: number;
  readonly limitPerS: number;
  readonly callers: string;
  readonly allowed: number;
  readonly most: number;
  readonly used: number;
}

/** All ways in all cases. */
export function limitFigures(): LimitFigure[] {
  return ENTRIES.flatMap((entries) =>
    LIMITS_PER_S.flatMap((limitPerS) =>
      Object.entries(CALLERS).flatMap(([callers, how]) =>
        Object.entries(LIMIT_WAYS).map(([way, share]) => {
          const play = { entries, limitPerS, endpoints: ENDPOINTS, seconds: SECONDS, ...how };
          const outcomes = SEEDS.map((seed) => playLimit({ seed, ...play }, share));
          const used = outcomes.reduce((sum, one) => sum + one.used, 0) / SEEDS.length;
          const most = Math.max(...outcomes.map((one) => one.most));
          return { way, entries, limitPerS, callers, allowed: 6 * limitPerS + 5, most, used };
        }),
      ),
    ),
  );
}
