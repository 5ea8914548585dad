import assert from 'node:assert/strict';
import { test } from 'node:test';
import { packCounts, unpackCounts, type RankOrder } from '../../src/core/groups/index.js';
import { MAX_BRANCH_SIZE, FORWARDER_BACKOFF_MS, MAX_DIRECT_CALLS } from '../../src/group/consts.js';
import { FanOut, serveBranch, type CallAgent, type Member } from '../../src/group/fan-out.js';
import { groupDigest, rankReply } from '../fixtures/engine.js';

interface Harness {
  readonly fanOut: FanOut;
  readonly members: readonly Member[];
  readonly silent: Set<string>;
  /** Orders that each agent got, by address. */
  readonly received: Map<string, RankOrder>;
  /** Calls and bytes that the coordinator sent since the last look at them. */
  sentTotals: { calls: number; bytes: number };
  /** Agents that passed an order on. */
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
    if (harness.silent.has(address)) throw new Error('silent');
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
      callBranch: async (head, branch) => {
        recordSent(branch);
        harness.forwarders.push(head);
        if (harness.silent.has(head)) throw new Error('silent');
        return serveBranch(answer, branch);
      },
    }),
    members,
    silent: new Set(),
    received: new Map(),
    sentTotals: { calls: 0, bytes: 0 },
    forwarders: [],
    nowMs: 0,
  };
  return harness;
}

const POLL: RankOrder = { group: 'g', kind: 'look', epoch: 0 };

test('a small group is called one by one, a large one by branches; all answer in their order', async () => {
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

/** Figures before: 128 calls and 279 KB for the same look, sent to each rank; 21 and 32 KB now. */
test('a look at 129 ranks with its digest costs the coordinator 24 calls and 40 KB at most', async () => {
  const harness = startHarness(129);
  const hosts = harness.members.map(({ address }) => address.split(':')[0] ?? '');
  const digest = groupDigest({ hosts, pace: hosts.map(() => 1), load: hosts.map(() => 3) });
  await harness.fanOut.callAll({ ...POLL, digest }, harness.members, 250);
  assert.ok(harness.sentTotals.calls <= 2 * MAX_BRANCH_SIZE, `${harness.sentTotals.calls} calls`);
  assert.ok(harness.sentTotals.bytes < 40_000, `${harness.sentTotals.bytes} bytes`);
  assert.ok([...harness.received.values()].every((order) => order.digest?.hosts.length === 129));
});

test('what stands in the order of one member alone reaches that one alone', async () => {
  const harness = startHarness(40);
  const members = harness.members.map((member, i) => ({
    ...member,
    incarnation: `life-${i}`,
    wantsCounts: i % 3 === 0,
  }));
  await harness.fanOut.callAll({ ...POLL, kind: 'recheck' }, members, 250);
  members.forEach(({ address, incarnation, wantsCounts }) => {
    const { incarnation: receivedIncarnation, wantsCounts: receivedWantsCounts } =
      harness.received.get(address) ?? {};
    assert.deepEqual([receivedIncarnation, receivedWantsCounts], [incarnation, wantsCounts]);
  });
});

test('tokens counted in one branch come as one sum, and none is lost or counted twice', async () => {
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

test('behind a silent agent that should pass an order on the others are reached, and another one passes on', async () => {
  const harness = startHarness(129);
  await harness.fanOut.callAll(POLL, harness.members, 250);
  const silent = harness.forwarders[0] as string;
  harness.silent.add(silent);
  const silentRank = harness.members.findIndex((member) => member.address === silent);
  const missing = async (): Promise<number[]> => {
    harness.forwarders.length = 0;
    const replies = await harness.fanOut.callAll(POLL, harness.members, 250);
    return replies.flatMap((reply, rank) => (reply ? [] : [rank]));
  };
  assert.deepEqual(await missing(), [silentRank], 'the others are asked straight');
  assert.ok(harness.forwarders.includes(silent));
  assert.deepEqual(await missing(), [silentRank]);
  assert.ok(!harness.forwarders.includes(silent), 'it is not asked to pass on again so soon');
  harness.nowMs += FORWARDER_BACKOFF_MS;
  harness.silent.clear();
  assert.deepEqual(await missing(), []);
  assert.ok(harness.forwarders.includes(silent));
});

test('a branch takes nothing for an order that is none', async () => {
  const branch = { members: [], withinMs: 100, order: 'nonsense' };
  await assert.rejects(serveBranch(() => Promise.resolve(rankReply(0)), branch));
  const { deflateRawSync } = await import('node:zlib');
  const order = deflateRawSync(JSON.stringify({ kind: 'explode' })).toString('base64');
  await assert.rejects(
    serveBranch(() => Promise.resolve(rankReply(0)), { ...branch, order }),
    /does not fit its schema/,
  );
});
