/** Compares policies that divide the rate limits of endpoints among all entries. */
import { LIMIT_POLICIES, simulateLimit, type LimitScenario } from './limit-model.js';

const ENTRIES = [6, 42, 100];
const LIMITS_PER_S = [1, 4, 20];
const SEEDS = [1, 2, 3];
const SECONDS = 60;
const ENDPOINTS = 3;

/**
 * Load from callers: twice the limits, spread evenly or with half of it at one entry, or six times
 * the limits in waves of 15 s.
 */
const CALLER_PATTERNS = {
  even: { load: 2 },
  uneven: { load: 2, firstShare: 0.5 },
  waves: { load: 6, waveS: 15 },
} as const satisfies Record<string, Partial<LimitScenario>>;

/** Result of one policy in one case: the maximum in 4 s over all seeds and the mean share used. */
export interface LimitResult {
  readonly way: string;
  readonly entries: number;
  readonly limitPerS: number;
  readonly callers: string;
  readonly allowed: number;
  readonly most: number;
  readonly used: number;
}

/** Simulates all policies in all cases. */
export function measureLimits(): LimitResult[] {
  return ENTRIES.flatMap((entries) =>
    LIMITS_PER_S.flatMap((limitPerS) =>
      Object.entries(CALLER_PATTERNS).flatMap(([callers, pattern]) =>
        Object.entries(LIMIT_POLICIES).map(([way, policy]) => {
          const scenario = {
            entries,
            limitPerS,
            endpoints: ENDPOINTS,
            seconds: SECONDS,
            ...pattern,
          };
          const outcomes = SEEDS.map((seed) => simulateLimit({ seed, ...scenario }, policy));
          const used = outcomes.reduce((sum, one) => sum + one.usedShare, 0) / SEEDS.length;
          const most = Math.max(...outcomes.map((one) => one.maxInWindow));
          return { way, entries, limitPerS, callers, allowed: 6 * limitPerS + 5, most, used };
        }),
      ),
    ),
  );
}
