import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { CrashEvidence, type TraitId } from '../../../src/core/crashes/index.js';
import { asId, type EndpointId } from '../../../src/core/ids/index.js';

const trait = (name: string): TraitId => asId<TraitId>(name);
const [P, Q] = ['request:p', 'request:q'].map(trait) as [TraitId, TraitId];
const at = (name: string): EndpointId => asId<EndpointId>(name);

interface TestClock {
  nowMs: number;
}

function evidenceAt(clock: TestClock): CrashEvidence {
  return new CrashEvidence({ clock: { nowMs: () => clock.nowMs } });
}

/** A run sent now crashes its endpoint after `ranMs`. */
function crash(
  evidence: CrashEvidence,
  clock: TestClock,
  endpoint: string,
  traits: readonly TraitId[],
  ranMs = 50,
): void {
  const sentAtMs = clock.nowMs;
  clock.nowMs += ranMs;
  evidence.noteCrash({ endpoint: at(endpoint), sentAtMs, traits });
}

/** Prompts of a service; the first part is shared by all. */
const FIRST = trait('first-part:s:common');
const SENDER = trait('sender:s:org-1:r-1');
const part = (name: string): TraitId => trait(`part:s:${name}`);
function prompt(...names: string[]): TraitId[] {
  return [trait(`request:${names.join('')}`), SENDER, FIRST, ...names.map(part)];
}

test('a request is refused after its second crash, and one crash seen twice counts once', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  evidence.noteCrash({ endpoint: at('e-1'), sentAtMs: 0, traits: [P] });
  clock.nowMs = 400;
  evidence.noteCrash({ endpoint: at('e-1'), sentAtMs: 0, traits: [P] });
  assert.equal(evidence.refusedTrait([P]), undefined);
  clock.nowMs = 5000;
  evidence.noteCrash({ endpoint: at('e-1'), sentAtMs: 4990, traits: [P] });
  assert.equal(evidence.refusedTrait([P]), P, 'the endpoint had restarted');
  assert.equal(evidence.refusedTrait([Q]), undefined);
});

test('a successful run clears a trait of the crashes before it was sent', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  assert.deepEqual(evidence.noteSuccess([P], 0), [], 'it is not suspected');
  for (const endpoint of ['e-1', 'e-2']) crash(evidence, clock, endpoint, [P]);
  assert.equal(evidence.refusedTrait([P]), P);
  assert.deepEqual(evidence.noteSuccess([P], clock.nowMs + 1), [P]);
  crash(evidence, clock, 'e-3', [P]);
  assert.equal(evidence.refusedTrait([P]), undefined);
});

/**
 * A part served well before a release crashes engines after it; runs sent before the first crash
 * still succeed after it.
 */
test('a success of a run sent before a crash does not clear the crash', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  const sentAtMs = clock.nowMs;
  for (const endpoint of ['e-1', 'e-2']) crash(evidence, clock, endpoint, [P]);
  assert.deepEqual(evidence.noteSuccess([P], sentAtMs), []);
  assert.equal(evidence.refusedTrait([P]), P);
});

test('refusals end, and a single crash afterwards is enough to refuse again', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  for (const endpoint of ['e-1', 'e-2']) crash(evidence, clock, endpoint, [P]);
  clock.nowMs = 300_099;
  assert.equal(evidence.refusedTrait([P]), P);
  clock.nowMs = 300_100;
  assert.equal(evidence.refusedTrait([P]), undefined);
  crash(evidence, clock, 'e-3', [P]);
  assert.equal(evidence.refusedTrait([P]), P);
});

/** Traits cost each request some microseconds, which are not spent for good after a crash. */
test('evidence is empty again ten minutes after the last crash', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  assert.equal(evidence.isEmpty, true);
  crash(evidence, clock, 'e-1', [P]);
  clock.nowMs = 600_000;
  assert.equal(evidence.isEmpty, false);
  clock.nowMs = 600_050;
  assert.equal(evidence.isEmpty, true);
});

