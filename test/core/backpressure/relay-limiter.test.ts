/** Rate limiters whose tokens relays grant. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  KnownLimits,
  RelayLimiters,
  type RateLimiter,
  type TokenResult,
} from '../../../src/core/backpressure/index.js';
import { asId, type EndpointId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import type { TokenGrant } from '../../../src/generated/messages.types.js';

const ENDPOINT = { id: asId<EndpointId>('e-1'), startedAtMs: 7 };
const GRANTED: TokenGrant = { isGranted: true, peers: 1 };
const DENIED: TokenGrant = { isGranted: false, retryMs: 1000, peers: 1 };

class Setup {
  atMs = 1000;
  /** What each relay answers; none if it is not reached. */
  readonly answers = new Map<string, TokenGrant>();
  readonly asked: string[] = [];
  readonly results: TokenResult[] = [];
  readonly limits = new KnownLimits({ nowMs: () => this.atMs });
  readonly limiter: RateLimiter;

  constructor(readonly relays: readonly string[]) {
    this.limiter = new RelayLimiters({
      clock: { nowMs: () => this.atMs },
      random: () => 0.5,
      own: asId('entry-1'),
      limits: this.limits,
      relays,
      ask: (relay) => {
        this.asked.push(relay);
        const answer = this.answers.get(relay);
        return answer ? Promise.resolve(answer) : Promise.reject(new Error('timeout'));
      },
      countKnown: () => 0,
      log: silentLog,
      onResult: (result) => this.results.push(result),
    }).of(ENDPOINT);
  }

  get isOpen(): boolean {
    return this.limiter.nextTokenAtMs(this.atMs) <= this.atMs;
  }
}

test('no relay is asked while no limit stands', async () => {
  const setup = new Setup(['a', 'b', 'c']);
  assert.ok(setup.isOpen);
  assert.ok(await setup.limiter.acquire());
  assert.deepEqual(setup.asked, []);
});

test('a token is had of the first relay that grants one, and of none when all deny it', async () => {
  const setup = new Setup(['a', 'b', 'c']);
  setup.limits.noteNamed(ENDPOINT, 4);
  for (const relay of setup.relays) setup.answers.set(relay, DENIED);
  assert.equal(await setup.limiter.acquire(), false);
  assert.deepEqual([...setup.asked].sort(), ['a', 'b', 'c']);
  assert.equal(setup.isOpen, false);
  setup.atMs += 1000;
  setup.answers.set('b', GRANTED);
  assert.ok(setup.isOpen);
  assert.ok(await setup.limiter.acquire());
});

test('a relay that does not answer is not asked again at once, and the others are', async () => {
  const setup = new Setup(['a', 'b']);
  setup.limits.noteNamed(ENDPOINT, 4);
  setup.answers.set('a', GRANTED);
  for (let n = 0; n < 5; n += 1) assert.ok(await setup.limiter.acquire());
  assert.ok(setup.asked.filter((relay) => relay === 'b').length <= 1);
  assert.ok(!setup.results.includes('local'));
});

test('an entry that reaches no relay sends half of its part among 48', async () => {
  const setup = new Setup(['a', 'b', 'c']);
  setup.limits.noteNamed(ENDPOINT, 4);
  let sent = 0;
  const startedAtMs = setup.atMs;
  for (; setup.atMs < startedAtMs + 240_000; setup.atMs += 100)
    if (setup.isOpen && (await setup.limiter.acquire())) sent += 1;
  assert.ok(sent >= 9 && sent <= 11, `${sent} sent in 240 s`);
});

test('an idle entry saves no tokens for the time when it reaches no relay', async () => {
  const setup = new Setup(['a']);
  setup.limits.noteNamed(ENDPOINT, 4);
  setup.answers.set('a', DENIED);
  await setup.limiter.acquire();
  setup.atMs += 3_600_000;
  setup.answers.clear();
  assert.equal(await setup.limiter.acquire(), false);
});

test('relays are asked at once when a limit is raised or ends', async () => {
  const setup = new Setup(['a']);
  setup.limits.noteNamed(ENDPOINT, 1);
  setup.answers.set('a', { ...DENIED, retryMs: 20_000 });
  await setup.limiter.acquire();
  assert.equal(setup.isOpen, false);
  setup.atMs += 10;
  setup.limits.noteNamed(ENDPOINT, 4);
  assert.ok(setup.isOpen);
  await setup.limiter.acquire();
  assert.equal(setup.isOpen, false);
  setup.atMs += 10;
  setup.limits.noteUnnamed(ENDPOINT, setup.atMs);
  assert.ok(setup.isOpen);
});

test('all entries ask the same relays for one endpoint, and other relays for others', () => {
  const relays = Array.from({ length: 12 }, (_, i) => `relay-${i}`);
  const asked = (endpoint: string, own: string): string[] => {
    const found: string[] = [];
    const limits = new KnownLimits({ nowMs: () => 1000 });
    const process = { id: asId<EndpointId>(endpoint), startedAtMs: 7 };
    limits.noteNamed(process, 4);
    const limiter = new RelayLimiters({
      clock: { nowMs: () => 1000 },
      random: () => 0.5,
      own: asId(own),
      limits,
      relays,
      ask: (relay) => {
        found.push(relay);
        return new Promise(() => undefined);
      },
      countKnown: () => 0,
      log: silentLog,
      onResult: () => undefined,
    }).of(process);
    void limiter.acquire();
    return found;
  };
  const ofEndpoint = (endpoint: string): string[] =>
    [...new Set(Array.from({ length: 30 }, (_, i) => asked(endpoint, `entry-${i}`)).flat())].sort();
  assert.equal(ofEndpoint('e-1').length, 3);
  assert.notDeepEqual(ofEndpoint('e-1'), ofEndpoint('e-2'));
});
