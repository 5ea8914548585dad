/** `npm run bench`: compares placement and rate-limit decisions with baselines, on seeded traces. */
import { measureLimits } from './limit-bench.js';
import { performance } from 'node:perf_hooks';
import { planPlacement, packPlacement } from '../../src/core/placement/index.js';
import {
  BASELINES,
  harriergladePolicy,
  averageOverSeeds,
  undominatedBaselines,
  type PlacementOutcome,
} from './placement-bench.js';
import { makeTrace, NYUNGWE, SAO_MAI, type Deployment } from './traces.js';

const SEEDS = [1, 2, 3];
const SCALES = [0.1, 0.3, 1, 3, 10];

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printPlacement(deployment: Deployment): {
  mine: PlacementOutcome[];
  theirs: PlacementOutcome[];
} {
  const mine = SCALES.map((scale) =>
    averageOverSeeds(deployment, SEEDS, harriergladePolicy(scale)),
  );
  const theirs = BASELINES.map((policy) => averageOverSeeds(deployment, SEEDS, policy));
  printLine(
    `\nplacement, ${deployment.name}: ${deployment.ranks} ranks, ${deployment.experts} experts, ${deployment.layers} layers, 20 minutes, seeds ${SEEDS.join(' ')}`,
  );
  printLine(`${'policy'.padEnd(24)}skew mean   p50    p99   experts    GB   loading s`);
  for (const o of [...theirs, ...mine]) {
    printLine(
      `${o.name.padEnd(24)}${o.skewMean.toFixed(3).padStart(9)}${o.skewP50.toFixed(3).padStart(7)}${o.skewP99.toFixed(3).padStart(7)}${o.experts.toFixed(0).padStart(10)}${o.gigabytes.toFixed(1).padStart(7)}${o.disruptionS.toFixed(0).padStart(11)}`,
    );
  }
  printLine(`${'lower bound'.padEnd(24)}    1.000  1.000  1.000         0    0.0          0`);
  const undominated = undominatedBaselines(mine, theirs);
  printLine(
    undominated.length === 0
      ? 'each baseline that moves experts is dominated on both measures by one of our cost weights'
      : `baselines not dominated on both measures: ${undominated.join(', ')}`,
  );
  return { mine, theirs };
}

/** Time of one placement decision, ms. */
function measurePlacementMs(ranks: number, experts: number, layers: number): number {
  const deployment: Deployment = {
    ...NYUNGWE,
    ranks,
    experts,
    layers,
    slotsPerRank: Math.ceil(experts / ranks) + 1,
  };
  const trace = makeTrace(deployment, 3);
  const start = packPlacement(trace.shares(0), ranks, deployment.slotsPerRank);
  const drifted = trace.shares(400);
  const startMs = performance.now();
  planPlacement(start, drifted, {
    skewWeight: 4,
    costWeight: 1,
    expertBytes: deployment.expertBytes,
    slotsPerRank: deployment.slotsPerRank,
    bytesPerSecond: deployment.storeBytesPerSecond,
    budgetBytes: 30 * deployment.storeBytesPerSecond,
    balancedStepMs: 5,
    horizonSteps: 12_000,
  });
  return performance.now() - startMs;
}

const placement = [NYUNGWE, SAO_MAI].map((d) => ({ deployment: d.name, ...printPlacement(d) }));
const placementMs = [
  [12, 64, 8],
  [32, 64, 30],
  [32, 64, 60],
].map(([r = 0, e = 0, l = 0]) => ({
  ranks: r,
  experts: e,
  layers: l,
  ms: Number(measurePlacementMs(r, e, l).toFixed(1)),
}));
printLine('\ndecision time');
for (const p of placementMs)
  printLine(
    `  placement of ${p.ranks} ranks, ${p.experts} experts, ${p.layers} layers: ${p.ms} ms`,
  );
printLine(
  '\nlimits of endpoints: maximum requests in 4 s of the number allowed, and the share used',
);
const limits = measureLimits();
for (const { way, entries, limitPerS, callers, allowed, most, used } of limits)
  printLine(
    `  ${entries} entries, ${limitPerS}/s, ${callers}, ${way}: ${most} of ${allowed}, ${used.toFixed(2)}`,
  );
printLine(JSON.stringify({ placement, placementMs, limits }));
