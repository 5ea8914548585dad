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

const TRACE_SECONDS = 1200;
const DECISION_INTERVAL_S = 2;
const TOKENS_PER_DECISION = 60_000;

/** A policy, which may choose a new placement at each decision. */
export interface PlacementPolicyUnderTest {
  readonly name: string;
  readonly decide: (input: PolicyInput) => Placement | undefined;
}

/** Input to a policy at one decision. */
export interface PolicyInput {
  readonly second: number;
  readonly current: Placement;
  readonly estimate: Popularity;
  readonly deployment: Deployment;
  /** Bytes that may be fetched: accrued at the rate of the weight store and not spent yet. */
  readonly budgetBytes: number;
}

/** Result of a policy on one trace, or the mean over traces. */
export interface PlacementOutcome {
  readonly name: string;
  readonly skewMean: number;
  readonly skewP50: number;
  readonly skewP99: number;
  readonly experts: number;
  readonly gigabytes: number;
  readonly disruptionS: number;
}

/** The policy of harrierglade; `scale` multiplies the cost weight to trace the Pareto frontier. */
export function harriergladePolicy(scale: number): PlacementPolicyUnderTest {
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

/** Baseline policies. */
export const BASELINES: readonly PlacementPolicyUnderTest[] = [
  { name: 'never', decide: () => undefined },
  ...[60, 120, 300].map((everyS) => ({
    name: `repack every ${everyS} s`,
    decide: ({ second, estimate, deployment: d }: PolicyInput) =>
      second > 0 && second % everyS === 0
        ? packPlacement(estimate, d.ranks, d.slotsPerRank)
        : undefined,
  })),
  ...[1.1, 1.2, 1.35].map((threshold) => ({
    name: `repack above ${threshold}`,
    decide: ({ current, estimate, deployment: d }: PolicyInput) =>
      stepSkew(current, estimate) > threshold
        ? packPlacement(estimate, d.ranks, d.slotsPerRank)
        : undefined,
  })),
];

function quantile(sorted: readonly number[], q: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? Number.NaN;
}

/** Simulates one policy on one trace. A new placement takes effect when its experts are fetched. */
export function simulatePlacement(
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
  // Every policy starts from a packing of the true popularity at the start.
  let current = packPlacement(trace.shares(0), deployment.ranks, deployment.slotsPerRank);
  let pending: { readonly placement: Placement; readonly readyS: number } | undefined;
  let experts = 0;
  let fetchingS = 0;
  let accruedBytes = 0;
  const skews: number[] = [];
  for (let second = 0; second < TRACE_SECONDS; second += DECISION_INTERVAL_S) {
    if (pending && second >= pending.readyS) [current, pending] = [pending.placement, undefined];
    skews.push(stepSkew(current, trace.shares(second)));
    estimate.add(trace.counts(second, TOKENS_PER_DECISION), DECISION_INTERVAL_S * 1000);
    accruedBytes = Math.min(
      accruedBytes + deployment.storeBytesPerSecond * DECISION_INTERVAL_S,
      (deployment.storeBytesPerSecond * MAX_BUDGET_ACCRUAL_MS) / 1000,
    );
    if (pending) continue;
    const next = policy.decide({
      second,
      current,
      estimate: estimate.read(),
      deployment,
      budgetBytes: accruedBytes,
    });
    if (!next) continue;
    const fetched = countFetchedExperts(current, next);
    const seconds = (fetched * deployment.expertBytes) / deployment.storeBytesPerSecond;
    accruedBytes -= Math.min(accruedBytes, fetched * deployment.expertBytes);
    experts += fetched;
    fetchingS += seconds;
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
    disruptionS: fetchingS,
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length;
}

/** Mean outcome of a policy over the seeds. */
export function averageOverSeeds(
  deployment: Deployment,
  seeds: readonly number[],
  policy: PlacementPolicyUnderTest,
): PlacementOutcome {
  const runs = seeds.map((seed) => simulatePlacement(deployment, seed, policy));
  const meanOf = (field: Exclude<keyof PlacementOutcome, 'name'>): number =>
    mean(runs.map((r) => r[field]));
  return {
    name: policy.name,
    skewMean: meanOf('skewMean'),
    skewP50: meanOf('skewP50'),
    skewP99: meanOf('skewP99'),
    experts: meanOf('experts'),
    gigabytes: meanOf('gigabytes'),
    disruptionS: meanOf('disruptionS'),
  };
}

/** Baselines that move experts and that no outcome of our policy dominates on both measures. */
export function undominatedBaselines(
  ownOutcomes: readonly PlacementOutcome[],
  baselineOutcomes: readonly PlacementOutcome[],
): string[] {
  return baselineOutcomes
    .filter(
      (baseline) =>
        baseline.experts > 0 &&
        !ownOutcomes.some(
          (own) => own.skewMean <= baseline.skewMean && own.gigabytes <= baseline.gigabytes,
        ),
    )
    .map((t) => t.name);
}
