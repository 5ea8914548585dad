/**
 * Model checking with spin: each specification must hold, and each of its broken variants must give
 * a counterexample. States are stored as 64-bit hashes (spin's HC4). Prints the states searched;
 * exits 1 when any of that fails.
 */
import { spawn } from 'node:child_process';
import { mkdirSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';

const BUILD = 'spec/build';
const DEPTH = 400000;
const MEMORY_MB = 5000;
const AT_ONCE = 3;

const SPECS = [
  { spec: 'switch', broken: ['NO_HOLD', 'NO_PROMISE', 'NO_RECHECK', 'FORGET'] },
  {
    spec: 'engine-orders',
    broken: ['NO_FENCE', 'OWN_VERSION', 'NO_HOLD', 'EARLY_GO', 'LATE_ABORT'],
  },
  { spec: 'engine-restart', broken: ['NO_CLAIM'] },
];

function run(command, args, cwd) {
  return new Promise((done) => {
    const child = spawn(command, args, { cwd });
    let out = '';
    child.stdout.on('data', (text) => (out += text));
    child.stderr.on('data', (text) => (out += text));
    child.on('error', (err) => {
      console.error(`${command} cannot be run (${err.code}): install the packages spin and gcc`);
      process.exit(1);
    });
    child.on('close', () => done(out));
  });
}

async function check({ spec, variant }) {
  const dir = resolve(BUILD, variant ? `${spec}-${variant}` : spec);
  mkdirSync(dir, { recursive: true });
  const flags = ['-O3', '-w', '-DSAFETY', '-DHC4', `-DMEMLIM=${MEMORY_MB}`];
  const made = await run(
    'spin',
    ['-a', ...(variant ? [`-D${variant}`] : []), resolve('spec', `${spec}.pml`)],
    dir,
  );
  const built = await run('gcc', [...flags, '-o', 'pan', 'pan.c'], dir);
  const out = await run(join(dir, 'pan'), [`-m${DEPTH}`, '-w26', '-E'], dir);
  const errors = /errors: (\d+)/.exec(out)?.[1];
  if (errors === undefined) {
    console.error(made, built, out);
    process.exit(1);
  }
  const states = Number(/(\d+(?:\.\d+e\+\d+)?) states, stored/.exec(out)?.[1] ?? 0);
  const whole = !/max search depth too small|out of memory|reached -DMEMLIM/.test(out);
  return { spec, variant, errors: Number(errors), states, whole };
}

function verdict({ spec, variant, errors, states, whole }) {
  if (variant) {
    console.log(
      `${spec} without ${variant}: ${errors > 0 ? 'counterexample' : 'NO counterexample'}, ${states} states`,
    );
    return errors > 0;
  }
  console.log(
    `${spec}: ${errors === 0 ? 'holds' : 'FAILS'}, ${states} states, ${whole ? 'searched whole' : 'NOT searched whole'}`,
  );
  return errors === 0 && whole;
}

/** Runs the checks, a few at once, and keeps their order. */
async function checkAll(checks) {
  const results = [];
  let next = 0;
  const worker = async () => {
    while (next < checks.length) {
      const at = next;
      next += 1;
      results[at] = await check(checks[at]);
    }
  };
  await Promise.all(Array.from({ length: AT_ONCE }, worker));
  return results;
}

rmSync(BUILD, { recursive: true, force: true });
const checks = SPECS.flatMap(({ spec, broken }) => [
  { spec },
  ...broken.map((variant) => ({ spec, variant })),
]);
const faults = (await checkAll(checks)).filter((result) => !verdict(result)).length;
console.log(
  `${SPECS.length} specifications, ${checks.length - SPECS.length} broken variants, ${faults} faults`,
);
process.exit(faults > 0 ? 1 : 0);
