/**
 * Guards against a request that is refused as too slow although its body had arrived: the process was paused for
 * longer than the timeout, and the timeout expired before the body was read.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { closeServer, serveLoopback } from '../../fakes/http/index.js';
import { readBody } from '../../src/runtime/read-body.js';
import { pauseProcess } from '../fixtures/pause-process.js';

const TIMEOUT_MS = 50;
const MAX_BYTES = 100;

test('a body that arrived during a pause of the process is read', async () => {
  const { server, port } = await serveLoopback(() => Promise.resolve());
  const caller = connect(port, '127.0.0.1');
  try {
    caller.write('POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nab');
    const [req] = (await once(server, 'request')) as [IncomingMessage];
    const body = readBody(req, MAX_BYTES, TIMEOUT_MS);
    // Timers run next after immediates, before I/O.
    setImmediate(() => {
      caller.write('cd');
      pauseProcess(2 * TIMEOUT_MS);
    });
    assert.equal((await body).unwrap().toString(), 'abcd');
  } finally {
    caller.destroy();
    closeServer(server);
  }
});