/** Without it, all entries of a fleet let such a request through at the same moment. */
test('refusals do not end at all entries at the same time', () => {
  const clock = { nowMs: 0 };
  const entries = [0, 0.5, 0.99].map(
    (random) => new CrashEvidence({ clock: { nowMs: () => clock.nowMs }, random: () => random }),
  );
  const [first] = entries as [CrashEvidence];
  for (const endpoint of ['e-1', 'e-2']) crash(first, clock, endpoint, [P]);
  for (const other of entries.slice(1)) other.merge(first.deltaSince(0));
  clock.nowMs = 301_000;
  assert.deepEqual(
    entries.map((entry) => entry.refusedTrait([P])),
    [undefined, P, P],
  );
});

test('the number of runs is bounded, and those of traits with the most crashes are kept', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  for (const endpoint of ['e-1', 'e-2']) crash(evidence, clock, endpoint, [P]);
  const sentAtMs = clock.nowMs;
  for (let i = 0; i < 1500; i += 1)
    evidence.noteCrash({ endpoint: at('e-1'), sentAtMs, traits: [trait(`request:${i}`)] });
  assert.equal(evidence.deltaSince(0).runs.length, 512);
  assert.equal(evidence.refusedTrait([P]), P);
});

test('an update holds only what changed since a version', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  crash(evidence, clock, 'e-1', [P]);
  const { version } = evidence;
  crash(evidence, clock, 'e-1', [Q]);
  assert.deepEqual(
    evidence.deltaSince(version).runs.map(({ traits }) => traits),
    [[Q]],
  );
  assert.deepEqual(evidence.deltaSince(evidence.version), { runs: [], cleared: [] });
});

test('an entry sends only what it observed itself', () => {
  const clock = { nowMs: 0 };
  const [own, other] = [evidenceAt(clock), evidenceAt(clock)];
  crash(own, clock, 'e-1', [P]);
  crash(other, clock, 'e-2', [Q]);
  own.merge(other.deltaSince(0));
  assert.equal(own.deltaSince(0).runs.length, 2);
  assert.deepEqual(
    own.ownSince(0).runs.map(({ traits }) => traits),
    [[P]],
  );
});

/** Relays restart without evidence; what they lack is sent again by those that read from them. */
test('what a restarted relay lacks is found in its first update', () => {
  const clock = { nowMs: 0 };
  const [entry, relay] = [evidenceAt(clock), evidenceAt(clock)];
  for (const endpoint of ['e-1', 'e-2']) crash(entry, clock, endpoint, [P]);
  crash(relay, clock, 'e-3', [Q]);
  relay.merge(entry.missingIn(relay.deltaSince(0)));
  assert.equal(relay.refusedTrait([P]), P);
  assert.deepEqual(entry.missingIn(relay.deltaSince(0)), { runs: [], cleared: [] });
});

/** The ages in a message that waited in a frozen process are too low. */
test('an update that is handled seconds late does not make one crash look like two', () => {
  const clock = { nowMs: 0 };
  const [entry, other] = [evidenceAt(clock), evidenceAt(clock)];
  crash(entry, clock, 'e-1', [P]);
  const late = entry.deltaSince(0);
  other.merge(late);
  clock.nowMs += 4000;
  other.merge(late);
  assert.equal(other.crashCount(P), 1);
  assert.equal(other.refusedTrait([P]), undefined);
});

/** Sound requests arrive, so that the shares of parts are known; none of them is served. */
function arriveSound(evidence: CrashEvidence, ...shared: string[]): void {
  for (let i = 0; i < 20; i += 1)
    evidence.noteArrival('s', prompt(...shared, `sound-${i % 10}`, `own-s-${i}`));
}

test('the part that is in all crashes is refused, and no sound part beside it', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  crash(evidence, clock, 'e-1', prompt('bad', 'a', 'own-1'));
  arriveSound(evidence);
  clock.nowMs += 5000;
  crash(evidence, clock, 'e-2', prompt('bad', 'b', 'own-2'));
  assert.equal(evidence.refusedTrait(prompt('bad', 'c', 'own-3')), part('bad'));
  for (const sound of ['a', 'b', 'c'])
    assert.equal(evidence.refusedTrait(prompt(sound, 'own-4')), undefined, sound);
});

