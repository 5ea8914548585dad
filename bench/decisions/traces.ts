/** Seeded traces of two deployments: the mix of topics over time and the experts used by each. */
import { seededRandom, type Random } from '../../src/core/clock/index.js';
import type { Popularity } from '../../src/core/placement/index.js';

/** Size of a deployment's group and the weights of skew and cost. */
export interface Deployment {
  readonly name: string;
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  readonly slotsPerRank: number;
  readonly stepMs: number;
  readonly expertBytes: number;
  readonly storeBytesPerSecond: number;
  readonly skewWeight: number;
  readonly costWeight: number;
  readonly eventCostFactor: number;
  /** Weight of each topic at a second of the trace. */
  readonly topics: (second: number) => readonly number[];
  /** Start and end of the event, in which `eventCostFactor` applies, in seconds of the trace. */
  readonly event: { readonly startS: number; readonly endS: number };
}

const COMMON_SIZE = {
  ranks: 12,
  layers: 8,
  experts: 64,
  slotsPerRank: 7,
  stepMs: 5,
  expertBytes: 44e6,
  storeBytesPerSecond: 400e6,
};

/** Linear ramp from 0 to 1 between two seconds. */
function ramp(second: number, from: number, to: number): number {
  return Math.min(1, Math.max(0, (second - from) / (to - from)));
}

/**
 * Flight delays ten minutes into a bank of connecting flights: rebooking and baggage rise over a
 * minute and fall later.
 */
export const NYUNGWE: Deployment = {
  ...COMMON_SIZE,
  name: 'nyungwe',
  skewWeight: 4,
  costWeight: 1,
  eventCostFactor: 1,
  topics: (s) => {
    const firstDelay = ramp(s, 300, 360) * (1 - ramp(s, 900, 1080));
    const secondDelay = ramp(s, 600, 640) * (1 - ramp(s, 1000, 1100));
    return [1, 0.3 + 2.5 * firstDelay, 0.2 + 1.8 * firstDelay + 1.2 * secondDelay, 0.4];
  },
  event: { startS: 240, endS: 1080 },
};

/** An interest rate move: bond-heavy funds dominate at once within the short pricing window. */
export const SAO_MAI: Deployment = {
  ...COMMON_SIZE,
  name: 'sao-mai',
  skewWeight: 1,
  costWeight: 1.5,
  eventCostFactor: 2,
  topics: (s) => {
    const rateMove = ramp(s, 420, 430) * (1 - 0.6 * ramp(s, 700, 900));
    const pricingWindow = ramp(s, 240, 300) * (1 - ramp(s, 900, 960));
    return [0.6, 0.3 + 1.2 * pricingWindow, 0.2 + 3.2 * rateMove, 0.5];
  },
  event: { startS: 240, endS: 960 },
};

/** Draws from the standard normal distribution (Box-Muller). */
function normal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function zipfWeights(order: readonly number[]): number[] {
  const weights = new Array<number>(order.length).fill(0);
  order.forEach((expert, position) => (weights[expert] = 1 / (position + 4)));
  return weights;
}

function shuffled(count: number, random: Random): number[] {
  const order = Array.from({ length: count }, (_, i) => i);
  for (let i = count - 1; i > 0; i -= 1) {
    const j = Math.floor(random() * (i + 1));
    [order[i], order[j]] = [order[j] as number, order[i] as number];
  }
  return order;
}

/** Expert popularity over time. */
export interface Trace {
  readonly deployment: Deployment;
  /** True share of tokens for each expert at a second, by layer. */
  shares(second: number): Popularity;
  /** Token counts observed over an interval that ends at a second: true shares with sampling noise. */
  counts(second: number, tokens: number): Popularity;
}

/** Generates a trace of a deployment from a seed. */
export function makeTrace(deployment: Deployment, seed: number): Trace {
  const random = seededRandom(seed);
  const { layers, experts } = deployment;
  const topicCount = deployment.topics(0).length;
  const profiles = Array.from({ length: topicCount }, () =>
    Array.from({ length: layers }, () => zipfWeights(shuffled(experts, random))),
  );
  const shares = (second: number): Popularity => {
    const weights = deployment.topics(second);
    return Array.from({ length: layers }, (_, l) => {
      const sum = new Array<number>(experts).fill(0);
      profiles.forEach((profile, t) =>
        profile[l]?.forEach((w, e) => (sum[e] = (sum[e] ?? 0) + w * (weights[t] ?? 0))),
      );
      const total = sum.reduce((a, b) => a + b, 0);
      return sum.map((w) => w / total);
    });
  };
  const counts = (second: number, tokens: number): Popularity =>
    shares(second).map((layer) =>
      layer.map((share) =>
        Math.max(0, share * tokens + Math.sqrt(share * tokens) * normal(random)),
      ),
    );
  return { deployment, shares, counts };
}
