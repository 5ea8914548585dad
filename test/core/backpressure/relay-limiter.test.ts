/** Rate limiters whose tokens are granted by relays. */
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
import { hostOf } from '../../../src/core/published/index.js';
import type { RateLimitTokenReply } from '../../../src/generated/messages.types.js';

const ENDPOINT = { id: asId<EndpointId>('e-1'), startedAtMs: 7 };
const GRANTED: RateLimitTokenReply = { isGranted: true, peers: 1 };
const DENIED: RateLimitTokenReply = { isGranted: false, retryMs: 1000, peers: 1 };

class Setup {
  atMs = 1000;
  /** Answer of each relay; missing if it cannot be reached. */
  readonly answers = new Map<string, RateLimitTokenReply>();
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

test('no token is requested while no limit is in effect', async () => {
  const setup = new Setup(['a:1', 'b:1', 'c:1']);
  assert.ok(setup.isOpen);
  assert.ok(await setup.limiter.acquire());
  assert.deepEqual(setup.asked, []);
});

test('a token is obtained from the first relay that grants one, and not at all if all deny it', async () => {
  const setup = new Setup(['a:1', 'b:1', 'c:1']);
  setup.limits.noteNamed(ENDPOINT, 4);
  for (const relay of setup.relays) setup.answers.set(relay, DENIED);
  assert.equal(await setup.limiter.acquire(), false);
  assert.deepEqual([...setup.asked].sort(), ['a:1', 'b:1', 'c:1']);
  assert.equal(setup.isOpen, false);
  setup.atMs += 1000;
  setup.answers.set('b:1', GRANTED);
  assert.ok(setup.isOpen);
  assert.ok(await setup.limiter.acquire());
});

test('a relay that does not answer gets no request for a while, the others do', async () => {
  const setup = new Setup(['a:1', 'b:1']);
  setup.limits.noteNamed(ENDPOINT, 4);
  setup.answers.set('a:1', GRANTED);
  for (let n = 0; n < 5; n += 1) assert.ok(await setup.limiter.acquire());
  assert.ok(setup.asked.filter((relay) => relay === 'b:1').length <= 1);
  assert.ok(!setup.results.includes('local'));
});

test('an entry that reaches no relay sends half of a 48th of the limit', async () => {
  const setup = new Setup(['a:1', 'b:1', 'c:1']);
  setup.limits.noteNamed(ENDPOINT, 4);
  let sent = 0;
  const startedAtMs = setup.atMs;
  for (; setup.atMs < startedAtMs + 240_000; setup.atMs += 100)
    if (setup.isOpen && (await setup.limiter.acquire())) sent += 1;
  assert.ok(sent >= 9 && sent <= 11, `${sent} sent in 240 s`);
});

test('an idle entry saves no tokens for a time without relays', async () => {
  const setup = new Setup(['a:1']);
  setup.limits.noteNamed(ENDPOINT, 4);
  setup.answers.set('a:1', DENIED);
  await setup.limiter.acquire();
  setup.atMs += 3_600_000;
  setup.answers.clear();
  assert.equal(await setup.limiter.acquire(), false);
});

test('tokens are requested at once when a limit is raised or ends', async () => {
  const setup = new Setup(['a:1']);
  setup.limits.noteNamed(ENDPOINT, 1);
  setup.answers.set('a:1', { ...DENIED, retryMs: 20_000 });
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

/**
 * Hosts of the relays from which 30 entries request tokens of an endpoint; each uses a different
 * port.
 */
function hostsAsked(endpoint: string): string[] {
  const hosts = new Set<string>();
  for (let port = 1; port <= 30; port += 1) {
    const limits = new KnownLimits({ nowMs: () => 1000 });
    const process = { id: asId<EndpointId>(endpoint), startedAtMs: 7 };
    limits.noteNamed(process, 4);
    const limiters = new RelayLimiters({
      clock: { nowMs: () => 1000 },
      random: () => 0.5,
      own: asId(`entry-${port}`),
      limits,
      relays: Array.from({ length: 12 }, (_, i) => `10.0.0.${i}:${port}`),
      ask: (relay) => {
        hosts.add(hostOf(relay));
        return new Promise(() => undefined);
      },
      countKnown: () => 0,
      log: silentLog,
      onResult: () => undefined,
    });
    void limiters.of(process).acquire();
  }
  return [...hosts].sort();
}

test('all entries use the same three relays for one endpoint, and others for another endpoint', () => {
  assert.equal(hostsAsked('e-1').length, 3);
  assert.notDeepEqual(hostsAsked('e-1'), hostsAsked('e-2'));
});
