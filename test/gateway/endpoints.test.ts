import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShareLimiter } from '../../src/core/backpressure/index.js';
import { systemClock } from '../../src/core/clock/index.js';
import { asId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import {
  PublishedState,
  type DataCentreId,
  type PublishedEndpoint,
} from '../../src/core/published/index.js';
import { Endpoints } from '../../src/gateway/endpoints.js';
import { endpoint, SERVICE } from './harness.js';

/** Endpoints of an entry in data centre `a`; those of a group are seen, plain ones are not. */
function endpointsOf(
  listed: readonly PublishedEndpoint[],
  isGroup: boolean,
  loadOf: (endpoint: PublishedEndpoint) => number = () => 0,
): Endpoints {
  const state = new PublishedState();
  state.offerList(listed, false);
  return endpointsIn(state, isGroup, loadOf);
}

function endpointsIn(
  state: PublishedState,
  isGroup: boolean,
  loadOf: (endpoint: PublishedEndpoint) => number = () => 0,
): Endpoints {
  return new Endpoints({
    state,
    clock: systemClock,
    random: () => 0.5,
    log: silentLog,
    metrics: new Metrics(),
    dataCentre: asId('a'),
    limiterOf: () =>
      new ShareLimiter(
        systemClock,
        () => 0,
        () => undefined,
      ),
    sightOf: (e) => (isGroup ? { pace: 1, load: loadOf(e) } : undefined),
  });
}

const near = endpoint('near', '127.0.0.1:1');
const far = { ...endpoint('far', '127.0.0.1:2'), dataCentre: asId<DataCentreId>('b') };

/** Names of the endpoints that so many requests are sent to, one after the other, all of which go on running. */
function sendAll(endpoints: Endpoints, count: number): string[] {
  return Array.from({ length: count }, () => {
    const chosen = endpoints.choose(asId(SERVICE), new Set());
    assert.ok(chosen);
    endpoints.noteSent(chosen);
    return chosen.endpoint.id;
  });
}

test('a group is entered near, and far only when near ranks have three more of our requests', () => {
  const sent = sendAll(endpointsOf([far, near], true), 8);
  assert.deepEqual(sent.slice(0, 3), ['near', 'near', 'near']);
  assert.equal(sent.filter((id) => id === 'near').length, 5, sent.join(' '));
});

test('a rank whose slots were all taken gets work only when others have four more of our requests', () => {
  const other = endpoint('other', '127.0.0.1:3');
  const loadOf = (e: PublishedEndpoint): number => (e.id === near.id ? near.slots : near.slots - 1);
  const sent = sendAll(endpointsOf([near, other], true, loadOf), 6);
  assert.equal(sent.filter((id) => id === 'other').length, 5, sent.join(' '));
});

test('plain endpoints take turns wherever they are', () => {
  const sent = sendAll(endpointsOf([far, near], false), 6);
  assert.equal(sent.filter((id) => id === 'near').length, 3, sent.join(' '));
});

/**
 * Story: an engine that starts again may keep its id. What an entry had counted against the process before (failures in a
 * row, requests under way, connections to its old address) was held against the new one.
 * Evidence: this test failed on the code before: the endpoint stayed ejected, and its pool led to the old address.
 */
test('an endpoint that started again under its id begins anew, and its earlier process ends by itself', () => {
  const state = new PublishedState();
  const before = { ...endpoint('again', '127.0.0.1:1'), startedAtMs: 1 };
  const other = endpoint('other', '127.0.0.1:3');
  state.offerList([before, other], false);
  const endpoints = endpointsIn(state, false);
  const first = endpoints.choose(asId(SERVICE), new Set([other.id]));
  assert.ok(first);
  const sentAtMs = endpoints.noteSent(first);
  for (let i = 0; i < 8; i += 1) endpoints.noteBad(first, 'refused');
  assert.equal(endpoints.choose(asId(SERVICE), new Set())?.endpoint.id, 'other');
  const after = { ...before, address: '127.0.0.1:4', startedAtMs: 2 };
  state.offerList([after, other], false);
  const second = endpoints.choose(asId(SERVICE), new Set([other.id]));
  assert.deepEqual([second?.running, second?.failureShare, second?.endpoint], [0, 0, after]);
  endpoints.prune();
  assert.equal(first.connections.current.destroyed, false, 'a request of before still runs there');
  endpoints.noteEnded(first, sentAtMs);
  endpoints.prune();
  assert.equal(first.connections.current.destroyed, true);
  endpoints.close();
});
