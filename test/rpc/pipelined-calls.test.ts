/** Guards against memory of a call that is never freed, as its client sent it behind another one and left. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { closeServer, listenLoopback } from '../../fakes/http/index.js';
import { createRpcServer } from '../../src/rpc/serve.js';
import { testClientLimits } from '../fixtures/client-limits.js';
import { until } from '../fixtures/until.js';

const BODY = JSON.stringify({ group: '', kind: 'look', epoch: 0 });
const CALL = [
  'POST /rpc/rank HTTP/1.1',
  'Host: a',
  'Content-Type: application/json',
  `Content-Length: ${BODY.length}`,
  '',
  BODY,
].join('\r\n');

test('the memory of calls on one connection is free once their client has left', async () => {
  const limits = testClientLimits();
  let calls = 0;
  const rank = (): Promise<never> => {
    calls += 1;
    return new Promise(() => undefined);
  };
  const server = createRpcServer({ rank }, { limits });
  const port = await listenLoopback(server);
  const client = connect(port, '127.0.0.1');
  try {
    client.write(CALL.repeat(2));
    await until('both calls run', () => calls === 2);
    assert.ok(limits.memory.usedBytes > 0);
    client.destroy();
    await until('their memory is free', () => limits.memory.usedBytes === 0);
  } finally {
    client.destroy();
    closeServer(server);
  }
});
