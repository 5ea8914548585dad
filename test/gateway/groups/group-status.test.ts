import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { seededRandom, systemClock } from '../../../src/core/clock/index.js';
import { asId, type GroupId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import {
  PublishedState,
  type PublishedEndpoint,
  type ServiceId,
  type ServiceInfo,
} from '../../../src/core/published/index.js';
import {
  GroupStatus,
  type PollGroup,
  type GroupLoad,
} from '../../../src/gateway/groups/group-status.js';
import type { GroupDigest } from '../../../src/generated/messages.types.js';
import { config } from '../harness.js';
import { ENGINE_INFO, groupDigest } from '../../fixtures/engine.js';
import type { Demand } from '../../../src/generated/messages.types.js';
import { until } from '../../fixtures/until.js';

const SMALL = asId<ServiceId>('small');
const LARGE = asId<ServiceId>('large');
const PORT = 7340;

const service = (id: ServiceId): [ServiceId, ServiceInfo] => [
  id,
  { id, maxConnections: 100, engine: ENGINE_INFO },
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

/** Streams of the large group at the last poll. */
function runningOf(status: GroupStatus): number | undefined {
  const group = status.groupOf(ENGINES[2] as PublishedEndpoint);
  return group && status.loadOf(group)?.running;
}

/** Polls both groups until `isEnough` resolves, and returns the addresses that were polled. */
async function pollGroups(
  answer: PollGroup,
  dataCentre = 'a',
  random: () => number = () => 0.5,
  isEnough: (status: GroupStatus) => Promise<void> = () => wait(400),
  prepare: (state: PublishedState) => void = () => undefined,
  demand?: Demand,
): Promise<{ status: GroupStatus; polled: Set<string> }> {
  const state = new PublishedState();
  state.offerConfig(config([], { services: new Map([service(SMALL), service(LARGE)]) }), 0);
  state.offerList(ENGINES, false);
  prepare(state);
  const polled = new Set<string>();
  const status = new GroupStatus({
    state,
    clock: systemClock,
    random,
    log: silentLog,
    metrics: new Metrics(),
    dataCentre: asId(dataCentre),
    port: PORT,
    ask: (address, sends, withinMs, reported) => {
      polled.add(address);
      return answer(address, sends, withinMs, reported);
    },
    ...(demand && { demandOf: () => demand }),
    hasRequests: () => false,
    onUpdate: () => undefined,
  });
  const ending = new AbortController();
  const running = status.run(ending.signal);
  await isEnough(status);
  ending.abort();
  await running;
  return { status, polled };
}

test('each group is polled at a local agent, and its load is kept separately', async () => {
  const { status, polled } = await pollGroups((address) =>
    Promise.resolve(
      address.startsWith('127.0.0.1')
        ? digest(['127.0.0.1'], [4])
        : digest(['127.0.0.2', '127.0.0.3'], [5, 6]),
    ),
  );
  assert.deepEqual([...polled].sort(), [`127.0.0.1:${PORT}`, `127.0.0.2:${PORT}`]);
  const loads = ENGINES.map((e) => status.loadOf(status.groupOf(e) as GroupId));
  const { countedAtMs, ...small } = loads[0] as GroupLoad;
  assert.deepEqual(small, { ranks: 1, running: 4, entries: 2 });
  assert.ok(systemClock.nowMs() - countedAtMs < 1000);
  assert.deepEqual(loads[1], {
    // The second rank is slow.
    ranks: 1,
    running: 11,
    entries: 2,
    countedAtMs: loads[1]?.countedAtMs,
  });
  assert.deepEqual(loads[2], loads[1]);
  const large = status.enginesOf(status.groupOf(ENGINES[1] as PublishedEndpoint) as GroupId);
  assert.deepEqual(
    large.map((one) => [one.load, one.meanLoad]),
    [
      [5, 5.5],
      [6, 5.5],
    ],
  );
  assert.deepEqual(
    ENGINES.map((e) => status.statusOf(e)?.pace),
    [1, 1, 2],
  );
});

/**
 * Ranks of an evacuated data centre take part in each step but accept no requests. With the limit
 * of streams based on all ranks, the others were given half as many streams again as they bear.
 */
test('only the ranks that accept requests count for the load of a group', async () => {
  const hosts = ['127.0.0.2', '127.0.0.3'];
  const evacuate = (state: PublishedState): void =>
    void state.offerEvacuations({ kind: 'whole', dataCentres: [asId('b')] });
  const { status } = await pollGroups(
    () => Promise.resolve(digest(hosts, [5, 6])),
    'a',
    () => 0.5,
    () => wait(400),
    evacuate,
  );
  const rank = ENGINES[2] as PublishedEndpoint;
  const load = status.loadOf(status.groupOf(rank) as GroupId);
  assert.deepEqual([load?.ranks, load?.running], [1, 11]);
  assert.equal(status.statusOf(rank)?.load, 6);
});

/**
 * Streams go to ranks of normal speed only. A limit for all ranks would let 72 ranks of 7 slots, of which 29 are
 * slow, run 324 streams on 43 ranks: 7.5 on each.
 */
test('slow ranks do not raise the stream limit of a group', async () => {
  const answer = (paces: readonly number[]): PollGroup => {
    const hosts = paces.map((_, i) => `127.0.0.${2 + i}`);
    const load = paces.map(() => 1);
    return () => Promise.resolve({ ...digest(hosts, load), pace: [...paces] });
  };
  const ranksOf = async (paces: readonly number[]): Promise<number | undefined> => {
    const { status } = await pollGroups(answer(paces));
    return status.loadOf(status.groupOf(ENGINES[1] as PublishedEndpoint) as GroupId)?.ranks;
  };
  assert.equal(await ranksOf([1, 12, 1.1, 12, 1]), 3);
  assert.equal(await ranksOf([12, 12, 12]), 3);
});

test('a group whose poll fails or whose digest is incomplete has no status', async () => {
  const { status } = await pollGroups((address) =>
    address.startsWith('127.0.0.1')
      ? Promise.reject(new Error('no route'))
      : Promise.resolve({ ...digest(['127.0.0.2'], [1]), whole: false }),
  );
  assert.deepEqual(
    ENGINES.map((e) => status.groupOf(e)),
    [undefined, undefined, undefined],
  );
  assert.equal(status.statusOf(ENGINES[0] as PublishedEndpoint), undefined);
});

test('several groups of one service each have their own status', async () => {
  const { status, polled } = await pollGroups((address) => {
    const host = address.split(':')[0] ?? '';
    return Promise.resolve(digest([host], [host === '127.0.0.3' ? 9 : 2]));
  });
  assert.equal(polled.size, 3, 'the group in the other data centre is polled too');
  assert.deepEqual(
    ENGINES.map((e) => status.loadOf(status.groupOf(e) as GroupId)?.running),
    [2, 2, 9],
  );
});

test('an older digest does not replace a newer one, and the agent with the fresh digest is polled again', async () => {
  const hosts = ['127.0.0.2', '127.0.0.3'];
  const { status, polled } = await pollGroups((address) => {
    const isOld = address.startsWith('127.0.0.2');
    return Promise.resolve({
      ...digest(hosts, isOld ? [90, 90] : [5, 6]),
      ageMs: isOld ? 1400 : 100,
    });
  }, 'b');
  const group = status.groupOf(ENGINES[2] as PublishedEndpoint) as GroupId;
  assert.equal(status.loadOf(group)?.running, 11);
  assert.ok(polled.has(`127.0.0.3:${PORT}`));
});

/**
 * An agent that is cut off from its coordinator still answers, with no digest or an incomplete one. An entry that keeps
 * polling it because its last digest was fresh loses the status of a group that other agents report.
 */
test('an agent that no longer has a fresh digest is not polled forever', async () => {
  const hosts = ['127.0.0.2', '127.0.0.3'];
  for (const nothing of [undefined, { ...digest(hosts, []), whole: false }]) {
    let first: string | undefined;
    let polled = 0;
    await pollGroups(
      (address) => {
        if (address.startsWith('127.0.0.1')) return Promise.reject(new Error('no route'));
        first ??= address;
        if (address !== first) return Promise.resolve(digest(hosts, [5, 6]));
        polled += 1;
        return Promise.resolve(polled === 1 ? digest(hosts, [1, 1]) : nothing);
      },
      'c',
      seededRandom(1),
      (status) => until('the digest of the other agent arrives', () => runningOf(status) === 11),
    );
  }
});

const DEMAND: Demand = { byUrgency: { 10: 5 }, byOrganisation: {}, othersPerS: 0 };

// Agents of an older version reject requests with unknown fields: their entries would lose the status of the group.
test('demand is reported only to agents that take it, and not again after a failed poll', async () => {
  const hosts = ['127.0.0.2', '127.0.0.3'];
  const reported: (Demand | undefined)[] = [];
  let takes = true;
  await pollGroups(
    (address, _sends, _withinMs, demand) => {
      if (address.startsWith('127.0.0.1')) {
        assert.equal(demand, undefined, 'this agent never said that it takes demand');
        return Promise.resolve(digest(['127.0.0.1'], [1]));
      }
      reported.push(demand);
      if (demand && reported.filter(Boolean).length === 3) {
        takes = false;
        return Promise.reject(new Error('does not fit its schema'));
      }
      return Promise.resolve({ ...digest(hosts, [5, 6]), ...(takes && { takesDemand: true }) });
    },
    'a',
    () => 0.5,
    () => until('the agent was polled after its failure', () => !takes && reported.length > 9),
    undefined,
    DEMAND,
  );
  assert.equal(reported[0], undefined);
  assert.equal(reported.filter(Boolean).length, 3, 'none after the failure');
});

test("the group's demand is kept with its load", async () => {
  const { status } = await pollGroups((address) =>
    Promise.resolve({ ...digest([address.split(':')[0] ?? ''], [4]), demand: DEMAND }),
  );
  const group = status.groupOf(ENGINES[0] as PublishedEndpoint) as GroupId;
  assert.deepEqual(status.loadOf(group)?.demand, DEMAND);
});
