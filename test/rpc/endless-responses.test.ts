/** Guards against readers of other daemons' responses that have no limit of size or time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeers } from '../../src/rpc/peers.js';
import { ConnectionPools } from '../../src/runtime/connection-pools.js';
import { checkEndless, faultOf, type EndlessCall } from '../fixtures/endless-calls.js';

/** Timeout that the caller sets, ms. */
const CALL_TIMEOUT_MS = 1500;

const CALL: EndlessCall = {
  name: 'rpc',
  maxMs: CALL_TIMEOUT_MS,
  sound: '{"result":{"data":{"instance":"entry-1"}}}',
  run: (origin) => {
    const connections = new ConnectionPools({});
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const { host } = new URL(origin);
    return faultOf(createPeers(connections).at(host).hello.query(undefined, { signal }));
  },
  check: (err, pace) => {
    if (pace === 'fast')
      assert.match(String(err), /rpc of http:\/\/127\.0\.0\.1:\d+: the response .* \d+ /);
  },
};

for (const pace of ['fast', 'byte'] as const) {
  test(`rpc: a response without end, ${pace}, is cut off`, () => checkEndless(CALL, pace));
}
