import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { CrashEvidence, fingerprintOf, type Fingerprint } from '../../../src/core/crashes/index.js';
import { asId, type EndpointId } from '../../../src/core/ids/index.js';

const [P, Q] = ['p', 'q'].map((text) => asId<Fingerprint>(text)) as [Fingerprint, Fingerprint];
const at = (name: string): EndpointId => asId<EndpointId>(name);

function evidenceAt(clock: { nowMs: number }): CrashEvidence {
  return new CrashEvidence({ nowMs: () => clock.nowMs });
}

test('a request is refused after its second crash, and one crash seen twice counts once', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  assert.equal(evidence.noteCrash(P, at('e-1')), true);
  clock.nowMs = 400;
  assert.equal(evidence.noteCrash(P, at('e-1')), false);
  assert.equal(evidence.isRefused(P), false);
  clock.nowMs = 5000;
  assert.equal(evidence.noteCrash(P, at('e-1')), true, 'the endpoint had restarted');
  assert.equal(evidence.isRefused(P), true);
  assert.equal(evidence.isRefused(Q), false);
});

test('a successful run clears a request, before its second crash or after', () => {
  const evidence = evidenceAt({ nowMs: 0 });
  assert.equal(evidence.noteSuccess(P), false, 'it is not suspected');
  for (const endpoint of ['e-1', 'e-2']) evidence.noteCrash(P, at(endpoint));
  assert.equal(evidence.noteSuccess(P), true);
  evidence.noteCrash(P, at('e-3'));
  assert.equal(evidence.isRefused(P), false);
});

test('evidence expires', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  for (const endpoint of ['e-1', 'e-2']) evidence.noteCrash(P, at(endpoint));
  clock.nowMs = 299_999;
  assert.equal(evidence.isRefused(P), true);
  clock.nowMs = 300_000;
  assert.equal(evidence.isRefused(P), false);
});

test('the number of suspects is bounded, and those with the most crashes are kept', () => {
  const evidence = evidenceAt({ nowMs: 0 });
  for (const endpoint of ['e-1', 'e-2']) evidence.noteCrash(P, at(endpoint));
  for (let i = 0; i < 500; i += 1) evidence.noteCrash(asId<Fingerprint>(`f-${i}`), at('e-1'));
  assert.equal(evidence.deltaSince(0).suspects.length, 128);
  assert.equal(evidence.isRefused(P), true);
});

test('an update holds only what changed since a version', () => {
  const evidence = evidenceAt({ nowMs: 0 });
  evidence.noteCrash(P, at('e-1'));
  const { version } = evidence;
  evidence.noteCrash(Q, at('e-1'));
  assert.deepEqual(
    evidence.deltaSince(version).suspects.map(({ fingerprint }) => fingerprint),
    ['q'],
  );
  assert.deepEqual(evidence.deltaSince(evidence.version).suspects, []);
});

const OBSERVATION = fc.record({
  print: fc.constantFrom('p', 'q', 'r'),
  endpoint: fc.constantFrom('e-1', 'e-2', 'e-3'),
  by: fc.nat({ max: 3 }),
  isGood: fc.boolean(),
});

test('entries that exchanged all updates, in any order and more than once, refuse the same requests', () => {
  fc.assert(
    fc.property(
      fc.array(OBSERVATION, { maxLength: 12 }),
      fc.array(fc.tuple(fc.nat({ max: 3 }), fc.nat({ max: 3 })), { maxLength: 20 }),
      (observations, order) => {
        const clock = { nowMs: 10_000 };
        const entries = Array.from({ length: 4 }, () => evidenceAt(clock));
        const sendUpdate = (from: number, to: number): void => {
          const update = entries[from]?.deltaSince(0);
          if (update) entries[to]?.merge(update);
        };
        for (const { print, endpoint, by, isGood } of observations) {
          const fingerprint = asId<Fingerprint>(print);
          if (isGood) entries[by]?.noteSuccess(fingerprint);
          else entries[by]?.noteCrash(fingerprint, at(endpoint));
        }
        for (const [from, to] of order) sendUpdate(from, to);
        for (let round = 0; round < 3; round += 1)
          for (let from = 0; from < 4; from += 1)
            for (let to = 0; to < 4; to += 1) sendUpdate(from, to);
        for (const print of ['p', 'q', 'r']) {
          const verdicts = entries.map((each) => each.isRefused(asId<Fingerprint>(print)));
          assert.equal(new Set(verdicts).size, 1);
        }
      },
    ),
  );
});

test('a fingerprint depends on each of path, caller and body', () => {
  const contents = { path: '/x', caller: 'k', body: Buffer.from('b') };
  const fingerprints = [
    contents,
    { ...contents, path: '/y' },
    { ...contents, caller: 'l' },
    { ...contents, body: Buffer.from('c') },
  ].map(fingerprintOf);
  assert.equal(new Set(fingerprints).size, 4);
  assert.equal(fingerprintOf({ ...contents }), fingerprints[0]);
});
