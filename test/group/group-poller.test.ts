import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RankOrder, RankReply } from '../../src/core/groups/index.js';
import {
  replyTimeouts,
  COUNT_SAMPLE_SIZE,
  DIGEST_INTERVAL_MS,
  MAX_DIRECT_CALLS,
  takeoverTimeoutMs,
} from '../../src/group/consts.js';
import { GroupPoller, sampleEvenly, type PollResult } from '../../src/group/group-poller.js';
import { groupDigest, rankReply } from '../fixtures/engine.js';

interface Group {
  readonly poller: GroupPoller;
  /** Overrides for the replies of single ranks. */
  readonly changes: Map<number, Partial<RankReply>>;
  readonly unresponsive: Set<number>;
  polled: RankOrder[];
  nowMs: number;
}

function startGroup(ranks: number): Group {
  const addresses = Array.from({ length: ranks }, (_, rank) => `10.0.0.${rank}:1`);
  const group: Group = {
    poller: new GroupPoller({
      self: '10.0.0.0:1',
      group: () => undefined,
      onReply: () => undefined,
      agents: () => addresses,
      clock: { nowMs: () => group.nowMs, wallMs: () => group.nowMs },
      callAll: (order, members) =>
        Promise.resolve(
          members.map(({ address, ...memberFields }) => {
            const rank = addresses.indexOf(address);
            group.polled.push({ ...order, ...memberFields });
            return group.unresponsive.has(rank)
              ? undefined
              : rankReply(rank, group.changes.get(rank));
          }),
        ),
    }),
    changes: new Map(),
    unresponsive: new Set(),
    polled: [],
    nowMs: 0,
  };
  return group;
}

async function poll(group: Group, isSwitching = false): Promise<PollResult> {
  group.polled = [];
  return group.poller.poll(undefined, [], isSwitching);
}

test('a sample is spread evenly over the list, and contains all of a short list', () => {
  const addresses = Array.from({ length: 63 }, (_, i) => String(i));
  const sample = sampleEvenly(addresses, 16).map(Number);
  assert.equal(new Set(sample).size, 16);
  for (const third of [0, 21, 42])
    assert.ok(sample.filter((i) => i >= third && i < third + 21).length >= 5);
  assert.deepEqual(sampleEvenly(['a', 'b'], 16), ['a', 'b']);
});

test('every poll of a small group asks all ranks for counts', async () => {
  const group = startGroup(12);
  for (let i = 0; i < 2; i += 1) {
    const seen = await poll(group);
    assert.ok(seen.kind === 'seen' && seen.isWhole);
    assert.equal(group.polled.filter((order) => order.wantsCounts).length, 12);
  }
});

test('every poll of a large group asks all ranks, and only a sample for counts', async () => {
  const group = startGroup(129);
  const first = await poll(group);
  assert.ok(first.kind === 'seen' && first.isWhole);
  assert.equal(group.polled.length, 129);
  assert.equal(group.polled.filter((order) => order.wantsCounts).length, COUNT_SAMPLE_SIZE);
  group.nowMs += 100;
  group.changes.set(1, { step: 12 });
  const second = await poll(group);
  assert.ok(second.kind === 'seen' && second.isWhole);
  assert.deepEqual([group.polled.length, second.fresh.length], [129, 129]);
  assert.equal(second.replies[1]?.step, 12);
});

test('polls of a large group carry the digest to all ranks, but not more often than its interval', async () => {
  const group = startGroup(63);
  const digest = groupDigest();
  const digestsSent = async (): Promise<number> => {
    group.polled = [];
    await group.poller.poll(digest, [], false);
    return group.polled.filter((order) => order.digest).length;
  };
  assert.equal(await digestsSent(), 63);
  group.nowMs += 100;
  assert.equal(await digestsSent(), 0);
  group.nowMs += DIGEST_INTERVAL_MS;
  assert.equal(await digestsSent(), 63);
});

test('a new map and a re-formed group show in the next poll', async () => {
  for (const change of [{ mapId: '7' }, { groupEpoch: 2 }]) {
    const group = startGroup(63);
    await poll(group);
    group.nowMs += 100;
    for (let rank = 0; rank < 63; rank += 1) group.changes.set(rank, change);
    const seen = await poll(group);
    assert.ok(seen.kind === 'seen' && seen.isWhole);
    assert.equal(seen.replies[62]?.mapId, change.mapId ?? '0');
  }
});

test('an unresponsive rank shows in the next poll, whichever rank it is', async () => {
  const group = startGroup(63);
  await poll(group);
  for (const rank of [0, 1, 62]) {
    group.nowMs += 100;
    group.unresponsive.add(rank);
    const seen = await poll(group);
    assert.ok(seen.kind === 'unseen');
    assert.equal(seen.replies[rank], undefined);
    group.unresponsive.clear();
    assert.equal((await poll(group)).kind, 'seen');
  }
});

test('the takeover timeout exceeds the time between two timely polls', () => {
  assert.ok(takeoverTimeoutMs(63) > 2 * replyTimeouts(63).pollMs + replyTimeouts(12).pollMs);
  assert.equal(takeoverTimeoutMs(12), 500);
});

test('a poll during a switch of a large group may show two maps', async () => {
  const group = startGroup(63);
  await poll(group);
  for (let rank = 0; rank < 30; rank += 1) group.changes.set(rank, { mapId: '7' });
  const seen = await poll(group, true);
  assert.ok(seen.kind === 'seen' && seen.isWhole);
  assert.deepEqual([seen.replies[29]?.mapId, seen.replies[30]?.mapId], ['7', '0']);
  assert.equal(seen.fresh.length, 63, 'tokens are counted by expert, independent of the map');
});

test('reply timeouts are longer in a large group', () => {
  assert.deepEqual(replyTimeouts(12), replyTimeouts(MAX_DIRECT_CALLS));
  assert.ok(replyTimeouts(63).decisionMs >= 2 * replyTimeouts(12).decisionMs);
});

test('during a switch each rank that replies reports its load, whichever map it uses', async () => {
  const group = startGroup(63);
  await poll(group);
  group.nowMs += 100;
  group.unresponsive.add(0);
  for (let rank = 20; rank < 63; rank += 1) group.changes.set(rank, { mapId: '7', running: 5 });
  const seen = await poll(group, true);
  assert.ok(seen.kind === 'seen' && !seen.isWhole);
  assert.equal(seen.loadReplies.length, 62);
  assert.ok(seen.loadReplies.some((reply) => reply.running === 5));
  assert.equal(seen.fresh.length, 0);
  group.changes.set(3, { groupEpoch: 2 });
  const reformed = await poll(group, true);
  assert.ok(reformed.kind === 'seen');
  assert.equal(
    reformed.loadReplies.length,
    61,
    'the load of a rank with another group epoch does not count',
  );
  group.unresponsive.clear();
  group.changes.clear();
  assert.equal((await poll(group)).kind, 'seen');
});
