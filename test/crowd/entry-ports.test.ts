/** Guards against clients that end an entry by what they send to the ports for daemons, the platform and operators. */
import { test } from 'node:test';
import { checkCrowds } from './check.js';
import { CALL_CROWDS, POLL_CROWDS } from './internal-crowds.js';
import { PORT, startEntry } from './programs.js';

const CROWDS = { control: CALL_CROWDS, ready: POLL_CROWDS, metrics: POLL_CROWDS };

for (const port of ['control', 'ready', 'metrics'] as const)
  for (const [name, crowds] of Object.entries(CROWDS[port]))
    test(`an entry outlives a crowd at its port "${port}": ${name}`, async (t) => {
      const entry = await startEntry();
      try {
        await checkCrowds(entry, PORT[port], crowds, (text) => t.diagnostic(text));
      } finally {
        await entry.stop();
      }
    });