/** Two prompts that crash endpoints share a sound part; the group is down in between, so nothing succeeds. */
test('a sound part that is always beside the crashing one is not refused without it', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  for (const [i, endpoint] of ['e-1', 'e-2'].entries()) {
    crash(evidence, clock, endpoint, prompt('template', 'bad', `own-${i}`));
    clock.nowMs += 5000;
    evidence.noteArrival('s', prompt('template', 'bad', `own-${i}`));
    arriveSound(evidence, 'template');
  }
  const sound = prompt('template', 'a', 'own-3');
  evidence.noteArrival('s', sound);
  assert.equal(evidence.refusedTrait(sound), undefined);
  assert.equal(evidence.refusedTrait(prompt('template', 'bad', 'own-4')), part('bad'));
});

/** The first requests of a group that is open again crash it, so nothing succeeds in between. */
test('with several crashing parts at once, each is refused, and what most requests share is not', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  const arrive = (...names: string[]): TraitId[] => {
    const traits = prompt('template', ...names);
    evidence.noteArrival('s', traits);
    return traits;
  };
  const crashes = ['bad-1', 'bad-2', 'bad-3', 'bad-1', 'bad-2', 'bad-3'];
  for (const [i, bad] of crashes.entries()) {
    for (let n = 0; n < 10; n += 1) {
      const sound = arrive(`sound-${n}`, `own-${i}-${n}`);
      assert.equal(evidence.refusedTrait(sound), undefined, `after ${i} crashes`);
    }
    crash(evidence, clock, `e-${i}`, arrive(bad, `own-${i}`));
    clock.nowMs += 5000;
  }
  for (const bad of ['bad-1', 'bad-2', 'bad-3'])
    assert.equal(evidence.refusedTrait(arrive(bad, 'own')), part(bad));
});

/** Ranks crash by themselves and for several requests at once, before any request of the only sender succeeds. */
test('a sender of most requests is not refused', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  for (let i = 0; i < 8; i += 1) {
    arriveSound(evidence);
    crash(evidence, clock, `e-${i}`, [trait(`request:${i}`), SENDER]);
    clock.nowMs += 400;
    assert.equal(evidence.refusedTrait([trait('request:x'), SENDER]), undefined);
  }
});

test('a sender whose requests have nothing else in common is refused after four crashes, for seconds at first', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  const arriveFromOthers = (): void => {
    for (let n = 0; n < 10; n += 1) evidence.noteArrival('s', [trait('sender:s:org-2:r-1')]);
  };
  for (let i = 0; i < 4; i += 1) {
    assert.equal(evidence.refusedTrait([trait(`request:${i}`), SENDER]), undefined);
    crash(evidence, clock, `e-${i}`, [trait(`request:${i}`), SENDER]);
    arriveFromOthers();
    clock.nowMs += 1000;
  }
  assert.equal(evidence.refusedTrait([trait('request:x'), SENDER]), SENDER);
  clock.nowMs += 5000;
  assert.equal(evidence.refusedTrait([trait('request:x'), SENDER]), undefined);
});

/** A data centre loses its power: every part in flight is in the crash of several endpoints. */
test('endpoints that are lost together count as one crash', () => {
  const clock = { nowMs: 1000 };
  const evidence = evidenceAt(clock);
  const sentAtMs = 900;
  for (let i = 0; i < 8; i += 1) {
    clock.nowMs += 10;
    evidence.noteCrash({ endpoint: at(`e-${i}`), sentAtMs, traits: prompt('a', 'b') });
  }
  assert.equal(evidence.crashCount(part('a')), 1);
  assert.equal(evidence.refusedTrait(prompt('a', 'b')), undefined);
});

