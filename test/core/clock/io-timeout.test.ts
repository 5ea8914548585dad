/**
 * Guards against a pause of the own process that is taken for the silence of its peer: after the pause the event
 * loop ran the timeout before it read what had arrived meanwhile.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import { IoTimeout } from '../../../src/core/clock/index.js';
import { pauseProcess } from '../../fixtures/pause-process.js';

const TIMEOUT_MS = 50;
const PAUSE_MS = 3 * TIMEOUT_MS;

/** Runs with both ends of a connection. */
async function withConnection(run: (near: Socket, far: Socket) => Promise<void>): Promise<void> {
  const server = createServer();
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const near = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [[far]] = (await Promise.all([once(server, 'connection'), once(near, 'connect')])) as [
    [Socket],
    unknown,
  ];
  try {
    await run(near, far);
  } finally {
    near.destroy();
    far.destroy();
    server.close();
  }
}

test('data that arrived during a pause is read before the timeout expires', async () => {
  await withConnection(async (near, far) => {
    const seen: string[] = [];
    const timeout = new IoTimeout(() => seen.push('timeout'));
    near.on('data', () => {
      seen.push('data');
      timeout.stop();
    });
    timeout.start(TIMEOUT_MS);
    far.write('x');
    pauseProcess(PAUSE_MS);
    await wait(2 * TIMEOUT_MS);
    assert.deepEqual(seen, ['data']);
  });
});

test('a timeout expires once, after a pause too, and not after it was stopped', async () => {
  let expired = 0;
  const timeout = new IoTimeout(() => (expired += 1));
  timeout.start(TIMEOUT_MS);
  timeout.start(TIMEOUT_MS);
  pauseProcess(PAUSE_MS);
  await wait(2 * TIMEOUT_MS);
  assert.equal(expired, 1);
  timeout.start(TIMEOUT_MS);
  timeout.stop();
  await wait(2 * TIMEOUT_MS);
  assert.equal(expired, 1);
});
