import assert from 'node:assert/strict';
import { test } from 'node:test';
import { packCounts, unpackCounts, type RankOrder } from '../../src/core/groups/index.js';
import { MAX_BRANCH_SIZE, FORWARDER_BACKOFF_MS, MAX_DIRECT_CALLS } from '../../src/group/consts.js';
import { FanOut, serveBranch, type CallAgent, type Member } from '../../src/group/fan-out.js';
import { groupDigest, rankReply } from '../fixtures/engine.js';

interface Harness {
  readonly fanOut: FanOut;
  readonly members: readonly Member[];
  readonly unresponsive: Set<string>;
  /** The order that each agent received, by address. */
  readonly received: Map<string, RankOrder>;
  /** Calls and bytes sent by the coordinator. */
  sentTotals: { calls: number; bytes: number };
  /** Agents chosen as forwarders. */
  readonly forwarders: string[];
  nowMs: number;
}

const addressAt = (rank: number): string => `10.0.${Math.floor(rank / 50)}.${rank % 50}:1`;

function startHarness(
  ranks: number,
  countsOf = (_: number): number[][] | undefined => undefined,
): Harness {
  const members = Array.from({ length: ranks }, (_, rank) => ({ address: addressAt(rank) }));
  const self = addressAt(0);
  const rankOf = (address: string): number => members.findIndex((m) => m.address === address);
  const answer = async (address: string, order: RankOrder): ReturnType<CallAgent> => {
    if (harness.unresponsive.has(address)) throw new Error('unresponsive');
    harness.received.set(address, order);
    const counts = order.wantsCounts ? countsOf(rankOf(address)) : undefined;
    return rankReply(rankOf(address), { ...(counts && { counted: packCounts(counts) }) });
  };
  const recordSent = (message: unknown): void => {
    harness.sentTotals.calls += 1;
    harness.sentTotals.bytes += JSON.stringify(message).length;
  };
  const harness: Harness = {
    fanOut: new FanOut({
      self,
      clock: { nowMs: () => harness.nowMs, wallMs: () => harness.nowMs },
      call: (address, order) => {
        if (address !== self) recordSent(order);
        return answer(address, order);
      },
      callBranch: async (forwarder, branch) => {
        recordSent(branch);
        harness.forwarders.push(forwarder);
        if (harness.unresponsive.has(forwarder)) throw new Error('unresponsive');
        return serveBranch(answer, branch);
      },
    }),
    members,
    unresponsive: new Set(),
    received: new Map(),
    sentTotals: { calls: 0, bytes: 0 },
    forwarders: [],
    nowMs: 0,
  };
  return harness;
}

const POLL: RankOrder = { group: 'g', kind: 'look', epoch: 0 };

test('a small group is called directly, a large one through branches; replies keep the order of members', async () => {
  for (const ranks of [1, MAX_DIRECT_CALLS, MAX_DIRECT_CALLS + 1, 63, 129, 400]) {
    const harness = startHarness(ranks);
    const replies = await harness.fanOut.callAll(POLL, harness.members, 250);
    assert.deepEqual(
      replies.map((reply) => reply?.rank),
      harness.members.map((_, rank) => rank),
    );
    assert.equal(harness.received.size, ranks);
    assert.equal(harness.forwarders.length > 0, ranks > MAX_DIRECT_CALLS);
  }
});

/**
 * Guards against a call to each rank: this poll would take 128 calls and 279 KB; branches take 21
 * and 32 KB.
 */
test('a poll of 129 ranks with the digest costs the coordinator at most 24 calls and 40 KB', async () => {
  const harness = startHarness(129);
  const hosts = harness.members.map(({ address }) => address.split(':')[0] ?? '');
  const digest = groupDigest({ hosts, pace: hosts.map(() => 1), load: hosts.map(() => 3) });
  await harness.fanOut.callAll({ ...POLL, digest }, harness.members, 250);
  assert.ok(harness.sentTotals.calls <= 2 * MAX_BRANCH_SIZE, `${harness.sentTotals.calls} calls`);
  assert.ok(harness.sentTotals.bytes < 40_000, `${harness.sentTotals.bytes} bytes`);
  assert.ok([...harness.received.values()].every((order) => order.digest?.hosts.length === 129));
});

test('member-specific fields of an order reach only that member', async () => {
  const harness = startHarness(40);
  const members = harness.members.map((member, i) => ({
    ...member,
    incarnation: `incarnation-${i}`,
    wantsCounts: i % 3 === 0,
  }));
  await harness.fanOut.callAll({ ...POLL, kind: 'recheck' }, members, 250);
  members.forEach(({ address, incarnation, wantsCounts }) => {
    const { incarnation: receivedIncarnation, wantsCounts: receivedWantsCounts } =
      harness.received.get(address) ?? {};
    assert.deepEqual([receivedIncarnation, receivedWantsCounts], [incarnation, wantsCounts]);
  });
});

test('token counts of a branch are merged without loss or double counting', async () => {
  const harness = startHarness(30, (rank) => [[rank, 255]]);
  const members = harness.members.map((member) => ({ ...member, wantsCounts: true }));
  const replies = await harness.fanOut.callAll(POLL, members, 250);
  const sums = replies.flatMap((r) => (r?.counted ? [unpackCounts(r.counted)[0] ?? []] : []));
  const total = [0, 1].map((expert) =>
    sums.reduce((sum, counts) => sum + (counts[expert] ?? 0), 0),
  );
  assert.ok(sums.length < 30);
  assert.ok(Math.abs((total[0] ?? 0) - 435) < 30, `${total[0]}: packed to 255 steps`);
  assert.ok(Math.abs((total[1] ?? 0) - 30 * 255) < 1e-6);
});

test('a branch is reached despite an unresponsive forwarder, which is then replaced', async () => {
  const harness = startHarness(129);
  await harness.fanOut.callAll(POLL, harness.members, 250);
  const failedForwarder = harness.forwarders[0] as string;
  harness.unresponsive.add(failedForwarder);
  const failedRank = harness.members.findIndex((member) => member.address === failedForwarder);
  const missingRanks = async (): Promise<number[]> => {
    harness.forwarders.length = 0;
    const replies = await harness.fanOut.callAll(POLL, harness.members, 250);
    return replies.flatMap((reply, rank) => (reply ? [] : [rank]));
  };
  assert.deepEqual(await missingRanks(), [failedRank], 'the other members are called directly');
  assert.ok(harness.forwarders.includes(failedForwarder));
  assert.deepEqual(await missingRanks(), [failedRank]);
  assert.ok(
    !harness.forwarders.includes(failedForwarder),
    'it is not chosen again during its backoff',
  );
  harness.nowMs += FORWARDER_BACKOFF_MS;
  harness.unresponsive.clear();
  assert.deepEqual(await missingRanks(), []);
  assert.ok(harness.forwarders.includes(failedForwarder));
});

test('a branch rejects an invalid order', async () => {
  const branch = { members: [], withinMs: 100, order: 'nonsense' };
  await assert.rejects(serveBranch(() => Promise.resolve(rankReply(0)), branch));
  const { deflateRawSync } = await import('node:zlib');
  const order = deflateRawSync(JSON.stringify({ kind: 'explode' })).toString('base64');
  await assert.rejects(
    serveBranch(() => Promise.resolve(rankReply(0)), { ...branch, order }),
    /does not fit its schema/,
  );
});