/** Requests with a rare sound part are in two crashes by chance; the crashing part is in all. */
test('a rare sound part is not refused once the crashing part is in more crashes', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  for (const endpoint of ['e-1', 'e-2', 'e-3']) {
    const sentAtMs = clock.nowMs;
    clock.nowMs += 50;
    evidence.noteCrash({
      endpoint: at(endpoint),
      sentAtMs,
      traits: prompt('bad', `own-${endpoint}`),
    });
    if (endpoint !== 'e-3')
      evidence.noteCrash({
        endpoint: at(endpoint),
        sentAtMs,
        traits: prompt('rare', `o-${endpoint}`),
      });
    clock.nowMs += 5000;
  }
  assert.equal(evidence.refusedTrait(prompt('rare', 'own')), undefined);
  assert.equal(evidence.refusedTrait(prompt('bad', 'own')), part('bad'));
});

/**
 * Two requests that each crash endpoints by themselves have a sound part in common, as one of five
 * requests has, and no other request with it has succeeded in between.
 */
test('a part that one of five requests has is not refused after two crashes, even if none of nine had it', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  crash(evidence, clock, 'e-1', prompt('bad-1', 'topic', 'own-1'));
  for (let i = 0; i < 4; i += 1) arriveSound(evidence);
  for (let i = 0; i < 20; i += 1) evidence.noteArrival('s', prompt('topic', `own-t-${i}`));
  clock.nowMs += 300;
  crash(evidence, clock, 'e-2', prompt('bad-2', 'topic', 'own-2'));
  assert.equal(evidence.refusedTrait(prompt('topic', 'own-3')), undefined);
  const few = evidenceAt(clock);
  crash(few, clock, 'e-1', prompt('bad-1', 'topic', 'own-1'));
  for (let i = 0; i < 9; i += 1) few.noteArrival('s', prompt('other', `own-o-${i}`));
  clock.nowMs += 300;
  crash(few, clock, 'e-2', prompt('bad-2', 'topic', 'own-2'));
  assert.equal(few.refusedTrait(prompt('topic', 'own-3')), undefined);
});

/** A sound request that is sent often is in flight at both endpoints that another one crashes in turn. */
test('a frequent request is not refused for the crashes of another one', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  for (const endpoint of ['e-1', 'e-2']) {
    const sentAtMs = clock.nowMs;
    clock.nowMs += 30;
    for (const traits of [[P], [Q]])
      evidence.noteCrash({ endpoint: at(endpoint), sentAtMs, traits });
    clock.nowMs += 1;
  }
  evidence.noteArrival('s', [Q]);
  assert.equal(evidence.refusedTrait([Q]), undefined);
  assert.equal(evidence.refusedTrait([P]), P);
});

/** One request crashes both endpoints that it is sent to; another one with its topic is in a third crash. */
test('a common part does not count the crashes of a request that crashes endpoints by itself', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  for (const endpoint of ['e-1', 'e-2']) {
    crash(evidence, clock, endpoint, prompt('bad', 'topic', 'own-1'));
    clock.nowMs += 30;
  }
  crash(evidence, clock, 'e-3', prompt('topic', 'own-2'));
  assert.equal(evidence.crashCount(part('topic')), 2);
  assert.equal(evidence.refusedTrait(prompt('topic', 'own-3')), undefined);
});

/** As in the test before last, at an entry that has seen too few requests to know how common the part is. */
test('a part of unknown share is not refused after two crashes', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  crash(evidence, clock, 'e-1', prompt('bad-1', 'topic', 'own-1'));
  clock.nowMs += 300;
  crash(evidence, clock, 'e-2', prompt('bad-2', 'topic', 'own-2'));
  assert.equal(evidence.refusedTrait(prompt('topic', 'own-3')), undefined);
  crash(evidence, clock, 'e-3', prompt('topic', 'own-3'));
  assert.equal(evidence.refusedTrait(prompt('topic', 'own-4')), part('topic'));
});

