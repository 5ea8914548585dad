import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShareLimiter } from '../../../src/core/backpressure/index.js';
import { systemClock, type Clock } from '../../../src/core/clock/index.js';
import { asId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import {
  PublishedState,
  type DataCentreId,
  type PublishedEndpoint,
} from '../../../src/core/published/index.js';
import { Endpoints } from '../../../src/gateway/endpoints/endpoints.js';
import type { EngineStatus } from '../../../src/gateway/groups/group-status.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import { config, endpoint, SERVICE } from '../harness.js';

type StatusOf = (endpoint: PublishedEndpoint) => EngineStatus | undefined;

function status(change: Partial<EngineStatus> = {}): EngineStatus {
  return { pace: 1, load: 0, meanLoad: 0, countedAtMs: 0, ...change };
}

/** A clock that a test sets; it starts after the endpoints were counted. */
class SetClock implements Clock {
  atMs = 0;
  nowMs = (): number => this.atMs;
  wallMs = (): number => this.atMs;
}

/** Endpoints of an entry in data centre `a`; only engines of a group have a status. */
function endpointsOf(
  listed: readonly PublishedEndpoint[],
  statusOf: StatusOf = () => undefined,
  clock: Clock = new SetClock(),
): Endpoints {
  const state = new PublishedState();
  state.offerList(listed, false);
  return endpointsIn(state, statusOf, clock);
}

function endpointsIn(
  state: PublishedState,
  statusOf: StatusOf = () => undefined,
  clock: Clock = systemClock,
  metrics = new Metrics(),
): Endpoints {
  return new Endpoints({
    state,
    clock,
    random: () => 0.5,
    log: silentLog,
    metrics,
    dataCentre: asId('a'),
    limiterOf: () =>
      new ShareLimiter(
        systemClock,
        () => 0,
        () => undefined,
      ),
    statusOf,
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
  const large = [far, near].map((e) => ({ ...e, slots: 16 }));
  const endpoints = endpointsOf(large, () => status());
  const sent = sendAll(endpoints, 8);
  assert.deepEqual(sent.slice(0, 3), ['near', 'near', 'near']);
  assert.equal(sent.filter((id) => id === 'near').length, 5, sent.join(' '));
});

const other = endpoint('other', '127.0.0.1:3');

test('a rank whose slots are all taken in a recent count is not chosen while another has a free slot', () => {
  const statusOf: StatusOf = (e) => status({ load: e.id === near.id ? near.slots : 0 });
  const sent = sendAll(endpointsOf([near, other], statusOf), other.slots);
  assert.deepEqual(sent, Array(other.slots).fill('other'));
});

test('a full rank of this data centre is passed over for a remote one, and used again once the count is old', () => {
  const clock = new SetClock();
  const statusOf: StatusOf = (e) => status({ load: e.id === near.id ? near.slots : 0 });
  const endpoints = endpointsOf([near, far], statusOf, clock);
  assert.deepEqual(sendAll(endpoints, 1), ['far']);
  clock.atMs = 2900;
  assert.deepEqual(sendAll(endpoints, 1), ['near']);
});

/** An engine that is full rejects each arrival; without a correction, retries and the next requests follow there. */
test('after a rejection other requests go elsewhere until the next count arrives', () => {
  const clock = new SetClock();
  const endpoints = endpointsOf([near, far], () => status(), clock);
  const rejecting = endpoints.choose(asId(SERVICE), new Set());
  assert.equal(rejecting?.endpoint.id, 'near');
  endpoints.noteRejected(rejecting);
  assert.deepEqual(sendAll(endpoints, 2), ['far', 'far']);
  clock.atMs = 500;
  assert.deepEqual(sendAll(endpoints, 1), ['near']);
});

/** Reading a long prompt lengthens the pass of a group as much as several streams do. */
test('a rank that still reads a long prompt gets the next request only after one that reads none', () => {
  const state = new PublishedState();
  state.offerList([near, other], false);
  state.offerConfig(
    config([], {
      services: new Map([
        [asId(SERVICE), { id: asId(SERVICE), maxConnections: 100, engine: ENGINE_INFO }],
      ]),
    }),
    0,
  );
  const endpoints = endpointsIn(state, () => status(), new SetClock());
  const first = endpoints.choose(asId(SERVICE), new Set([other.id]));
  const second = endpoints.choose(asId(SERVICE), new Set([near.id]));
  assert.ok(first && second);
  endpoints.noteSent(second, { id: 'short', tokens: 100 });
  endpoints.noteSent(first, { id: 'long', tokens: 2900 });
  const chosen = (): string | undefined => endpoints.choose(asId(SERVICE), new Set())?.endpoint.id;
  assert.equal(chosen(), 'other');
  endpoints.notePromptRead(first, 'long');
  endpoints.noteSent(second);
  assert.equal(chosen(), 'near');
  assert.equal(first.unreadTokens, 0);
});

/** A restarted rank has none of the streams that were counted at its predecessor. */
test('the count of a rank is not believed if it was made before its process was listed', () => {
  const clock = new SetClock();
  clock.atMs = 100;
  const statusOf: StatusOf = (e) => status({ load: e.id === near.id ? near.slots : 0 });
  const sent = sendAll(endpointsOf([near, far], statusOf, clock), 1);
  assert.deepEqual(sent, ['near']);
});

test('a slow rank is used only if no other rank is left, however full the others are', () => {
  const statusOf: StatusOf = (e) =>
    e.id === near.id ? status({ pace: 12 }) : status({ load: far.slots });
  const endpoints = endpointsOf([near, far], statusOf);
  assert.deepEqual(sendAll(endpoints, 3), ['far', 'far', 'far']);
  assert.equal(endpoints.choose(asId(SERVICE), new Set([far.id]))?.endpoint.id, 'near');
});

test('placements are counted by reason', () => {
  const metrics = new Metrics();
  const loads = new Map<string, number>();
  const state = new PublishedState();
  state.offerList([near, far], false);
  const statusOf: StatusOf = (e) => status({ load: loads.get(e.id) ?? 0 });
  const endpoints = endpointsIn(state, statusOf, new SetClock(), metrics);
  const sendOne = (): void => {
    const chosen = endpoints.choose(asId(SERVICE), new Set());
    assert.ok(chosen);
    endpoints.noteEnded(chosen, endpoints.noteSent(chosen));
  };
  sendOne();
  loads.set('near', near.slots - 1);
  sendOne();
  loads.set('near', near.slots);
  sendOne();
  loads.set('far', far.slots);
  sendOne();
  loads.clear();
  const first = endpoints.choose(asId(SERVICE), new Set([near.id]));
  assert.ok(first);
  endpoints.noteRejected(first);
  sendOne();
  const counts = ['near', 'far', 'spilled', 'last-resort', 'corrected'].map((reason) =>
    metrics.value('placements_total', { service: SERVICE, reason }),
  );
  assert.deepEqual(counts, [1, 1, 1, 1, 1]);
  endpoints.close();
});

test('plain endpoints are used in rotation regardless of their data centre', () => {
  const sent = sendAll(endpointsOf([far, near]), 6);
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
  const endpoints = endpointsIn(state);
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
