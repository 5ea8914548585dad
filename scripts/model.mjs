/**
 * Model checking with Spin: each specification must hold, and each of its faulty variants must give
 * a counterexample. States are stored as 64-bit hashes (Spin's HC4). Prints the number of states;
 * exits with 1 if any check fails.
 */
import { spawn } from 'node:child_process';
import { mkdirSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';

const BUILD_DIR = 'spec/build';
const MAX_DEPTH = 400000;
const MAX_MEMORY_MB = 5000;
const CONCURRENCY = 3;

const SPECS = [
  { spec: 'switch', variants: ['NO_HOLD', 'NO_PROMISE', 'NO_RECHECK', 'FORGET'] },
  {
    spec: 'engine-orders',
    variants: ['NO_FENCE', 'OWN_VERSION', 'NO_HOLD', 'EARLY_GO', 'LATE_ABORT'],
  },
  { spec: 'engine-restart', variants: ['NO_CLAIM'] },
  {
    spec: 'responses',
    variants: [
      'NOT_RUN_FIRST',
      'ID_LESS',
      'FIRST_ID_LESS',
      'KEEP',
      'CODES',
      'LATE_WRITE',
      'REWRITE',
    ],
  },
];

function run(command, args, cwd) {
  return new Promise((resolveOutput) => {
    const child = spawn(command, args, { cwd });
    let output = '';
    child.stdout.on('data', (text) => (output += text));
    child.stderr.on('data', (text) => (output += text));
    child.on('error', (err) => {
      console.error(`cannot run ${command} (${err.code}): install the packages spin and gcc`);
      process.exit(1);
    });
    child.on('close', () => resolveOutput(output));
  });
}

async function check({ spec, variant }) {
  const dir = resolve(BUILD_DIR, variant ? `${spec}-${variant}` : spec);
  mkdirSync(dir, { recursive: true });
  const flags = ['-O3', '-w', '-DSAFETY', '-DHC4', `-DMEMLIM=${MAX_MEMORY_MB}`];
  const generation = await run(
    'spin',
    ['-a', ...(variant ? [`-D${variant}`] : []), resolve('spec', `${spec}.pml`)],
    dir,
  );
  const compilation = await run('gcc', [...flags, '-o', 'pan', 'pan.c'], dir);
  const search = await run(join(dir, 'pan'), [`-m${MAX_DEPTH}`, '-w26', '-E'], dir);
  const errors = /errors: (\d+)/.exec(search)?.[1];
  if (errors === undefined) {
    console.error(generation, compilation, search);
    process.exit(1);
  }
  const states = Number(/(\d+(?:\.\d+e\+\d+)?) states, stored/.exec(search)?.[1] ?? 0);
  const isComplete = !/max search depth too small|out of memory|reached -DMEMLIM/.test(search);
  return { spec, variant, errors: Number(errors), states, isComplete };
}

/** Prints the result of a check; returns whether it is the expected one. */
function reportResult({ spec, variant, errors, states, isComplete }) {
  if (variant) {
    console.log(
      `${spec} without ${variant}: ${errors > 0 ? 'counterexample found' : 'NO counterexample'}, ${states} states`,
    );
    return errors > 0;
  }
  console.log(
    `${spec}: ${errors === 0 ? 'holds' : 'FAILS'}, ${states} states, ${isComplete ? 'search complete' : 'search NOT complete'}`,
  );
  return errors === 0 && isComplete;
}

/** Runs the checks concurrently; returns their results in order. */
async function checkAll(checks) {
  const results = [];
  let next = 0;
  const worker = async () => {
    while (next < checks.length) {
      const index = next;
      next += 1;
      results[index] = await check(checks[index]);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
  return results;
}

rmSync(BUILD_DIR, { recursive: true, force: true });
const checks = SPECS.flatMap(({ spec, variants }) => [
  { spec },
  ...variants.map((variant) => ({ spec, variant })),
]);
const failures = (await checkAll(checks)).filter((result) => !reportResult(result)).length;
console.log(
  `${SPECS.length} specifications, ${checks.length - SPECS.length} faulty variants, ${failures} failures`,
);
process.exit(failures > 0 ? 1 : 0);
