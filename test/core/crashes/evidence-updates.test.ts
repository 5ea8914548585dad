/**
 * Guards against evidence that reaches a relay never, or seconds late with the ages of its first
 * try: relays restart, freeze and are cut off while endpoints crash.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CrashEvidence, EvidenceUpdates, type TraitId } from '../../../src/core/crashes/index.js';
import { asId } from '../../../src/core/ids/index.js';
import type { CrashUpdate } from '../../../src/generated/messages.types.js';

const P = asId<TraitId>('request:p');

interface Setup {
  readonly clock: { nowMs: number };
  readonly evidence: CrashEvidence;
  readonly updates: EvidenceUpdates;
  readonly received: CrashUpdate[];
  isRelayUp: boolean;
}

function setUp(): Setup {
  const clock = { nowMs: 0 };
  const evidence = new CrashEvidence({ clock: { nowMs: () => clock.nowMs } });
  const setup = { clock, evidence, received: [] as CrashUpdate[], isRelayUp: true };
  const updates = new EvidenceUpdates({
    clock: { nowMs: () => clock.nowMs },
    evidence,
    relays: ['relay'],
    send: (_relay, update) => {
      if (!setup.isRelayUp) return Promise.reject(new Error('timeout'));
      setup.received.push(update);
      return Promise.resolve();
    },
    onFailed: () => undefined,
  });
  return Object.assign(setup, { updates });
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

async function flushEvery(setup: Setup, untilMs: number): Promise<void> {
  while (setup.clock.nowMs < untilMs) {
    setup.clock.nowMs += 400;
    setup.updates.flush();
    await settle();
  }
}

test('a relay that is down for 20 s gets the evidence once it is back, with its true age', async () => {
  const setup = setUp();
  setup.isRelayUp = false;
  setup.evidence.noteCrash({ endpoint: asId('e-1'), sentAtMs: 0, traits: [P] });
  await flushEvery(setup, 20_000);
  setup.isRelayUp = true;
  await flushEvery(setup, 30_000);
  assert.equal(setup.received.length, 1);
  const age = setup.received[0]?.runs[0]?.crashedAgoMs ?? 0;
  assert.ok(age >= 20_000, `${age} ms`);
});

test('acknowledged evidence is not sent again, and evidence of other entries not at all', async () => {
  const setup = setUp();
  setup.evidence.noteCrash({ endpoint: asId('e-1'), sentAtMs: 0, traits: [P] });
  await flushEvery(setup, 2000);
  const other = new CrashEvidence({ clock: { nowMs: () => 0 } });
  other.noteCrash({ endpoint: asId('e-2'), sentAtMs: 0, traits: [P] });
  setup.evidence.merge(other.deltaSince(0));
  await flushEvery(setup, 4000);
  assert.equal(setup.received.length, 1);
});
