#!/usr/bin/env node
/** `npm run soak`: runs seeds, several in parallel, and keeps the logs of those that fail. */
import { rmSync } from 'node:fs';
import { Command, InvalidArgumentError, Option } from 'commander';
import type { SoakResult } from './result.js';
import { DEFAULT_SIZE, PLAYS, SCENARIO_SIZES, type Play } from './run.js';
import type { SoakSize } from './deployment.js';

interface Options {
  readonly seeds: readonly number[];
  readonly seconds: number;
  readonly jobs: number;
  readonly entries?: number;
  readonly ranks?: number;
  readonly plain?: number;
  readonly callers?: number;
  readonly play: string;
}

/** Reads `7` or `1-50`. */
function parseSeeds(text: string): number[] {
  const match = /^(\d+)(?:-(\d+))?$/.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2] ?? match?.[1]);
  if (!match || last < first)
    throw new InvalidArgumentError('must be one seed or a range FIRST-LAST');
  return Array.from({ length: last - first + 1 }, (_, i) => first + i);
}

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new InvalidArgumentError('must be an integer of at least 1');
}

function report(result: SoakResult): void {
  const { seed, requests, answered, disturbances, violations, longestStallMs, folder } = result;
  const verdict = violations.length === 0 ? 'clean' : `${violations.length} violations, ${folder}`;
  const surplus = result.surplus
    ? `, ${result.refused} refused, ${result.surplus} surplus responses (${result.surplus503} of 503)`
    : '';
  const stall =
    longestStallMs === undefined ? '' : `, longest event loop stall ${longestStallMs} ms`;
  process.stdout.write(
    `seed ${seed}: ${requests} requests, ${answered} answered, ${disturbances} disturbances${surplus}${stall}: ${verdict}\n`,
  );
  for (const violation of violations) process.stdout.write(`  ${violation}\n`);
  if (violations.length === 0) rmSync(folder, { recursive: true });
}

async function main(): Promise<void> {
  const program = new Command('soak')
    .description('Runs the real programs under random faults and checks the guarantees.')
    .option('--seeds <range>', 'one seed or a range FIRST-LAST', parseSeeds, [1, 2, 3])
    .option('--seconds <n>', 'seconds of disturbances per seed', parseCount, 10)
    .option('--jobs <n>', 'seeds to run in parallel', parseCount, 2)
    .option('--entries <n>', 'number of entries', parseCount)
    .option('--ranks <n>', 'number of model engines, each with an agent', parseCount)
    .option('--plain <n>', 'number of plain endpoints', parseCount)
    .option('--callers <n>', 'callers that each send one request after another', parseCount)
    .addOption(
      new Option('--play <name>', 'scenario to run').choices(Object.keys(PLAYS)).default('faults'),
    );
  program.parse();
  const options = program.opts<Options>();
  const { entries, ranks, plain, callers } = options;
  const given = Object.entries({ entries, ranks, plain, callers }).filter(([, n]) => n);
  const size: SoakSize = {
    ...(SCENARIO_SIZES[options.play] ?? DEFAULT_SIZE),
    ...Object.fromEntries(given),
  };
  const play = PLAYS[options.play] as Play;
  const remaining = [...options.seeds];
  let failed = 0;
  let notRun = 0;
  const runSeeds = async (): Promise<void> => {
    for (let seed = remaining.shift(); seed !== undefined; seed = remaining.shift()) {
      try {
        const result = await play(seed, options.seconds, size);
        report(result);
        if (result.violations.length > 0) failed += 1;
      } catch (err) {
        // If the programs cannot start, for example on a busy machine, the seed is neither clean nor
        // failed.
        process.stdout.write(`seed ${seed}: not run: ${String(err)}\n`);
        notRun += 1;
      }
    }
  };
  await Promise.all(Array.from({ length: options.jobs }, runSeeds));
  const clean = options.seeds.length - failed - notRun;
  process.stdout.write(
    `${clean} of ${options.seeds.length} seeds clean, ${failed} failed, ${notRun} not run\n`,
  );
  process.exit(clean < options.seeds.length ? 1 : 0);
}

main().catch((err: unknown) => {
  process.stderr.write(`soak: ${String(err)}\n`);
  process.exit(2);
});
