/** Guards against bytes that are read from a paused connection, into a buffer that nobody counts. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { closeServer, listenLoopback } from '../../../fakes/http/index.js';
import { createBoundedServer } from '../../../src/runtime/bounded-server.js';
import { testClientLimits } from '../../fixtures/client-limits.js';
import { until } from '../../fixtures/until.js';

const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n';
const MAX_READ_BYTES = 64 * 1024;

test('a connection whose request is not read by its handler is read once, and on when it is', async () => {
  const limits = testClientLimits();
  let isRead = false;
  let readBytes = 0;
  const server = createBoundedServer({ limits, port: 'operators' }, (req, res) => {
    const read = setInterval(() => isRead && req.resume(), 1).unref();
    req.on('data', (bytes: Buffer) => (readBytes += bytes.length)).pause();
    req.once('end', () => {
      clearInterval(read);
      res.end('ok');
    });
  });
  const accepted = once(server, 'connection');
  const port = await listenLoopback(server);
  const client = connect(port, '127.0.0.1');
  try {
    client.write(HEAD + 'x'.repeat(900_000));
    const [socket] = (await accepted) as [Socket];
    await until('bytes are read', () => socket.bytesRead > 0);
    await wait(100);
    assert.equal(socket.readableLength, 0);
    assert.ok(socket.bytesRead <= MAX_READ_BYTES, `${socket.bytesRead} bytes`);
    isRead = true;
    const [response] = (await once(client, 'data')) as [Buffer];
    assert.ok(response.toString().startsWith('HTTP/1.1 200'));
    assert.equal(readBytes, 900_000);
  } finally {
    client.destroy();
    closeServer(server);
  }
});
