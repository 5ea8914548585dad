#!/usr/bin/env node
/** `harrierglade`: the operators' command line. A command's modules are imported when it runs. */
import { Command } from 'commander';
import { CommandError, EXIT_CODE } from './shared/io.js';

const EXIT_HELP = `
Exit codes: 0 done, 1 refused or errors found, 2 usage or unreadable input, 3 unreachable.`;

const program = new Command('harrierglade')
  .description(
    'Inspects harrierglade daemons and prepares their configuration. It publishes nothing itself.',
  )
  .addHelpText('after', EXIT_HELP);

program
  .command('check <file>')
  .description('check a settings, configuration or intent file')
  .option(
    '--kind <kind>',
    'settings, configuration (a document or a bare body) or intent',
    'settings',
  )
  .action(async (file: string, options: { kind: string }) =>
    (await import('./check/index.js')).check(file, options),
  );
program
  .command('plan <intent>')
  .description('make a plan for an event from the published configuration')
  .requiredOption('--platform <url>', "URL of the platform's configuration service")
  .option(
    '--daemon <address>',
    "operators' address of a daemon, needed if the newest version is refused",
  )
  .option('--out <file>', 'write the plan as JSON, for confirm')
  .option('--json', 'print the plan as JSON')
  .action(
    async (
      file: string,
      options: { platform: string; daemon?: string; out?: string; json?: boolean },
    ) => (await import('./plan/index.js')).plan(file, options),
  );
program
  .command('confirm <plan>')
  .description('check that a plan is still valid and emit the document to publish')
  .requiredOption('--platform <url>', "URL of the platform's configuration service")
  .option(
    '--daemon <address>',
    "operators' address of a daemon, needed if the newest version is refused",
  )
  .option('--out <file>', 'write the document to a file instead of standard output')
  .action(async (file: string, options: { platform: string; daemon?: string; out?: string }) =>
    (await import('./confirm/index.js')).confirm(file, options),
  );
program
  .command('status <operators...>')
  .description(
    "versions, readiness and refused documents of daemons, by their operators' addresses",
  )
  .option('--json', 'print JSON')
  .action(async (addresses: string[], options: { json?: boolean }) =>
    (await import('./status/index.js')).status(addresses, options),
  );
program
  .command('counters <operators>')
  .description('counters of one daemon')
  .option('--match <text>', 'only counters whose names contain the text', '')
  .option('--json', 'print JSON')
  .action(async (address: string, options: { match: string; json?: boolean }) =>
    (await import('./counters/index.js')).counters(address, options),
  );
program
  .command('explain <operators> [request]')
  .description(
    'why a request was routed to its endpoint or refused; without a request, the latest ones',
  )
  .option('--json', 'print JSON')
  .action(async (address: string, id: string | undefined, options: { json?: boolean }) =>
    (await import('./explain/index.js')).explain(address, id, options),
  );

program
  .command('account <logs...>')
  .description(
    'how requests ended for their callers, by time and by reason, from logs of entries and agents',
  )
  .option('--span <seconds>', 'time span that one row of the table covers', '2')
  .option('--json', 'print the table as JSON')
  .action(async (files: string[], options: { span: string; json?: boolean }) =>
    (await import('./account/index.js')).account(files, options),
  );

// A reader such as `head` may close the pipe before all output is written.
process.stdout.on('error', (err: NodeJS.ErrnoException) => {
  if (err.code === 'EPIPE') process.exit(EXIT_CODE.ok);
  throw err;
});

program.exitOverride((err) => process.exit(err.exitCode === 0 ? EXIT_CODE.ok : EXIT_CODE.usage));
program.parseAsync().catch((err: unknown) => {
  const isCommandError = err instanceof CommandError;
  process.stderr.write(`harrierglade: ${isCommandError ? err.message : String(err)}\n`);
  process.exit(isCommandError ? err.exitCode : EXIT_CODE.usage);
});
