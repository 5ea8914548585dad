/** Guards against readers of an endpoint's responses that have no limit of size or time. */
import { test } from 'node:test';
import { connectEndpoint, type Endpoint } from '../../src/agent/index.js';
import { ConnectionPools } from '../../src/runtime/connection-pools.js';
import { checkEndless, faultOf, type EndlessCall } from '../fixtures/endless-calls.js';

const TIMEOUT_MS = 2000;

function endpointCall(name: string, run: (endpoint: Endpoint) => Promise<unknown>): EndlessCall {
  return {
    name,
    maxMs: TIMEOUT_MS,
    sound: '{}',
    run: (origin) => faultOf(run(connectEndpoint(new ConnectionPools({}), origin))),
  };
}

const CALLS = [
  endpointCall('read', (endpoint) => endpoint.read('/state')),
  endpointCall('order', (endpoint) => endpoint.order('/order', { step: 1 })),
];

for (const call of CALLS) {
  for (const pace of ['fast', 'byte'] as const) {
    test(`${call.name}: a response without end, ${pace}, is cut off`, () =>
      checkEndless(call, pace));
  }
}
