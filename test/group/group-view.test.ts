import assert from 'node:assert/strict';
import { test } from 'node:test';
import { packCounts, type RankReply } from '../../src/core/groups/index.js';
import { DigestBuilder } from '../../src/group/digest-builder.js';
import { sumCounts, KnownMaps, sortByRank, placementOf } from '../../src/group/group-view.js';
import { SwitchMargin } from '../../src/group/switch-margin.js';
import { rankReply } from '../fixtures/engine.js';

const reply = (rank: number, change: Partial<RankReply> = {}): RankReply =>
  rankReply(rank, { placed: [[rank]], ...change });

test('replies are complete only if each rank of one group replied once', () => {
  assert.deepEqual(
    sortByRank([reply(1), reply(0)], 2)?.map((r) => r.rank),
    [0, 1],
  );
  assert.equal(sortByRank([reply(0), undefined], 2), undefined);
  assert.equal(sortByRank([reply(0), reply(0)], 2), undefined);
  assert.equal(sortByRank([reply(0), reply(1, { groupEpoch: 2 })], 2), undefined);
  assert.equal(sortByRank([], 0), undefined);
});

test('a group of which only some ranks are listed is incomplete', () => {
  const some = [0, 1].map((rank) => reply(rank, { ranks: 3 }));
  assert.equal(sortByRank(some, 2), undefined);
  const all = [0, 1, 2].map((rank) => reply(rank, { ranks: 3 }));
  assert.equal(sortByRank(all, 3)?.length, 3);
  // A replaced engine stays in the list beside its successor for a while.
  assert.equal(sortByRank([...all, undefined], 4)?.length, 3);
});

test('a map combined from fewer ranks is dropped and reported again', () => {
  const maps = new KnownMaps();
  maps.add('0', [[[0], [1]]]);
  const withoutPlacement = [0, 1, 2].map((rank) => reply(rank, { placed: undefined }));
  assert.equal(maps.inUse(withoutPlacement), undefined);
  assert.deepEqual(maps.ids, []);
  assert.deepEqual(maps.inUse([reply(0), reply(1), reply(2)]), [[[0], [1], [2]]]);
});

test('the map is combined from the ranks only while all use the same one', () => {
  const maps = new KnownMaps();
  assert.deepEqual(placementOf([reply(0), reply(1)]), [[[0], [1]]]);
  assert.equal(placementOf([reply(0), reply(1, { placed: undefined })]), undefined);
  assert.equal(maps.inUse([reply(0), reply(1, { mapId: '7' })]), undefined);
  assert.deepEqual(maps.inUse([reply(0), reply(1)]), [[[0], [1]]]);
});

test('a known map need not be reported again, and old maps are evicted', () => {
  const maps = new KnownMaps();
  const withoutPlacement = [0, 1].map((rank) => reply(rank, { mapId: '7', placed: undefined }));
  assert.equal(maps.inUse(withoutPlacement), undefined);
  maps.add('7', [[[5], [6]]]);
  assert.deepEqual(maps.ids, ['7']);
  assert.deepEqual(maps.inUse(withoutPlacement), [[[5], [6]]]);
  for (const id of ['8', '9', '10', '11']) maps.add(id, []);
  assert.equal(maps.inUse(withoutPlacement), undefined);
});

test('token counts are summed over the ranks that report them', () => {
  const replies = [
    reply(0, { counted: packCounts([[255, 51]]) }),
    reply(1),
    undefined,
    reply(2, { counted: packCounts([[0, 510]]) }),
  ];
  assert.deepEqual(sumCounts(replies), [[255, 561]]);
  assert.equal(sumCounts([reply(0), undefined]), undefined);
});

test('a digest contains pace and load by host, and the step time', () => {
  let nowMs = 0;
  const digestBuilder = new DigestBuilder({ nowMs: () => nowMs, wallMs: () => nowMs });
  const poll = (step: number) => {
    const replies = [
      reply(0, { step, pace: 5.456, running: 2, queued: 1, askers: ['e-1', 'e-2'] }),
      reply(1, { step, askers: ['e-2', 'e-3'] }),
    ];
    return digestBuilder.build(replies, replies, ['a', 'b']);
  };
  assert.equal(poll(10).stepMs, 0);
  nowMs = 200;
  assert.deepEqual(poll(14), {
    group: '',
    whole: true,
    hosts: ['a', 'b'],
    pace: [5.46, 1],
    load: [3, 0],
    running: 3,
    stepMs: 50,
    entries: 3,
    ageMs: 0,
  });
  assert.equal(digestBuilder.build(undefined, [], []).whole, false);
});

test('the load of a group is estimated from the ranks of this poll, not from earlier replies', () => {
  const digestBuilder = new DigestBuilder({ nowMs: () => 0, wallMs: () => 0 });
  const previous = Array.from({ length: 6 }, (_, rank) => reply(rank, { running: 1 }));
  const fresh = [reply(0, { running: 5 }), reply(3, { running: 6, queued: 1 })];
  const replies = previous.map((old, rank) => fresh.find((now) => now.rank === rank) ?? old);
  assert.equal(digestBuilder.build(replies, fresh, []).running, 36);
  assert.equal(digestBuilder.build(previous, previous, []).running, 6);
});

test('idle time of a group does not count as step time', () => {
  let nowMs = 0;
  const digestBuilder = new DigestBuilder({ nowMs: () => nowMs, wallMs: () => nowMs });
  const poll = (step: number, running: number): number =>
    digestBuilder.build([reply(0, { step, running })], [], ['a']).stepMs;
  poll(1, 0);
  nowMs = 9000;
  assert.equal(poll(2, 3), 0);
  nowMs = 9100;
  assert.equal(poll(4, 3), 50);
});

test('the margin follows the slowest recent orders, and decays', async () => {
  let nowMs = 0;
  const margin = new SwitchMargin({ nowMs: () => nowMs, wallMs: () => nowMs });
  assert.equal(margin.steps(50), 3);
  const timed = async (kind: 'arm' | 'confirm', ms: number): Promise<void> => {
    const call = margin.timed(
      kind,
      new Promise((resolve) => setImmediate(() => resolve(reply(0)))),
    );
    nowMs += ms;
    await call;
  };
  await timed('arm', 20);
  await timed('confirm', 10);
  assert.equal(margin.steps(50), 2);
  await timed('arm', 200);
  assert.ok(margin.steps(50) >= 6);
  nowMs += 60_000;
  assert.equal(margin.steps(50), 2);
});
