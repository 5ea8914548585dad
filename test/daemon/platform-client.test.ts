/** Guards against readers of the platform's responses that have no limit of size or time. */
import { test } from 'node:test';
import { createPlatformClient } from '../../src/daemon/platform-client.js';
import { ConnectionPools } from '../../src/runtime/connection-pools.js';
import { checkEndless, faultOf, type EndlessCall } from '../fixtures/endless-calls.js';

const WAIT_MS = 100;

const CALL: EndlessCall = {
  name: 'watch',
  maxMs: WAIT_MS + 2000,
  sound: '{}',
  run: (origin) => {
    const client = createPlatformClient(new ConnectionPools({}), origin);
    return faultOf(client.watchConfig(0, WAIT_MS, new AbortController().signal));
  },
};

for (const pace of ['fast', 'byte'] as const) {
  test(`a watch that gets a response without end, ${pace}, is cut off`, () =>
    checkEndless(CALL, pace));
}
