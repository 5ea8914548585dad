import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId, type EndpointId, type GroupId } from '../../../src/core/ids/index.js';
import type { DataCentreId, PublishedEndpoint } from '../../../src/core/published/index.js';
import { ServiceGroups } from '../../../src/gateway/groups/service-groups.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import { endpoint } from '../harness.js';

const NEAR = asId<GroupId>('near');
const FAR = asId<GroupId>('far');
const OTHER = asId<GroupId>('other');
const never = new AbortController().signal;

const engineIn = (group: GroupId, dataCentre: string): PublishedEndpoint => ({
  ...endpoint(`e-${group}`, '127.0.0.1:1'),
  dataCentre: asId<DataCentreId>(dataCentre),
});

const ENGINES = [engineIn(FAR, 'b'), engineIn(NEAR, 'a'), engineIn(OTHER, 'c')];

interface Harness {
  readonly groups: ServiceGroups;
  readonly clock: { atMs: number };
  /** Engines that are backing off. */
  readonly backingOff: Set<EndpointId>;
  chosen(tried?: readonly string[], except?: GroupId): GroupId | undefined;
  /** Takes all slots of a group at this entry. */
  fill(group: GroupId): Promise<void>;
  startOutage(group: GroupId): void;
}

function start(): Harness {
  const clock = { atMs: 0 };
  const backingOff = new Set<EndpointId>();
  const groups = new ServiceGroups({
    clock: { nowMs: () => clock.atMs, wallMs: () => clock.atMs },
    dataCentre: asId('a'),
    engine: () => ENGINE_INFO,
    endpoints: () => ENGINES,
    groupOf: (e) => asId<GroupId>(e.id.slice('e-'.length)),
    loadOf: () => undefined,
    isAvailable: ({ id }) => !backingOff.has(id),
  });
  return {
    groups,
    clock,
    backingOff,
    chosen: (tried = [], except) =>
      groups.choose(new Set(tried.map((id) => asId<EndpointId>(id))), except)?.id,
    fill: async (group) => {
      const { queue, slots } = groups.queueOf(group);
      for (let i = 0; i < slots; i += 1) assert.equal(await queue.acquire(0, 0, never), true);
    },
    startOutage: (group) => {
      for (let i = 0; i < 5; i += 1) {
        groups.queueOf(group).outage.noteFailure(clock.atMs);
        clock.atMs += 100;
      }
    },
  };
}

test('the local group is chosen until it is full, then another group with free slots', async () => {
  const harness = start();
  assert.equal(harness.chosen(), NEAR);
  await harness.fill(NEAR);
  const second = harness.chosen();
  assert.ok(second === FAR || second === OTHER);
  await harness.fill(second);
  const third = harness.chosen();
  assert.ok(third !== NEAR && third !== second);
});

test('if all groups are full, a working one is chosen rather than one in an outage', async () => {
  const harness = start();
  for (const group of [NEAR, FAR, OTHER]) await harness.fill(group);
  harness.startOutage(NEAR);
  harness.startOutage(FAR);
  assert.equal(harness.chosen(), OTHER);
});

test('a group in an outage is chosen only if all groups are in one', () => {
  const harness = start();
  harness.startOutage(NEAR);
  assert.ok(harness.chosen() !== NEAR);
  harness.startOutage(FAR);
  harness.startOutage(OTHER);
  assert.ok(harness.chosen() !== undefined);
});

test('after a failure a different group is chosen, or none if no other is left', () => {
  const harness = start();
  assert.ok(harness.chosen([], NEAR) !== NEAR);
  assert.equal(harness.chosen(['e-far', 'e-other'], NEAR), undefined);
});

test('a group whose engines all back off is never chosen, even if the others are full', async () => {
  const harness = start();
  harness.backingOff.add(asId('e-near'));
  for (const group of [FAR, OTHER]) await harness.fill(group);
  assert.ok(harness.chosen() !== NEAR);
  for (const { id } of ENGINES) harness.backingOff.add(id);
  assert.equal(harness.chosen(), undefined);
});
