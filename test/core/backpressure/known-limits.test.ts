/** Merging of rate limits observed by several entries. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  RateLimitGossip,
  KnownLimits,
  LimitUpdates,
  NO_VERSION,
} from '../../../src/core/backpressure/index.js';
import type { LimitObservation } from '../../../src/generated/messages.types.js';
import { asId, type EndpointId } from '../../../src/core/ids/index.js';

interface TestClock {
  atMs: number;
  nowMs(): number;
}

function clockAt(atMs: number): TestClock {
  return {
    atMs,
    nowMs: function nowMs() {
      return this.atMs;
    },
  };
}

const ENDPOINT = { id: asId<EndpointId>('e-1'), startedAtMs: 7 };

function limitsAt(clock: TestClock): KnownLimits {
  return new KnownLimits(clock);
}

const perS = (limits: KnownLimits): number | undefined => {
  const limit = limits.of(ENDPOINT);
  return limit && limit.releasedMs === undefined ? limit.limitPerS : undefined;
};

test('a limit is in effect until a request sent after it was named is answered without one', () => {
  const clock = clockAt(1000);
  const limits = limitsAt(clock);
  assert.ok(limits.noteNamed(ENDPOINT, 4));
  assert.equal(perS(limits), 4);
  assert.ok(!limits.noteUnnamed(ENDPOINT, 900));
  assert.equal(perS(limits), 4);
  clock.atMs = 1500;
  assert.ok(limits.noteUnnamed(ENDPOINT, 1400));
  assert.equal(perS(limits), undefined);
  assert.ok(limits.of(ENDPOINT), 'the rate ramps up after the end of a limit');
  clock.atMs = 6000;
  assert.equal(limits.of(ENDPOINT), undefined);
});

test('a limit does not expire without answers', () => {
  const clock = clockAt(0);
  const limits = limitsAt(clock);
  limits.noteNamed(ENDPOINT, 4);
  clock.atMs = 3_600_000;
  limits.forget(() => true);
  assert.equal(perS(limits), 4);
});

test('the limit of an endpoint that left the list is dropped', () => {
  const clock = clockAt(0);
  const limits = limitsAt(clock);
  limits.noteNamed(ENDPOINT, 4);
  clock.atMs = 1000;
  limits.forget(() => false);
  assert.equal(perS(limits), 4, 'it may be missing from the list only briefly');
  clock.atMs = 100_000;
  limits.forget(() => false);
  assert.ok(limits.isEmpty);
});

test('a limit belongs to one process of its endpoint', () => {
  const limits = limitsAt(clockAt(0));
  limits.noteNamed(ENDPOINT, 4);
  const next = { ...ENDPOINT, startedAtMs: 8 };
  assert.equal(limits.of(next), undefined);
  assert.ok(limits.noteNamed(next, 2));
  assert.ok(!limits.noteNamed(ENDPOINT, 4), 'an answer of the earlier process may arrive late');
  assert.equal(limits.of(next)?.limitPerS, 2);
});

test('entries converge in any order of updates', () => {
  const step = fc.record({
    entry: fc.nat(2),
    atMs: fc.integer({ min: 0, max: 9000 }),
    limitPerS: fc.constantFrom(undefined, 1, 4),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), fc.boolean(), (steps, isReversed) => {
      const clock = clockAt(0);
      const entries = [0, 1, 2].map(() => limitsAt(clock));
      for (const { entry, atMs, limitPerS } of [...steps].sort((a, b) => a.atMs - b.atMs)) {
        clock.atMs = atMs;
        const limits = entries[entry];
        if (limitPerS === undefined) limits?.noteUnnamed(ENDPOINT, atMs - 1);
        else limits?.noteNamed(ENDPOINT, limitPerS);
      }
      clock.atMs = 9000;
      const updates = entries.map((limits) => limits.changesSince(0));
      if (isReversed) updates.reverse();
      for (const limits of entries) for (const update of updates) limits.merge(update);
      const known = entries.map((limits) => limits.changesSince(0)[0]?.namedAgoMs);
      assert.equal(new Set(known.filter((ago) => ago !== undefined)).size <= 1, true);
    }),
  );
});

/** Entries that exchange updates by way of one relay. */
class RelayedFleet {
  readonly relay: RateLimitGossip;
  readonly entries: readonly RateLimitGossip[];
  isRelayUp = true;
  private readonly updates: readonly LimitUpdates[];

