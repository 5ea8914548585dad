/** Guards against whole heads that take memory which nobody counts, as long as their requests run. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { closeServer, listenLoopback } from '../../../fakes/http/index.js';
import { createBoundedServer } from '../../../src/runtime/bounded-server.js';
import { testClientLimits } from '../../fixtures/client-limits.js';
import { until } from '../../fixtures/until.js';

const CLIENTS = 100;
const SHORT = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const fields = Array.from({ length: 1400 }, (_, i) => `X${i}: y\r\n`).join('');
const LONG = `GET / HTTP/1.1\r\nHost: a\r\n${fields}\r\n`;

test('heads of many fields are kept up to a limit; others are refused, and short ones are not', async () => {
  const limits = testClientLimits();
  const held: ServerResponse[] = [];
  const server = createBoundedServer({ limits, port: 'daemons' }, (_req, res) => held.push(res));
  const port = await listenLoopback(server);
  const clients = Array.from({ length: CLIENTS + 1 }, () => connect(port, '127.0.0.1'));
  let refused = 0;
  try {
    for (const client of clients)
      client.on('data', (bytes) => void (refused += Number(bytes.toString().includes(' 503 '))));
    for (const client of clients.slice(1)) client.write(LONG);
    await until('all requests are kept or refused', () => held.length + refused === CLIENTS);
    assert.ok(refused > 0 && held.length > 0, `${refused} refused`);
    assert.ok(limits.memory.usedBytes <= limits.memory.limits.bodyBytes);
    clients[0]?.write(SHORT);
    await until('a request with a short head runs', () => held.length + refused === CLIENTS + 1);
    for (const res of held) res.end('ok');
    await until('nothing is counted', () => limits.memory.usedBytes === 0);
  } finally {
    for (const client of clients) client.destroy();
    closeServer(server);
  }
});
