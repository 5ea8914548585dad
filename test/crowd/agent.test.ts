/** Guards against clients that end an agent by what they send to its port for daemons. */
import { test } from 'node:test';
import { checkCrowds } from './check.js';
import { CALL_CROWDS } from './internal-crowds.js';
import { PORT, startAgent } from './programs.js';

for (const [name, crowds] of Object.entries(CALL_CROWDS))
  test(`an agent outlives a crowd: ${name}`, async (t) => {
    const agent = await startAgent();
    try {
      await checkCrowds(agent, PORT.internal, crowds, (text) => t.diagnostic(text));
    } finally {
      await agent.stop();
    }
  });
