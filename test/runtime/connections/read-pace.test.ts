/** Guards against connections that are counted among those on which a large request arrives for longer than it does. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';
import { closeServer, listenLoopback } from '../../../fakes/http/index.js';
import { createBoundedServer } from '../../../src/runtime/bounded-server.js';
import { ClientConnections } from '../../../src/runtime/connections/index.js';
import { testClientLimits } from '../../fixtures/client-limits.js';
import { until } from '../../fixtures/until.js';

const LARGE = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n${'x'.repeat(800_000)}`;
const CLIENTS = 100;
const NEW_CLIENTS = 6;
const MAX_READ_BYTES = 64 * 1024;
/** Time in which the read rate of an instance of 256 MB allows a few reads, ms. */
const FEW_READS_MS = 60;

test('connections that closed while they waited to be read leave their turn to others', async () => {
  const clock = { nowMs: 0 };
  const limits = testClientLimits(() => clock.nowMs);
  const server = createBoundedServer({ limits, port: 'daemons' }, (req) => req.resume());
  let accepted: Socket[] = [];
  server.on('connection', (socket: Socket) => accepted.push(socket));
  const port = await listenLoopback(server);
  const clients: Socket[] = [];
  const join = async (count: number): Promise<void> => {
    accepted = [];
    for (let i = 0; i < count; i += 1) {
      const client = connect(port, '127.0.0.1');
      client.on('error', () => undefined).write(LARGE);
      clients.push(client);
    }
    const areRead = (): boolean =>
      accepted.length === count && accepted.every(({ bytesRead }) => bytesRead > 0);
    await until('all connections are read once', areRead);
  };
  try {
    await join(CLIENTS);
    await until('most of them wait', () => limits.largeReaders.size === CLIENTS);
    server.closeAllConnections();
    await until('they are closed', () => limits.largeReaders.size === 0);
    await join(NEW_CLIENTS);
    clock.nowMs += FEW_READS_MS;
    const isReadOn = ({ bytesRead }: Socket): boolean => bytesRead > MAX_READ_BYTES;
    await until('the new ones are read on', () => accepted.every(isReadOn));
    assert.equal(clock.nowMs, FEW_READS_MS);
  } finally {
    for (const client of clients) client.destroy();
    closeServer(server);
  }
});

test('a refused large request is not counted any more once the rest of it has been read', async () => {
  const limits = testClientLimits();
  const connections = new ClientConnections({
    limits,
    port: 'callers',
    maxConnections: 10,
    maxHeadBytes: () => 65_536,
    headMs: () => 1000,
    firstHeadExtraMs: () => 1000,
  });
  const server = createServer((req, res) => {
    void connections.add(req, res, 'q-1');
    res.writeHead(503).end();
    connections.discardBody(req, 'q-1', { maxBytes: 1_000_000, maxMs: 2000 });
  });
  server.on('connection', connections.onConnection);
  const port = await listenLoopback(server);
  const client = connect(port, '127.0.0.1');
  try {
    client.write(LARGE);
    await once(client, 'data');
    await until('the request is counted', () => limits.largeReaders.size === 1);
    client.write('x'.repeat(100_000));
    await until('it is counted no more', () => limits.largeReaders.size === 0);
    assert.ok(!client.closed);
  } finally {
    client.destroy();
    closeServer(server);
  }
});
