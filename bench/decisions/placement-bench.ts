/** Replays traces through placement policies: step-time skew against the cost of rebalancing. */
import {
  countFetchedExperts,
  POPULARITY_HALF_LIFE_MS,
  GAIN_HORIZON_MS,
  MAX_BUDGET_ACCRUAL_MS,
  planPlacement,
  PopularityEstimate,
  packPlacement,
  stepSkew,
  type Placement,
  type Popularity,
} from '../../src/core/placement/index.js';
import { makeTrace, type Deployment } from './traces.js';

const SECONDS = 1200;
const DECIDE_EVERY_S = 2;
const TOKENS_PER_DECISION = 60_000;

/** A policy looks at what is known and may name the next placement. */
export interface PlacementPolicyUnderTest {
  readonly name: string;
  readonly decide: (known: Known) => Placement | undefined;
}

/** What a policy may know at a decision. */
export interface Known {
  readonly second: number;
  readonly current: Placement;
  readonly estimate: Popularity;
  readonly deployment: Deployment;
  /** Bytes saved up from the store's rate and not used yet. */
  readonly budgetBytes: number;
}

/** What a policy came to on one trace. */
export interface PlacementOutcome {
  readonly name: string;
  readonly skewMean: number;
  readonly skewP50: number;
  readonly skewP99: number;
  readonly experts: number;
  readonly gigabytes: number;
  readonly disruptionS: number;
}

/** Ours, with the cost weight scaled to walk along the frontier. */
export function ours(scale: number): PlacementPolicyUnderTest {
  return {
    name: scale === 1 ? 'harrierglade' : `harrierglade cost x${scale}`,
    decide: ({ second, current, estimate, deployment: d, budgetBytes }) => {
      const inEvent = second >= d.event.startS && second < d.event.endS;
      const plan = planPlacement(current, estimate, {
        skewWeight: d.skewWeight,
        costWeight: d.costWeight * scale * (inEvent ? d.eventCostFactor : 1),
        expertBytes: d.expertBytes,
        slotsPerRank: d.slotsPerRank,
        bytesPerSecond: d.storeBytesPerSecond,
        budgetBytes,
        balancedStepMs: d.stepMs,
        horizonSteps: GAIN_HORIZON_MS / d.stepMs,
      });
      return plan.fetches.length > 0 ? plan.placement : undefined;
    },
  };
}

/** Baselines on the same traces. */
export const BASELINES: readonly PlacementPolicyUnderTest[] = [
  { name: 'never', decide: () => undefined },
  ...[60, 120, 300].map((everyS) => ({
    name: `repack every ${everyS} s`,
    decide: ({ second, estimate, deployment: d }: Known) =>
      second > 0 && second % everyS === 0
        ? packPlacement(estimate, d.ranks, d.slotsPerRank)
        : undefined,
  })),
  ...[1.1, 1.2, 1.35].map((threshold) => ({
    name: `repack above ${threshold}`,
    decide: ({ current, estimate, deployment: d }: Known) =>
      stepSkew(current, estimate) > threshold
        ? packPlacement(estimate, d.ranks, d.slotsPerRank)
        : undefined,
  })),
];

function quantile(sorted: readonly number[], q: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? Number.NaN;
}

/** Runs one policy over one trace. A new placement is in use once its bytes are fetched. */
export function runPlacement(
  deployment: Deployment,
  seed: number,
  policy: PlacementPolicyUnderTest,
): PlacementOutcome {
  const trace = makeTrace(deployment, seed);
  const estimate = new PopularityEstimate(
    deployment.layers,
    deployment.experts,
    POPULARITY_HALF_LIFE_MS,
  );
  // Every policy starts from a packing of the first minute's truth.
  let current = packPlacement(trace.shares(0), deployment.ranks, deployment.slotsPerRank);
  let pending: { readonly placement: Placement; readonly readyS: number } | undefined;
  let experts = 0;
  let loadingS = 0;
  let savedBytes = 0;
  const skews: number[] = [];
  for (let second = 0; second < SECONDS; second += DECIDE_EVERY_S) {
    if (pending && second >= pending.readyS) [current, pending] = [pending.placement, undefined];
    skews.push(stepSkew(current, trace.shares(second)));
    estimate.add(trace.counts(second, TOKENS_PER_DECISION), DECIDE_EVERY_S * 1000);
    savedBytes = Math.min(
      savedBytes + deployment.storeBytesPerSecond * DECIDE_EVERY_S,
      (deployment.storeBytesPerSecond * MAX_BUDGET_ACCRUAL_MS) / 1000,
    );
    if (pending) continue;
    const next = policy.decide({
      second,
      current,
      estimate: estimate.read(),
      deployment,
      budgetBytes: savedBytes,
    });
    if (!next) continue;
    const fetched = countFetchedExperts(current, next);
    const seconds = (fetched * deployment.expertBytes) / deployment.storeBytesPerSecond;
    savedBytes -= Math.min(savedBytes, fetched * deployment.expertBytes);
    experts += fetched;
    loadingS += seconds;
    pending = { placement: next, readyS: second + seconds };
  }
  const sorted = [...skews].sort((a, b) => a - b);
  return {
    name: policy.name,
    skewMean: skews.reduce((a, b) => a + b, 0) / skews.length,
    skewP50: quantile(sorted, 0.5),
    skewP99: quantile(sorted, 0.99),
    experts,
    gigabytes: (experts * deployment.expertBytes) / 1e9,
    disruptionS: loadingS,
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length;
}

/** A policy's mean outcome over seeds. */
export function overSeeds(
  deployment: Deployment,
  seeds: readonly number[],
  policy: PlacementPolicyUnderTest,
): PlacementOutcome {
  const runs = seeds.map((seed) => runPlacement(deployment, seed, policy));
  const of = (field: Exclude<keyof PlacementOutcome, 'name'>): number =>
    mean(runs.map((r) => r[field]));
  return {
    name: policy.name,
    skewMean: of('skewMean'),
    skewP50: of('skewP50'),
    skewP99: of('skewP99'),
    experts: of('experts'),
    gigabytes: of('gigabytes'),
    disruptionS: of('disruptionS'),
  };
}

/** Baselines that some point of ours does not beat on both measures. */
export function unbeaten(
  mine: readonly PlacementOutcome[],
  theirs: readonly PlacementOutcome[],
): string[] {
  return theirs
    .filter(
      (t) =>
        t.experts > 0 && !mine.some((m) => m.skewMean <= t.skewMean && m.gigabytes <= t.gigabytes),
    )
    .map((t) => t.name);
}
