/** `node dist/bench/decisions/rank-bench.js`: compares policies that place streams on the ranks of a group. */
import { RANK_POLICIES, simulateRanks, type RankOutcome, type RankScenario } from './rank-model.js';

const SEEDS = [1, 2, 3];

const BASE: RankScenario = {
  seed: 1,
  entries: 33,
  ranks: 72,
  arrivalsPerS: 200,
  ageMs: [300, 900],
  promptTokens: 700,
  isUnequal: false,
  missingShare: 0,
  slowShare: 0,
  seconds: 30,
};

const CASES: Record<string, Partial<RankScenario>> = {
  '15 entries': { entries: 15 },
  '15 entries, digests 0.2 to 0.3 s old': { entries: 15, ageMs: [200, 300] },
  '15 entries, digests 2.5 to 3 s old': { entries: 15, ageMs: [2500, 3000] },
  '15 unequal entries': { entries: 15, isUnequal: true },
  '33 entries': {},
  '33 entries, digests 2.5 to 3 s old': { ageMs: [2500, 3000] },
  '33 unequal entries': { isUnequal: true },
  '33 entries, long prompts': { promptTokens: 1400, arrivalsPerS: 140 },
  '33 entries, half of one data centre gone': { missingShare: 0.5, arrivalsPerS: 160 },
  '99 entries': { entries: 99 },
  '12 ranks, 6 entries': { entries: 6, ranks: 12, arrivalsPerS: 33 },
};

function averageOf(outcomes: readonly RankOutcome[], field: keyof RankOutcome): number {
  return outcomes.reduce((sum, one) => sum + one[field], 0) / outcomes.length;
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

printLine('policy                                 mean   p99  worst  pass ms  full %  far %');
for (const [name, change] of Object.entries(CASES)) {
  printLine(name);
  for (const [policyName, policy] of Object.entries(RANK_POLICIES)) {
    const outcomes = SEEDS.map((seed) => simulateRanks({ ...BASE, ...change, seed }, policy));
    const column = (field: keyof RankOutcome, digits: number, width: number, scale = 1): string =>
      (averageOf(outcomes, field) * scale).toFixed(digits).padStart(width);
    printLine(
      `  ${policyName.padEnd(35)}${column('mean', 2, 6)}${column('p99', 1, 6)}${column('worst', 2, 7)}` +
        `${column('passMs', 1, 9)}${column('fullShare', 1, 8, 100)}${column('farShare', 1, 7, 100)}`,
    );
  }
}
