#!/usr/bin/env node
/** `npm run soak`: plays seeds one after the other, several side by side, and keeps the logs of those that fail. */
import { rmSync } from 'node:fs';
import { Command, InvalidArgumentError, Option } from 'commander';
import { PLAYS, USUAL_SIZE, soak, type SoakResult } from './run.js';
import type { SoakSize } from './deployment.js';

interface Options {
  readonly seeds: readonly number[];
  readonly seconds: number;
  readonly jobs: number;
  readonly entries: number;
  readonly ranks: number;
  readonly plain: number;
  readonly play: keyof typeof PLAYS;
}

/** Reads `7` or `1-50`. */
function parseSeeds(text: string): number[] {
  const match = /^(\d+)(?:-(\d+))?$/.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2] ?? match?.[1]);
  if (!match || last < first) throw new InvalidArgumentError('write one seed, or FIRST-LAST');
  return Array.from({ length: last - first + 1 }, (_, i) => first + i);
}

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new InvalidArgumentError('write a whole number of 1 or more');
}

function report(result: SoakResult): void {
  const { seed, asks, answered, disturbances, violations, longestOwnPauseMs, folder } = result;
  const verdict = violations.length === 0 ? 'clean' : `${violations.length} violations, ${folder}`;
  process.stdout.write(
    `seed ${seed}: ${asks} asked, ${answered} answered, ${disturbances} disturbances, own pause ${longestOwnPauseMs} ms: ${verdict}\n`,
  );
  for (const violation of violations) process.stdout.write(`  ${violation}\n`);
  if (violations.length === 0) rmSync(folder, { recursive: true });
}

async function main(): Promise<void> {
  const program = new Command('soak')
    .description('Runs the real programs under random faults and checks the promises.')
    .option('--seeds <range>', 'one seed or FIRST-LAST', parseSeeds, [1, 2, 3])
    .option('--seconds <n>', 'seconds of disturbances a seed', parseCount, 10)
    .option('--jobs <n>', 'seeds side by side', parseCount, 2)
    .option('--entries <n>', 'entries', parseCount, USUAL_SIZE.entries)
    .option('--ranks <n>', 'model engines, each with an agent', parseCount, USUAL_SIZE.ranks)
    .option('--plain <n>', 'plain endpoints', parseCount, USUAL_SIZE.plain)
    .addOption(
      new Option('--play <name>', 'what is done to it')
        .choices(Object.keys(PLAYS))
        .default('faults'),
    );
  program.parse();
  const options = program.opts<Options>();
  const { entries, ranks, plain } = options;
  const size: SoakSize = { entries, ranks, plain };
  const left = [...options.seeds];
  let failed = 0;
  let notPlayed = 0;
  const play = async (): Promise<void> => {
    for (let seed = left.shift(); seed !== undefined; seed = left.shift()) {
      try {
        const result = await soak(seed, options.seconds, size, PLAYS[options.play]);
        report(result);
        if (result.violations.length > 0) failed += 1;
      } catch (err) {
        // A machine that is too busy to start the programs says nothing about them, nor that seed is clean.
        process.stdout.write(`seed ${seed}: not played: ${String(err)}\n`);
        notPlayed += 1;
      }
    }
  };
  await Promise.all(Array.from({ length: options.jobs }, play));
  const clean = options.seeds.length - failed - notPlayed;
  process.stdout.write(
    `${clean} of ${options.seeds.length} seeds clean, ${failed} failed, ${notPlayed} not played\n`,
  );
  process.exit(clean < options.seeds.length ? 1 : 0);
}

main().catch((err: unknown) => {
  process.stderr.write(`soak: ${String(err)}\n`);
  process.exit(2);
});
