import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { seededRandom, systemClock } from '../../src/core/clock/index.js';
import { asId, type GroupId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import {
  PublishedState,
  type PublishedEndpoint,
  type ServiceId,
  type ServiceInfo,
} from '../../src/core/published/index.js';
import { GroupSight, type AskGroup, type GroupSize } from '../../src/gateway/group-sight.js';
import type { GroupDigest } from '../../src/generated/messages.types.js';
import { config } from './harness.js';
import { ENGINE, groupDigest } from '../fixtures/engine.js';
import { until } from '../fixtures/until.js';

const SMALL = asId<ServiceId>('small');
const LARGE = asId<ServiceId>('large');
const PORT = 7340;

const service = (id: ServiceId): [ServiceId, ServiceInfo] => [
  id,
  { id, maxConnections: 100, engine: ENGINE },
];

function engine(id: string, of: ServiceId, host: string, dataCentre: string): PublishedEndpoint {
  return {
    id: asId(id),
    service: of,
    address: `${host}:8228`,
    dataCentre: asId(dataCentre),
    slots: 8,
    isLeaving: false,
    startedAtMs: 0,
  };
}

const ENGINES = [
  engine('e-1', SMALL, '127.0.0.1', 'a'),
  engine('e-2', LARGE, '127.0.0.2', 'a'),
  engine('e-3', LARGE, '127.0.0.3', 'b'),
];

const digest = (hosts: readonly string[], load: readonly number[]): GroupDigest =>
  groupDigest({
    group: hosts.join(),
    hosts: [...hosts],
    load: [...load],
    pace: hosts.map((_, i) => 1 + i),
    running: load.reduce((sum, n) => sum + n, 0),
    entries: 2,
    stepMs: 40,
  });

/** Streams of the large group, as it was seen. */
function runningOf(sight: GroupSight): number | undefined {
  const group = sight.groupOf(ENGINES[2] as PublishedEndpoint);
  return group && sight.sizeOf(group)?.running;
}

/** Watches both groups for a moment, or until there is enough, and tells which addresses were asked. */
async function watch(
  answer: AskGroup,
  dataCentre = 'a',
  random: () => number = () => 0.5,
  isEnough: (sight: GroupSight) => Promise<void> = () => wait(400),
): Promise<{ sight: GroupSight; asked: Set<string> }> {
  const state = new PublishedState();
  state.offerConfig(config([], { services: new Map([service(SMALL), service(LARGE)]) }), 0);
  state.offerList(ENGINES, false);
  const asked = new Set<string>();
  const sight = new GroupSight({
    state,
    clock: systemClock,
    random,
    log: silentLog,
    metrics: new Metrics(),
    dataCentre: asId(dataCentre),
    port: PORT,
    ask: (address, sends, withinMs) => {
      asked.add(address);
      return answer(address, sends, withinMs);
    },
    isUsed: () => false,
    onSeen: () => undefined,
  });
  const ending = new AbortController();
  const running = sight.run(ending.signal);
  await isEnough(sight);
  ending.abort();
  await running;
  return { sight, asked };
}

test('each group is asked for at an agent near by, and its size stands for itself', async () => {
  const { sight, asked } = await watch((address) =>
    Promise.resolve(
      address.startsWith('127.0.0.1')
        ? digest(['127.0.0.1'], [4])
        : digest(['127.0.0.2', '127.0.0.3'], [5, 6]),
    ),
  );
  assert.deepEqual([...asked].sort(), [`127.0.0.1:${PORT}`, `127.0.0.2:${PORT}`]);
  const sizes = ENGINES.map((e) => sight.sizeOf(sight.groupOf(e) as GroupId));
  const { countedAtMs, ...small } = sizes[0] as GroupSize;
  assert.deepEqual(small, { ranks: 1, running: 4, entries: 2 });
  assert.ok(systemClock.nowMs() - countedAtMs < 1000);
  assert.deepEqual(sizes[1], {
    ranks: 2,
    running: 11,
    entries: 2,
    countedAtMs: sizes[1]?.countedAtMs,
  });
  assert.deepEqual(sizes[2], sizes[1]);
  assert.deepEqual(
    ENGINES.map((e) => sight.of(e)?.pace),
    [1, 1, 2],
  );
});

test('a group that does not answer, or is not whole, is not seen', async () => {
  const { sight } = await watch((address) =>
    address.startsWith('127.0.0.1')
      ? Promise.reject(new Error('no route'))
      : Promise.resolve({ ...digest(['127.0.0.2'], [1]), whole: false }),
  );
  assert.deepEqual(
    ENGINES.map((e) => sight.groupOf(e)),
    [undefined, undefined, undefined],
  );
  assert.equal(sight.of(ENGINES[0] as PublishedEndpoint), undefined);
});

test('each of several groups behind one service is seen for itself', async () => {
  const { sight, asked } = await watch((address) => {
    const host = address.split(':')[0] ?? '';
    return Promise.resolve(digest([host], [host === '127.0.0.3' ? 9 : 2]));
  });
  assert.equal(asked.size, 3, 'also the one of another data centre');
  assert.deepEqual(
    ENGINES.map((e) => sight.sizeOf(sight.groupOf(e) as GroupId)?.running),
    [2, 2, 9],
  );
});

test('an older digest does not replace a newer one, and who told news is asked again', async () => {
  const hosts = ['127.0.0.2', '127.0.0.3'];
  const { sight, asked } = await watch((address) => {
    const isOld = address.startsWith('127.0.0.2');
    return Promise.resolve({
      ...digest(hosts, isOld ? [90, 90] : [5, 6]),
      ageMs: isOld ? 1400 : 100,
    });
  }, 'b');
  const group = sight.groupOf(ENGINES[2] as PublishedEndpoint) as GroupId;
  assert.equal(sight.sizeOf(group)?.running, 11);
  assert.ok(asked.has(`127.0.0.3:${PORT}`));
});

/**
 * An agent that is cut off from its coordinator still answers, that it has no news or that the group is not whole.
 * Entries that went on asking it, because it had told news before, did not see a group that others told of.
 */
test('an agent that told news and has none any more is not asked for ever', async () => {
  const hosts = ['127.0.0.2', '127.0.0.3'];
  for (const nothing of [undefined, { ...digest(hosts, []), whole: false }]) {
    let first: string | undefined;
    let asked = 0;
    await watch(
      (address) => {
        if (address.startsWith('127.0.0.1')) return Promise.reject(new Error('no route'));
        first ??= address;
        if (address !== first) return Promise.resolve(digest(hosts, [5, 6]));
        asked += 1;
        return Promise.resolve(asked === 1 ? digest(hosts, [1, 1]) : nothing);
      },
      'c',
      seededRandom(1),
      (sight) => until('the other agent tells', () => runningOf(sight) === 11),
    );
  }
});
