/**
 * Guards against a request that is written although it was reported as never sent, or that is written a second
 * time: while its connection is being opened, lost or replaced.
 */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import type { buildConnector, Pool } from 'undici';
import {
  okResponse,
  startRawEndpoint,
  type RawEndpoint,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { Ok } from '../../../src/core/result/index.js';
import { createEndpointConnector } from '../../../src/gateway/endpoints/connect.js';
import {
  endpointClientFactory,
  startExchange,
  type Exchange,
} from '../../../src/gateway/endpoints/exchange.js';
import { ReplaceablePool } from '../../../src/runtime/replaceable-pool.js';

/** Time in which an endpoint has received what was sent to it, ms. */
const ARRIVAL_MS = 40;
const CONNECT_MS = 30;

const own: RawResponder = (req) => void req.socket.write(okResponse(req, 'own'));

interface Setup {
  readonly raw: RawEndpoint;
  readonly pools: ReplaceablePool;
  /** Sockets of the connections, in the order in which they were opened. */
  readonly sockets: readonly Socket[];
  /** Starts an exchange; `starts` counts how often it was about to be written. */
  readonly start: (pool?: Pool) => { exchange: Exchange<number>; starts: number };
}

/** Runs with one endpoint, and connections that take a while to open. */
async function withConnections(
  respond: RawResponder,
  connections: number,
  run: (setup: Setup) => Promise<void>,
): Promise<void> {
  const raw = await startRawEndpoint(respond);
  const sockets: Socket[] = [];
  const connector = createEndpointConnector();
  const slowly: buildConnector.connector = (target, callback) =>
    connector(target, (...result) => {
      setTimeout(() => {
        if (result[1]) sockets.push(result[1]);
        callback(...result);
      }, CONNECT_MS);
    });
  const pools = new ReplaceablePool(`http://${raw.address}`, {
    connections,
    pipelining: 1,
    connect: slowly,
    factory: endpointClientFactory(() => undefined),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const start: Setup['start'] = (pool = pools.current) => {
    const call = { method: 'POST', path: '/x', body: 'x' } as const;
    const readHead = ({ status }: { readonly status: number }) => Ok(status);
    const onStart = (): void => void (started.starts += 1);
    const started = { starts: 0 } as ReturnType<Setup['start']>;
    started.exchange = startExchange(pool, call, { onStart, readHead });
    started.exchange.response.then(({ body }) => body.dump()).catch(() => undefined);
    return started;
  };
  try {
    await run({ raw, pools, sockets, start });
  } finally {
    pools.destroy();
    raw.close();
  }
}

const hasFailed = (exchange: Exchange<number>): Promise<boolean> =>
  exchange.response.then(
    () => false,
    () => true,
  );

for (const end of ['cancel', 'close'] as const) {
  test(`a request that was ended while its connection was opened is not written (${end})`, async () => {
    await withConnections(own, 2, async ({ raw, start }) => {
      const started = start();
      await wait(CONNECT_MS / 2);
      started.exchange[end]();
      assert.ok(await hasFailed(started.exchange));
      await wait(CONNECT_MS + ARRIVAL_MS);
      assert.deepEqual([started.starts, raw.requests.length], [0, 0]);
      assert.equal((await start().exchange.response).head, 200);
      assert.equal(raw.requests.length, 1);
    });
  });

  test(`a request that was ended as it waited behind another one is not written (${end})`, async () => {
    const held: (() => void)[] = [];
    const hold: RawResponder = (req) => void held.push(() => own(req));
    await withConnections(hold, 1, async ({ raw, start }) => {
      const first = start();
      const second = start();
      while (held.length === 0) await wait(1);
      second.exchange[end]();
      held.shift()?.();
      assert.equal((await first.exchange.response).head, 200);
      await wait(ARRIVAL_MS);
      assert.deepEqual([second.starts, raw.requests.length], [0, 1]);
    });
  });
}

test('a request that waits in a pool that was replaced is written once or never', async () => {
  const held: (() => void)[] = [];
  const hold: RawResponder = (req) => void held.push(() => own(req));
  await withConnections(hold, 1, async ({ raw, pools, start }) => {
    const pool = pools.current;
    const [first, ended, kept] = [start(), start(), start()];
    while (held.length === 0) await wait(1);
    pools.replace(pool);
    const fresh = start();
    ended.exchange.cancel();
    while (held.length < 2) await wait(1);
    for (const answer of held.splice(0)) answer();
    assert.equal((await first.exchange.response).head, 200);
    assert.equal((await fresh.exchange.response).head, 200);
    while (held.length === 0) await wait(1);
    held.shift()?.();
    assert.equal((await kept.exchange.response).head, 200);
    assert.deepEqual(
      [first, ended, kept, fresh].map(({ starts }) => starts),
      [1, 0, 1, 1],
    );
    assert.equal(raw.requests.length, 3);
  });
});

test('a request whose connection was closed before it was written is written once, on another', async () => {
  await withConnections(own, 1, async ({ raw, sockets, start }) => {
    await start().exchange.response;
    await wait(ARRIVAL_MS);
    for (const { socket } of raw.requests) socket.destroy();
    const second = start();
    assert.equal((await second.exchange.response).head, 200);
    assert.deepEqual([second.starts, sockets.length, raw.requests.length], [1, 2, 2]);
  });
});

for (const code of ['UND_ERR_INFO', 'UND_ERR_SOCKET', 'ECONNRESET', 'EHOSTUNREACH'])
  test(`a request whose connection fails once it was written is not written again (${code})`, async () => {
    const respond: RawResponder = (req) => {
      if (raws.length > 0) own(req);
      raws.push(req);
    };
    const raws: unknown[] = [];
    await withConnections(respond, 1, async ({ raw, sockets, start }) => {
      const started = start();
      while (raws.length === 0) await wait(1);
      sockets[0]?.destroy(Object.assign(new Error('failed'), { code }));
      assert.ok(await hasFailed(started.exchange));
      await wait(CONNECT_MS + ARRIVAL_MS);
      assert.deepEqual([started.starts, raw.requests.length], [1, 1]);
    });
  });
