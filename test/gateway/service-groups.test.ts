import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId, type EndpointId, type GroupId } from '../../src/core/ids/index.js';
import type { DataCentreId, PublishedEndpoint } from '../../src/core/published/index.js';
import { ServiceGroups } from '../../src/gateway/service-groups.js';
import { ENGINE } from '../fixtures/engine.js';
import { endpoint } from './harness.js';

const NEAR = asId<GroupId>('near');
const FAR = asId<GroupId>('far');
const OTHER = asId<GroupId>('other');
const never = new AbortController().signal;

const engineIn = (group: GroupId, dataCentre: string): PublishedEndpoint => ({
  ...endpoint(`e-${group}`, '127.0.0.1:1'),
  dataCentre: asId<DataCentreId>(dataCentre),
});

const ENGINES = [engineIn(FAR, 'b'), engineIn(NEAR, 'a'), engineIn(OTHER, 'c')];

interface Bench {
  readonly groups: ServiceGroups;
  readonly clock: { atMs: number };
  /** Engines that asked for rest. */
  readonly resting: Set<EndpointId>;
  chosen(tried?: readonly string[], except?: GroupId): GroupId | undefined;
  /** Fills a group's places at this entry. */
  fill(group: GroupId): Promise<void>;
  breakDown(group: GroupId): void;
}

function start(): Bench {
  const clock = { atMs: 0 };
  const resting = new Set<EndpointId>();
  const groups = new ServiceGroups({
    clock: { nowMs: () => clock.atMs, wallMs: () => clock.atMs },
    dataCentre: asId('a'),
    engine: () => ENGINE,
    endpoints: () => ENGINES,
    groupOf: (e) => asId<GroupId>(e.id.slice('e-'.length)),
    sizeOf: () => undefined,
    mayAsk: ({ id }) => !resting.has(id),
  });
  return {
    groups,
    clock,
    resting,
    chosen: (tried = [], except) =>
      groups.choose(new Set(tried.map((id) => asId<EndpointId>(id))), except)?.id,
    fill: async (group) => {
      const { queue, places } = groups.at(group);
      for (let i = 0; i < places; i += 1) assert.equal(await queue.take(0, 0, never), true);
    },
    breakDown: (group) => {
      for (let i = 0; i < 5; i += 1) {
        groups.at(group).outage.noteBad(clock.atMs);
        clock.atMs += 100;
      }
    },
  };
}

test('a request goes to the near group while it has room, then to another one that has', async () => {
  const bench = start();
  assert.equal(bench.chosen(), NEAR);
  await bench.fill(NEAR);
  const second = bench.chosen();
  assert.ok(second === FAR || second === OTHER);
  await bench.fill(second);
  const third = bench.chosen();
  assert.ok(third !== NEAR && third !== second);
});

test('where all are full, a group that serves is waited for, not one in an outage', async () => {
  const bench = start();
  for (const group of [NEAR, FAR, OTHER]) await bench.fill(group);
  bench.breakDown(NEAR);
  bench.breakDown(FAR);
  assert.equal(bench.chosen(), OTHER);
});

test('a group in an outage is left for the others, and chosen only when none is left', () => {
  const bench = start();
  bench.breakDown(NEAR);
  assert.ok(bench.chosen() !== NEAR);
  bench.breakDown(FAR);
  bench.breakDown(OTHER);
  assert.ok(bench.chosen() !== undefined);
});

test('after a fault another group is named, and none when there is none', () => {
  const bench = start();
  assert.ok(bench.chosen([], NEAR) !== NEAR);
  assert.equal(bench.chosen(['e-far', 'e-other'], NEAR), undefined);
});

test('a group all of whose engines rest is left for one that serves, and nobody waits for a place there', async () => {
  const bench = start();
  bench.resting.add(asId('e-near'));
  for (const group of [FAR, OTHER]) await bench.fill(group);
  assert.ok(bench.chosen() !== NEAR);
  for (const { id } of ENGINES) bench.resting.add(id);
  assert.equal(bench.chosen(), undefined);
});
