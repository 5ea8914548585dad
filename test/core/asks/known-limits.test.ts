/** What entries know of limits, put together from what each was told. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { AskExchange, KnownLimits, NOTHING_HEARD } from '../../../src/core/asks/index.js';
import { asId, type EndpointId, type InstanceId } from '../../../src/core/ids/index.js';

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
  return new KnownLimits(clock, () => 0);
}

const perS = (limits: KnownLimits): number | undefined => {
  const limit = limits.of(ENDPOINT);
  return limit && limit.releasedMs === undefined ? limit.limitPerS : undefined;
};

test('a limit stands until a request that was sent after it was named is answered without one', () => {
  const clock = clockAt(1000);
  const limits = limitsAt(clock);
  assert.ok(limits.noteNamed(ENDPOINT, 4));
  assert.equal(perS(limits), 4);
  assert.ok(!limits.noteUnnamed(ENDPOINT, 900));
  assert.equal(perS(limits), 4);
  clock.atMs = 1500;
  assert.ok(limits.noteUnnamed(ENDPOINT, 1400));
  assert.equal(perS(limits), undefined);
  assert.ok(limits.of(ENDPOINT), 'what is sent rises bit by bit');
  clock.atMs = 6000;
  assert.equal(limits.of(ENDPOINT), undefined);
});

test('a limit that nobody names any more lapses, and entries do not take it for over in the same moment', () => {
  const clock = clockAt(0);
  const early = limitsAt(clock);
  const late = new KnownLimits(clock, () => 0.99);
  for (const limits of [early, late]) limits.noteNamed(ENDPOINT, 4);
  clock.atMs = 11_900;
  assert.equal(perS(early), 4);
  clock.atMs = 12_100;
  assert.deepEqual([perS(early), perS(late)], [undefined, 4]);
  clock.atMs = 15_100;
  assert.equal(perS(late), undefined);
});

test('a limit belongs to one process of its endpoint', () => {
  const limits = limitsAt(clockAt(0));
  limits.noteNamed(ENDPOINT, 4);
  const next = { ...ENDPOINT, startedAtMs: 8 };
  assert.equal(limits.of(next), undefined);
  assert.ok(limits.noteNamed(next, 2));
  assert.ok(!limits.noteNamed(ENDPOINT, 4), 'an answer of the process before was on its way');
  assert.equal(limits.of(next)?.limitPerS, 2);
});

test('whatever the order in which entries are told, they come to know the same', () => {
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
      const told = entries.map((limits) => limits.newsSince(0));
      if (isReversed) told.reverse();
      for (const limits of entries) for (const news of told) limits.take(news);
      const known = entries.map((limits) => limits.newsSince(0)[0]?.namedAgoMs);
      assert.equal(new Set(known.filter((ago) => ago !== undefined)).size <= 1, true);
    }),
  );
});

/** Entries that tell one relay, and hear from it. */
function fleet(count: number, clock: TestClock): { relay: AskExchange; entries: AskExchange[] } {
  const made = Array.from(
    { length: count },
    (_, i) =>
      new AskExchange({
        clock,
        random: () => 0.5,
        own: asId<InstanceId>(`entry-${String(i).padStart(3, '0')}`),
        countKnown: () => 0,
      }),
  );
  const [relay, ...entries] = made;
  assert.ok(relay);
  return { relay, entries };
}

function exchangeOnce(relay: AskExchange, entries: readonly AskExchange[]): number {
  let bytes = 0;
  relay.toTell();
  for (const [i, entry] of entries.entries()) {
    const limits = entry.toTell();
    const news = limits && { from: `entry-${String(i + 1).padStart(3, '0')}`, leaving: [], limits };
    if (news) relay.takeNews(news);
    const told = relay.newsFor(NOTHING_HEARD);
    if (told) entry.takeTold(told);
    bytes += JSON.stringify(news ?? '').length + JSON.stringify(told ?? '').length;
  }
  return bytes;
}

test('entries hear of a limit by the relays, and come to know who shares it', () => {
  const clock = clockAt(0);
  const { relay, entries } = fleet(42, clock);
  entries[5]?.limits.noteNamed(ENDPOINT, 4);
  for (let atMs = 0; atMs <= 6000; atMs += 400) {
    clock.atMs = atMs;
    exchangeOnce(relay, entries);
    if (atMs === 800) assert.ok(entries.every((entry) => entry.limits.of(ENDPOINT)));
  }
  const places = [relay, ...entries].map(({ sharers }) => sharers.sharers);
  assert.deepEqual([...new Set(places.map(({ count }) => count))], [42]);
  assert.equal(new Set(places.map(({ place }) => place)).size, 42);
});

test('all entries hear within a second that the need of an endpoint is over, by one answer to one of them', () => {
  const clock = clockAt(0);
  const { relay, entries } = fleet(42, clock);
  entries[5]?.limits.noteNamed(ENDPOINT, 4);
  for (let atMs = 0; atMs <= 2000; atMs += 400) {
    clock.atMs = atMs;
    exchangeOnce(relay, entries);
  }
  assert.ok(entries.every((entry) => perS(entry.limits) === 4));
  clock.atMs = 2100;
  entries[9]?.limits.noteUnnamed(ENDPOINT, 2050);
  for (let atMs = 2400; atMs <= 2800; atMs += 400) {
    clock.atMs = atMs;
    exchangeOnce(relay, entries);
  }
  assert.ok([relay, ...entries].every((entry) => perS(entry.limits) === undefined));
});

test('until the others can have been heard of, an entry does not take a limit for its own', () => {
  const clock = clockAt(0);
  const { relay } = fleet(2, clock);
  relay.limits.noteNamed(ENDPOINT, 4);
  relay.toTell();
  assert.equal(relay.sharers.sharers.place, undefined);
  assert.ok(relay.sharers.sharers.count >= 48);
});

test('an entry that is not heard any more no longer shares', () => {
  const clock = clockAt(0);
  const { relay, entries } = fleet(5, clock);
  relay.limits.noteNamed(ENDPOINT, 4);
  for (let atMs = 0; atMs <= 4000; atMs += 400) {
    clock.atMs = atMs;
    exchangeOnce(relay, entries);
  }
  assert.equal(relay.sharers.sharers.count, 5);
  for (let atMs = 4400; atMs <= 13_000; atMs += 400) {
    clock.atMs = atMs;
    relay.limits.noteNamed(ENDPOINT, 4);
    exchangeOnce(relay, entries.slice(1));
  }
  assert.equal(relay.sharers.sharers.count, 4);
});