/**
 * A retry is sent within 1 ms of the crash of the attempt before it. Reports of the two crashes travel separately,
 * so that at other entries the retry seemed in flight already as the first endpoint crashed, both crashes counted
 * as one, and the request crashed a third endpoint there.
 */
test('both crashes of a request that was retried count at other entries, however long their reports take', () => {
  const ms = (max: number): fc.Arbitrary<number> => fc.double({ min: 0, max, noNaN: true });
  fc.assert(
    fc.property(ms(2), ms(50), ms(500), ms(500), (gapMs, ranMs, transitMs, laterTransitMs) => {
      const clock = { nowMs: 1000 };
      const [entry, other] = [evidenceAt(clock), evidenceAt(clock)];
      const crashAt = (endpoint: string): void => {
        const sentAtMs = clock.nowMs;
        clock.nowMs += ranMs;
        entry.noteCrash({ endpoint: at(endpoint), request: 'r-1', sentAtMs, traits: [P] });
      };
      crashAt('e-1');
      const crashedAtMs = clock.nowMs;
      const { version } = entry;
      const report = entry.ownSince(0);
      clock.nowMs += gapMs;
      crashAt('e-2');
      const laterReport = entry.ownSince(version);
      clock.nowMs = Math.max(clock.nowMs, crashedAtMs + transitMs);
      other.merge(report);
      clock.nowMs += laterTransitMs;
      other.merge(laterReport);
      assert.equal(other.crashCount(P), 2);
      assert.equal(other.refusedTrait([P]), P);
    }),
  );
});

/** Callers choose ids: a caller with one id for all its requests had some in flight at endpoints lost together. */
test('requests with one id but different contents are not taken for attempts of one request', () => {
  const clock = { nowMs: 0 };
  const evidence = evidenceAt(clock);
  clock.nowMs += 50;
  for (const name of ['1', '2', '3', '4'])
    evidence.noteCrash({
      endpoint: at(`e-${name}`),
      request: 'r-1',
      sentAtMs: 0,
      traits: prompt('topic', `own-${name}`),
    });
  assert.equal(evidence.crashCount(part('topic')), 1);
  assert.equal(evidence.refusedTrait(prompt('topic', 'own-5')), undefined);
});

/** Successes follow each other within a second; the one after the crash came with an update of another entry. */
test('a success received soon after an earlier one still clears the crash between them', () => {
  const clock = { nowMs: 0 };
  const [entry, other] = [evidenceAt(clock), evidenceAt(clock)];
  crash(entry, clock, 'e-1', [P]);
  clock.nowMs += 100;
  entry.noteSuccess([P], clock.nowMs);
  crash(entry, clock, 'e-2', [P]);
  other.merge(entry.deltaSince(0));
  clock.nowMs += 300;
  entry.noteSuccess([P], clock.nowMs);
  other.merge(entry.deltaSince(0));
  assert.equal(other.crashCount(P), 0);
});

const OBSERVATION = fc.record({
  trait: fc.constantFrom(P, Q, part('a')),
  endpoint: fc.constantFrom('e-1', 'e-2', 'e-3'),
  by: fc.nat({ max: 3 }),
  isGood: fc.boolean(),
  afterMs: fc.nat({ max: 3000 }),
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
        for (const { trait: id, endpoint, by, isGood, afterMs } of observations) {
          clock.nowMs += afterMs;
          if (isGood) entries[by]?.noteSuccess([id], clock.nowMs);
          else
            entries[by]?.noteCrash({ endpoint: at(endpoint), sentAtMs: clock.nowMs, traits: [id] });
        }
        for (const [from, to] of order) sendUpdate(from, to);
        for (let round = 0; round < 3; round += 1)
          for (let from = 0; from < 4; from += 1)
            for (let to = 0; to < 4; to += 1) sendUpdate(from, to);
        for (const id of [P, Q, part('a')]) {
          const verdicts = entries.map((each) => each.refusedTrait([id]));
          assert.equal(new Set(verdicts).size, 1);
        }
      },
    ),
  );
});
