/**
 * Guards against requests that reach an endpoint after it has left: an attempt that waited for a free connection
 * to it was sent whenever one became free.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  okResponse,
  startRawEndpoint,
  type RawEndpoint,
} from '../../../fakes/raw-endpoint/index.js';
import type { PublishedEndpoint } from '../../../src/core/published/index.js';
import { applyLeaving } from '../../../src/gateway/backpressure/backpressure-signals.js';
import { config, endpoint, route, startGateway, type TestGateway } from '../harness.js';

/** Connections of one entry to an endpoint of the test service. */
const CONNECTIONS = 8;
const WAITING = 3;
/** Time from which a leaving endpoint must get no request, ms. */
const DRAIN_MS = 2000;
const ONCE = { kind: 'once', maxAttempts: 1, timeoutMs: 6000 } as const;
const headers = { 'x-deadline-ms': '6000' };

interface Setup {
  readonly entry: TestGateway;
  readonly leaving: RawEndpoint;
  readonly other: RawEndpoint;
  readonly listed: readonly PublishedEndpoint[];
}

/** Ways in which an entry learns that the first endpoint leaves. */
const LEAVINGS: Record<string, (setup: Setup) => void> = {
  'listed as leaving': ({ entry, listed }) => {
    entry.state.offerList(
      listed.map((e, i) => ({ ...e, isLeaving: i === 0 })),
      false,
    );
    entry.ctx.endpoints.noteListed();
  },
  'removed from the list': ({ entry, listed }) => {
    entry.state.offerList(listed.slice(1), false);
    entry.ctx.endpoints.noteListed();
  },
  'reported by another entry': ({ entry }) => {
    const leaving = [{ endpoint: 'e-0', startedAtMs: 0 }];
    applyLeaving(entry.ctx, { from: 'other', leaving });
  },
};

interface Play {
  readonly leave: (setup: Setup) => void;
  /** Whether the list was confirmed just before the endpoint left. */
  readonly isConfirmed: boolean;
  /** When the leaving endpoint responds to what it holds. */
  readonly respondsFirst: boolean;
}

/** Requests that hold all connections to an endpoint, and some that wait for one as it leaves. */
async function play({ leave, isConfirmed, respondsFirst }: Play): Promise<Setup> {
  const held: (() => void)[] = [];
  const leaving = await startRawEndpoint(
    (req) => void held.push(() => req.socket.write(okResponse(req, 'held'))),
  );
  const other = await startRawEndpoint((req) => void req.socket.write(okResponse(req, 'other')));
  const listed = [endpoint('e-0', leaving.address), endpoint('e-1', other.address)];
  const entry = await startGateway(config([route(ONCE)]), listed.slice(0, 1));
  const setup = { entry, leaving, other, listed };
  const sent = Array.from({ length: CONNECTIONS + WAITING }, (_, i) =>
    entry.send(`q-${i}`, { headers }),
  );
  // Requests that arrive once the endpoint leaves do not wait for it.
  while (held.length < CONNECTIONS || entry.gateway.running() < sent.length) await wait(5);
  entry.state.offerList(listed, false);
  if (isConfirmed) entry.ctx.endpoints.noteListed();
  leave(setup);
  while (!respondsFirst && other.requests.length < WAITING) await wait(5);
  const timer = setInterval(() => held.splice(0).forEach((respond) => respond()), 20);
  const statuses = (await Promise.all(sent)).map(({ status }) => status);
  clearInterval(timer);
  entry.close();
  leaving.close();
  other.close();
  assert.deepEqual(
    statuses,
    statuses.map(() => 200),
  );
  return setup;
}

for (const [name, leave] of Object.entries(LEAVINGS)) {
  test(`a request that waits for a connection leaves an endpoint that is ${name}`, async () => {
    const { leaving, other } = await play({ leave, isConfirmed: false, respondsFirst: false });
    assert.deepEqual([leaving.requests.length, other.requests.length], [CONNECTIONS, WAITING]);
  });

  test(`a request that waits goes elsewhere in time after an endpoint is ${name}`, async () => {
    const startedAt = performance.now();
    const { other } = await play({ leave, isConfirmed: true, respondsFirst: false });
    assert.equal(other.requests.length, WAITING);
    assert.ok(performance.now() - startedAt < DRAIN_MS);
  });

  test(`an endpoint that was just ${name} still serves requests that wait for it`, async () => {
    const { leaving, other } = await play({ leave, isConfirmed: true, respondsFirst: true });
    assert.deepEqual([leaving.requests.length, other.requests.length], [CONNECTIONS + WAITING, 0]);
  });
}
