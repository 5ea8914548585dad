/**
 * Guards against a caller being told that its request has not run although it has, or getting the response to
 * another one, whatever endpoints do to the connections of an entry, in any order.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { errorText } from '../../../src/core/errors/index.js';
import { playWire, wires, type Answer, type Script, type Wire } from './wires.js';

/** More by hand: `WIRES=10000 WIRES_SEED=7 node --test dist/test/gateway/requests/random-wires.test.js`. */
const CASES = Number(process.env['WIRES'] ?? 200);
const SEED = Number(process.env['WIRES_SEED'] ?? 58);
const CONCURRENT = 12;

interface Failure {
  readonly index: number;
  readonly detail: string;
}

/** Plays wires side by side until one fails. */
async function firstFailure(all: readonly Wire[]): Promise<Failure | undefined> {
  const failures: Failure[] = [];
  let next = 0;
  const work = async (): Promise<void> => {
    while (next < all.length && failures.length === 0) {
      const index = next;
      next += 1;
      await playWire(all[index] as Wire).catch((err: unknown) =>
        failures.push({ index, detail: errorText(err) }),
      );
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT }, work));
  return failures[0];
}

test('no order of what endpoints do makes a caller hear what is not so', async () => {
  const sampled = fc.sample(wires, { seed: SEED, numRuns: CASES });
  const failure = await firstFailure(sampled);
  if (!failure) return;
  const { index, detail } = failure;
  // Played again alone, it shrinks if it does not depend on what ran beside it.
  await fc.assert(fc.asyncProperty(wires, playWire), { seed: SEED, path: `${index}`, numRuns: 1 });
  assert.fail(`wire ${index}: ${detail}: ${JSON.stringify(sampled[index])}`);
});

const answer = (change: Partial<Answer>): Answer => ({
  act: 'answer',
  says: 'full',
  of: 'own',
  framing: 'length',
  ...change,
});

/** Shrunk cases: what an endpoint did on each connection. */
const FOUND: Record<string, Pick<Script, 'steps'> & Partial<Pick<Script, 'greeting'>>> = {
  'a "not run" for another request': { steps: [{ acts: [answer({ of: 'earlier' })] }] },
  'a 421 for another request': {
    steps: [{ acts: [answer({ says: 'misdirected', of: 'earlier' })] }],
  },
  'a "not run" without an id': { steps: [{ acts: [answer({ of: 'none' })] }] },
  'a "not run" without an id on a used connection': {
    steps: [{ acts: [answer({ says: 'ok' })] }, { acts: [answer({ of: 'none' })] }],
  },
  'a failure without an id': { steps: [{ acts: [answer({ says: 'failed', of: 'none' })] }] },
  'a "not run" before any request': { greeting: [answer({ of: 'none' })], steps: [{ acts: [] }] },
  'its own response before it came': {
    greeting: [answer({ says: 'ok', of: 'later' })],
    steps: [{ acts: [] }],
  },
  'a connection in use that fails as if none could be opened': {
    steps: [{ acts: [{ act: 'fail', code: 'EHOSTUNREACH' }] }],
  },
  'a surplus response before the own one': {
    steps: [
      { acts: [answer({ says: 'ok' })] },
      { acts: [answer({ says: 'ok', of: 'earlier' }), answer({ says: 'ok' })] },
    ],
  },
};

for (const [name, { greeting = [], steps }] of Object.entries(FOUND))
  test(`a caller hears nothing that is not so after ${name}`, async () => {
    const call = { deadlineMs: 120, bodyBytes: 0 };
    await playWire({
      kind: 'once',
      maxAttempts: 1,
      endpoints: 1,
      connections: 2,
      calls: [
        { ...call, afterMs: 0 },
        { ...call, afterMs: 40 },
        { ...call, afterMs: 80 },
      ],
      scripts: [{ greeting, steps }],
    });
  });
