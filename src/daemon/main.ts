#!/usr/bin/env node
/**
 * `harriergladed`: the daemon.
 * Exit codes: 0 planned stop, 1 requests were cut off, 2 invalid settings or failed start.
 */
import { Command } from 'commander';
import { errorText } from '../core/errors/index.js';
import { readSettings } from '../core/settings/index.js';
import { startDaemon } from './start.js';

const EXIT_REQUESTS_CUT = 1;
const EXIT_START_FAILED = 2;

async function main(): Promise<void> {
  const program = new Command('harriergladed')
    .description('The harrierglade daemon; the settings choose its role, entry or agent.')
    .requiredOption('--settings <file>', 'JSON settings file, see docs/CONFIGURATION.md')
    .addHelpText(
      'after',
      '\nExit codes: 0 planned stop, 1 requests were cut off at the drain limit, 2 invalid settings or failed start.',
    );
  program.parse();
  const settings = readSettings(program.opts<{ settings: string }>().settings);
  if (settings.err) {
    process.stderr.write(`harriergladed: ${settings.val.message}\n`);
    process.exit(EXIT_START_FAILED);
  }
  const daemon = await startDaemon(settings.val);
  let stopping = false;
  const stop = (): void => {
    // A second signal exits at once and cuts off the requests in flight.
    if (stopping) process.exit(EXIT_REQUESTS_CUT);
    stopping = true;
    void daemon.stop().then(({ cut }) => process.exit(cut > 0 ? EXIT_REQUESTS_CUT : 0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

main().catch((err: unknown) => {
  process.stderr.write(
    `harriergladed: cannot start: ${errorText(err)}. Check the addresses in the settings.\n`,
  );
  process.exit(EXIT_START_FAILED);
});
