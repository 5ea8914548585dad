import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShareLimiter } from '../../../src/core/backpressure/index.js';
import { systemClock } from '../../../src/core/clock/index.js';
import { asId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import {
  PublishedState,
  type DataCentreId,
  type PublishedEndpoint,
} from '../../../src/core/published/index.js';
import { Endpoints } from '../../../src/gateway/endpoints/endpoints.js';
import { endpoint, SERVICE } from '../harness.js';

/** Endpoints of an entry in data centre `a`; only engines of a group have a status. */
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
    statusOf: (e) => (isGroup ? { pace: 1, load: loadOf(e) } : undefined),
  });
}

const near = endpoint('near', '127.0.0.1:1');
const far = { ...endpoint('far', '127.0.0.1:2'), dataCentre: asId<DataCentreId>('b') };

/** Sends `count` requests that all stay in flight, and returns the ids of the endpoints chosen. */
function sendAll(endpoints: Endpoints, count: number): string[] {
  return Array.from({ length: count }, () => {
    const chosen = endpoints.choose(asId(SERVICE), new Set());
    assert.ok(chosen);
    endpoints.noteSent(chosen);
    return chosen.endpoint.id;
  });
}

test('a remote rank is chosen only once local ranks have three more requests in flight from this entry', () => {
  const sent = sendAll(endpointsOf([far, near], true), 8);
  assert.deepEqual(sent.slice(0, 3), ['near', 'near', 'near']);
  assert.equal(sent.filter((id) => id === 'near').length, 5, sent.join(' '));
});

test('a rank whose slots are all taken is chosen only once others have four more requests in flight from this entry', () => {
  const other = endpoint('other', '127.0.0.1:3');
  const loadOf = (e: PublishedEndpoint): number => (e.id === near.id ? near.slots : near.slots - 1);
  const sent = sendAll(endpointsOf([near, other], true, loadOf), 6);
  assert.equal(sent.filter((id) => id === 'other').length, 5, sent.join(' '));
});

test('plain endpoints are used in rotation regardless of their data centre', () => {
  const sent = sendAll(endpointsOf([far, near], false), 6);
  assert.equal(sent.filter((id) => id === 'near').length, 3, sent.join(' '));
});

/**
 * A restarted engine may keep its id. The failures in a row, in-flight requests and connections of its old process must
 * not count for the new one: otherwise the endpoint stays ejected and its pool connects to the old address.
 */
test('a restarted endpoint with the same id starts with fresh state, and its old process is removed when idle', () => {
  const state = new PublishedState();
  const before = { ...endpoint('again', '127.0.0.1:1'), startedAtMs: 1 };
  const other = endpoint('other', '127.0.0.1:3');
  state.offerList([before, other], false);
  const endpoints = endpointsIn(state, false);
  const first = endpoints.choose(asId(SERVICE), new Set([other.id]));
  assert.ok(first);
  const sentAtMs = endpoints.noteSent(first);
  for (let i = 0; i < 8; i += 1) endpoints.noteFailure(first, 'refused');
  assert.equal(endpoints.choose(asId(SERVICE), new Set())?.endpoint.id, 'other');
  const after = { ...before, address: '127.0.0.1:4', startedAtMs: 2 };
  state.offerList([after, other], false);
  const second = endpoints.choose(asId(SERVICE), new Set([other.id]));
  assert.deepEqual([second?.running, second?.failureShare, second?.endpoint], [0, 0, after]);
  endpoints.prune();
  assert.equal(
    first.connections.current.destroyed,
    false,
    'the old process still has a request in flight',
  );
  endpoints.noteEnded(first, sentAtMs);
  endpoints.prune();
  assert.equal(first.connections.current.destroyed, true);
  endpoints.close();
});