  constructor(count: number, clock: TestClock) {
    const createGossip = (): RateLimitGossip =>
      new RateLimitGossip({ clock, isListed: () => true });
    this.relay = createGossip();
    this.entries = Array.from({ length: count - 1 }, createGossip);
    this.updates = this.entries.map(
      ({ limits }) =>
        new LimitUpdates({
          clock,
          relays: ['relay'],
          describe: (id) => limits.describe(id),
          send: (_relay, update) => this.deliver(update),
          onFailed: () => undefined,
        }),
    );
  }

  private deliver(limits: LimitObservation[]): Promise<void> {
    if (!this.isRelayUp) return Promise.reject(new Error('the relay is down'));
    this.relay.mergeFromPeer({ limits });
    return Promise.resolve();
  }

  /** One round of updates to the relay, and then of deltas from it. */
  async round(): Promise<void> {
    for (const [i, entry] of this.entries.entries()) this.updates[i]?.flush(entry.pendingUpdates());
    await new Promise(setImmediate);
    if (!this.isRelayUp) return;
    const delta = this.relay.deltaSince(NO_VERSION);
    for (const entry of this.entries) if (delta) entry.mergeFromRelay(delta);
  }
}

async function roundsUntil(fleet: RelayedFleet, clock: TestClock, untilMs: number): Promise<void> {
  for (; clock.atMs <= untilMs; clock.atMs += 400) await fleet.round();
}

test('42 entries receive a limit through the relay within a second', async () => {
  const clock = clockAt(0);
  const fleet = new RelayedFleet(42, clock);
  fleet.entries[5]?.limits.noteNamed(ENDPOINT, 4);
  await roundsUntil(fleet, clock, 800);
  assert.ok([fleet.relay, ...fleet.entries].every((entry) => perS(entry.limits) === 4));
});

test('all entries receive the end of a limit within a second after one answer to one of them', async () => {
  const clock = clockAt(0);
  const fleet = new RelayedFleet(42, clock);
  fleet.entries[5]?.limits.noteNamed(ENDPOINT, 4);
  await roundsUntil(fleet, clock, 2000);
  assert.ok(fleet.entries.every((entry) => perS(entry.limits) === 4));
  clock.atMs = 2100;
  fleet.entries[9]?.limits.noteUnnamed(ENDPOINT, 2050);
  await roundsUntil(fleet, clock, 2800);
  assert.ok([fleet.relay, ...fleet.entries].every((entry) => perS(entry.limits) === undefined));
});

test('the end of a limit reaches a relay that was down when it was first sent', async () => {
  const clock = clockAt(0);
  const fleet = new RelayedFleet(3, clock);
  fleet.entries[0]?.limits.noteNamed(ENDPOINT, 4);
  await roundsUntil(fleet, clock, 800);
  fleet.isRelayUp = false;
  fleet.entries[0]?.limits.noteUnnamed(ENDPOINT, clock.atMs - 10);
  await roundsUntil(fleet, clock, 5000);
  fleet.isRelayUp = true;
  await roundsUntil(fleet, clock, 7000);
  assert.ok([fleet.relay, ...fleet.entries].every((entry) => perS(entry.limits) === undefined));
});

test('an entry that receives an end older than its last observation announces the limit again', () => {
  const clock = clockAt(1000);
  const limits = limitsAt(clock);
  const limit = { endpoint: ENDPOINT.id, startedAtMs: ENDPOINT.startedAtMs, limitPerS: 4 };
  limits.noteNamed(ENDPOINT, 4);
  limits.takePending();
  limits.merge([{ ...limit, namedAgoMs: 500, namedId: 1, endedAgoMs: 200, endedId: 2 }]);
  assert.equal(perS(limits), 4);
  assert.deepEqual(limits.takePending(), [ENDPOINT.id]);
});

test('an observation passed back and forth between entries does not become newer', () => {
  const clock = clockAt(0);
  const relay = limitsAt(clock);
  const entry = limitsAt(clock);
  const send = (from: KnownLimits, to: KnownLimits): void => {
    const update = from.changesSince(0);
    clock.atMs += 100;
    to.merge(update);
  };
  relay.noteNamed(ENDPOINT, 4);
  for (let n = 0; n < 10; n += 1) {
    send(relay, entry);
    send(entry, relay);
  }
  assert.equal(relay.describe(ENDPOINT.id)?.namedAgoMs, 2000);
});
