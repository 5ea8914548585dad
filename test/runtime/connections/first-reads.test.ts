/** Guards against clients that come back at once and fill the memory with what new connections are first read. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { createBoundedServer } from '../../../src/runtime/bounded-server.js';
import { testClientLimits } from '../../fixtures/client-limits.js';
import { until } from '../../fixtures/until.js';

const LARGE = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n${'x'.repeat(60_000)}`;
const SMALL = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const LARGE_READERS = 6;
const NEW_CLIENTS = 100;
/** Burst of an instance of 256 MB, and one read that exceeds it, bytes. */
const BURST_BYTES = 0.005 * 256e6;
const MAX_READ_BYTES = 64 * 1024;

interface Crowded {
  /** Connections that the server has accepted. */
  readonly accepted: Socket[];
  readonly clock: { nowMs: number };
  /** Opens connections on which a text is sent; resolves once they are accepted. */
  readonly join: (count: number, text: string) => Promise<Socket[]>;
}

/** Runs a test on a server on which many large requests arrive, whose clock stands still. */
async function whileCrowded(run: (crowded: Crowded) => Promise<void>): Promise<void> {
  const clock = { nowMs: 0 };
  const limits = testClientLimits(() => clock.nowMs);
  const server = createBoundedServer({ limits, port: 'daemons' }, (req, res) => {
    if (req.method === 'GET') res.end('ok');
  });
  const accepted: Socket[] = [];
  server.on('connection', (socket: Socket) => accepted.push(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const clients: Socket[] = [];
  const join = async (count: number, text: string): Promise<Socket[]> => {
    const joined = Array.from({ length: count }, () => connect(port, '127.0.0.1'));
    clients.push(...joined);
    for (const client of joined) client.on('error', () => undefined).write(text);
    const isAccepted = (): boolean => accepted.length === clients.length;
    await until('the connections are accepted', isAccepted);
    return joined;
  };
  try {
    await join(LARGE_READERS, LARGE);
    await until('the large requests arrive', () => limits.largeReaders.size === LARGE_READERS);
    await run({ accepted, clock, join });
  } finally {
    for (const client of clients) client.destroy();
    server.close();
    server.closeAllConnections();
  }
}

const bytesOf = (sockets: readonly Socket[]): number =>
  sockets.reduce((sum, { bytesRead }) => sum + bytesRead, 0);

test('new connections are read as the rate of reads allows, while many large requests arrive', async () =>
  whileCrowded(async ({ accepted, clock, join }) => {
    await join(NEW_CLIENTS, LARGE);
    await wait(100);
    const read = bytesOf(accepted.slice(LARGE_READERS));
    assert.ok(read <= BURST_BYTES + MAX_READ_BYTES, `${read} bytes`);
    while (accepted.some(({ bytesRead }) => bytesRead === 0)) {
      clock.nowMs += 1;
      await wait(1);
    }
  }));

test('new connections with small requests are answered at once meanwhile', async () =>
  whileCrowded(async ({ join }) => {
    const clients = await join(NEW_CLIENTS, SMALL);
    let answered = 0;
    for (const client of clients) client.once('data', () => (answered += 1));
    await until('all are answered', () => answered === NEW_CLIENTS);
  }));
