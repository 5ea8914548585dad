import assert from 'node:assert/strict';
import { test } from 'node:test';
import { packCounts, unpackCounts, type RankOrder } from '../../src/core/groups/index.js';
import { BRANCH_MEMBERS, HEAD_AVOIDED_MS, MOST_DIRECT } from '../../src/group/consts.js';
import { FanOut, serveBranch, type CallAgent, type Member } from '../../src/group/fan-out.js';
import { groupDigest, rankReply } from '../fixtures/engine.js';

interface Play {
  readonly fanOut: FanOut;
  readonly members: readonly Member[];
  readonly silent: Set<string>;
  /** Orders that each agent got, by address. */
  readonly got: Map<string, RankOrder>;
  /** Calls and bytes that the coordinator sent since the last look at them. */
  sent: { calls: number; bytes: number };
  /** Agents that passed an order on. */
  readonly heads: string[];
  nowMs: number;
}

const addressAt = (rank: number): string => `10.0.${Math.floor(rank / 50)}.${rank % 50}:1`;

function startPlay(
  ranks: number,
  countsOf = (_: number): number[][] | undefined => undefined,
): Play {
  const members = Array.from({ length: ranks }, (_, rank) => ({ address: addressAt(rank) }));
  const self = addressAt(0);
  const rankOf = (address: string): number => members.findIndex((m) => m.address === address);
  const answer = async (address: string, order: RankOrder): ReturnType<CallAgent> => {
    if (play.silent.has(address)) throw new Error('silent');
    play.got.set(address, order);
    const counts = order.wantsCounts ? countsOf(rankOf(address)) : undefined;
    return rankReply(rankOf(address), { ...(counts && { counted: packCounts(counts) }) });
  };
  const noteSent = (message: unknown): void => {
    play.sent.calls += 1;
    play.sent.bytes += JSON.stringify(message).length;
  };
  const play: Play = {
    fanOut: new FanOut({
      self,
      clock: { nowMs: () => play.nowMs, wallMs: () => play.nowMs },
      call: (address, order) => {
        if (address !== self) noteSent(order);
        return answer(address, order);
      },
      callBranch: async (head, branch) => {
        noteSent(branch);
        play.heads.push(head);
        if (play.silent.has(head)) throw new Error('silent');
        return serveBranch(answer, branch);
      },
    }),
    members,
    silent: new Set(),
    got: new Map(),
    sent: { calls: 0, bytes: 0 },
    heads: [],
    nowMs: 0,
  };
  return play;
}

const LOOK: RankOrder = { group: 'g', kind: 'look', epoch: 0 };

test('a small group is called one by one, a large one by branches; all answer in their order', async () => {
  for (const ranks of [1, MOST_DIRECT, MOST_DIRECT + 1, 63, 129, 400]) {
    const play = startPlay(ranks);
    const replies = await play.fanOut.callAll(LOOK, play.members, 250);
    assert.deepEqual(
      replies.map((reply) => reply?.rank),
      play.members.map((_, rank) => rank),
    );
    assert.equal(play.got.size, ranks);
    assert.equal(play.heads.length > 0, ranks > MOST_DIRECT);
  }
});

/** Figures before: 128 calls and 279 KB for the same look, sent to each rank; 21 and 32 KB now. */
test('a look at 129 ranks with its digest costs the coordinator 24 calls and 40 KB at most', async () => {
  const play = startPlay(129);
  const hosts = play.members.map(({ address }) => address.split(':')[0] ?? '');
  const digest = groupDigest({ hosts, pace: hosts.map(() => 1), load: hosts.map(() => 3) });
  await play.fanOut.callAll({ ...LOOK, digest }, play.members, 250);
  assert.ok(play.sent.calls <= 2 * BRANCH_MEMBERS, `${play.sent.calls} calls`);
  assert.ok(play.sent.bytes < 40_000, `${play.sent.bytes} bytes`);
  assert.ok([...play.got.values()].every((order) => order.digest?.hosts.length === 129));
});

test('what stands in the order of one member alone reaches that one alone', async () => {
  const play = startPlay(40);
  const members = play.members.map((member, i) => ({
    ...member,
    incarnation: `life-${i}`,
    wantsCounts: i % 3 === 0,
  }));
  await play.fanOut.callAll({ ...LOOK, kind: 'recheck' }, members, 250);
  members.forEach(({ address, incarnation, wantsCounts }) => {
    const { incarnation: life, wantsCounts: wants } = play.got.get(address) ?? {};
    assert.deepEqual([life, wants], [incarnation, wantsCounts]);
  });
});

test('tokens counted in one branch come as one sum, and none is lost or counted twice', async () => {
  const play = startPlay(30, (rank) => [[rank, 255]]);
  const members = play.members.map((member) => ({ ...member, wantsCounts: true }));
  const replies = await play.fanOut.callAll(LOOK, members, 250);
  const sums = replies.flatMap((r) => (r?.counted ? [unpackCounts(r.counted)[0] ?? []] : []));
  const total = [0, 1].map((expert) =>
    sums.reduce((sum, counts) => sum + (counts[expert] ?? 0), 0),
  );
  assert.ok(sums.length < 30);
  assert.ok(Math.abs((total[0] ?? 0) - 435) < 30, `${total[0]}: packed to 255 steps`);
  assert.ok(Math.abs((total[1] ?? 0) - 30 * 255) < 1e-6);
});

test('behind a silent agent that should pass an order on the others are reached, and another one passes on', async () => {
  const play = startPlay(129);
  await play.fanOut.callAll(LOOK, play.members, 250);
  const silent = play.heads[0] as string;
  play.silent.add(silent);
  const silentRank = play.members.findIndex((member) => member.address === silent);
  const missing = async (): Promise<number[]> => {
    play.heads.length = 0;
    const replies = await play.fanOut.callAll(LOOK, play.members, 250);
    return replies.flatMap((reply, rank) => (reply ? [] : [rank]));
  };
  assert.deepEqual(await missing(), [silentRank], 'the others are asked straight');
  assert.ok(play.heads.includes(silent));
  assert.deepEqual(await missing(), [silentRank]);
  assert.ok(!play.heads.includes(silent), 'it is not asked to pass on again so soon');
  play.nowMs += HEAD_AVOIDED_MS;
  play.silent.clear();
  assert.deepEqual(await missing(), []);
  assert.ok(play.heads.includes(silent));
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
