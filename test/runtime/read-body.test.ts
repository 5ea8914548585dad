/**
 * Guards against a request that is refused as too slow although its body had arrived: the process was paused for
 * longer than the timeout, and the timeout expired before the body was read.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { IncomingMessage } from 'node:http';
import { connect, Socket } from 'node:net';
import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { closeServer, serveLoopback } from '../../fakes/http/index.js';
import { readBody, type BodyMemory } from '../../src/runtime/read-body.js';
import { pauseProcess } from '../fixtures/pause-process.js';
import { until } from '../fixtures/until.js';

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

test('a body that was refused keeps no memory while its connection stays open', async () => {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const bodyBytes = 900_000;
  const bodies = 20;
  const reqs: IncomingMessage[] = [];
  const ends: (() => void)[] = [];
  let takenBytes = 0;
  const memory: BodyMemory = {
    extendTo: (bytes) => (takenBytes = Math.max(takenBytes, bytes)) > 0,
    whenEnded: (onEnded) => ends.push(onEnded),
    complete: () => undefined,
  };
  const usedBytes = (): number => {
    collectGarbage();
    return process.memoryUsage().arrayBuffers;
  };
  for (let i = 0; i < bodies; i += 1) {
    const req = new IncomingMessage(new Socket());
    reqs.push(req);
    void readBody(req, 2 * bodyBytes, 10_000, memory);
    req.push(Buffer.alloc(bodyBytes / 2));
    req.push(Buffer.alloc(bodyBytes / 2));
  }
  await until('all bodies are collected', () => takenBytes >= bodyBytes);
  const before = usedBytes();
  for (const end of ends) end();
  await until('the bodies are freed', () => before - usedBytes() > 0.9 * bodies * bodyBytes);
  assert.equal(reqs.length, bodies);
});
