import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { runFeed, type FeedOptions } from '../../../src/core/config-feed/feed.js';
import { FeedStore } from '../../../src/core/config-feed/index.js';
import { seededRandom, systemClock } from '../../../src/core/clock/index.js';
import { asId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { buildInstanceView } from '../../../src/core/membership/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import type { InstanceRecord } from '../../../src/generated/instances.types.js';

const record = (instance: string, role: InstanceRecord['role'], port: number): InstanceRecord => ({
  instance,
  role,
  dataCentre: 'a',
  host: '10.0.0.1',
  port,
  state: 'live',
  ...(role === 'entry' ? {} : { endpoint: instance }),
});

const LIST = {
  version: 1,
  instances: [
    record('entry-1', 'entry', 1),
    record('entry-2', 'entry', 2),
    record('lookup-1', 'endpoint', 3),
    record('lookup-2', 'endpoint', 4),
  ],
};

/** Feed options with a fixed instance list, a platform and peers without updates, and short waits. */
function feedOptions(overrides: Partial<FeedOptions>): FeedOptions {
  const metrics = new Metrics();
  return {
    self: asId('entry-1'),
    dataCentre: 'a',
    seeds: [],
    watchMs: 20,
    fallbackMs: 5,
    startMs: 20,
    store: new FeedStore(systemClock, silentLog, metrics),
    view: () => buildInstanceView(LIST),
    platform: {
      watchConfig: () => wait(5).then(() => undefined),
      watchList: () => wait(5).then(() => undefined),
    },
    watchPeer: () => Promise.resolve(undefined),
    clock: systemClock,
    random: seededRandom(3),
    log: silentLog,
    metrics,
    ...overrides,
  };
}

test('daemons exchange versions with other daemons only, never with an endpoint', async () => {
  const contacted: string[] = [];
  const ending = new AbortController();
  const feed = runFeed(
    feedOptions({
      watchPeer: (address) => {
        contacted.push(address);
        return Promise.resolve(undefined);
      },
    }),
    ending.signal,
  );
  await feed.started;
  await wait(150);
  ending.abort();
  await feed.ended;
  assert.deepEqual([...new Set(contacted)], ['10.0.0.1:2']);
});

/**
 * Guards against a long poll whose timeout exceeds the bound that depends on it: a stalled watch of
 * 25 s kept a daemon on an old document for 27 s, followed by a delay of 1 to 3 s.
 */
test('a watch that gets no response times out, and the next one starts without a delay', async () => {
  const watchStartsMs: number[] = [];
  const ending = new AbortController();
  const unresponsive = (): Promise<undefined> => {
    watchStartsMs.push(systemClock.nowMs());
    return wait(20).then(() => Promise.reject(new DOMException('no answer', 'TimeoutError')));
  };
  const feed = runFeed(
    feedOptions({
      fallbackMs: 10_000,
      startMs: 1,
      platform: { watchConfig: unresponsive, watchList: unresponsive },
    }),
    ending.signal,
  );
  await feed.started;
  await wait(400);
  ending.abort();
  await feed.ended;
  assert.ok(watchStartsMs.length >= 8, `${watchStartsMs.length} watches`);
});
