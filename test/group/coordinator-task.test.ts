import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RankGroup, VirtualTime } from '../../fakes/rank-engine/index.js';
import { seededRandom } from '../../src/core/clock/index.js';
import { RankGate, type RankOrder, type RankReply } from '../../src/core/groups/index.js';
import { asId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import type { EngineInfo } from '../../src/core/published/index.js';
import { CoordinatorTask } from '../../src/group/coordinator-task.js';
import type { EngineCalls } from '../../src/group/engine-calls.js';
import { createSwitchEngine } from '../../src/group/switch-engine.js';

const RANKS = 3;
const ADDRESSES = Array.from({ length: RANKS }, (_, rank) => `10.0.0.${rank}:1`);

const ENGINE: EngineInfo = {
  slots: 4,
  layers: 1,
  slotsPerRank: 3,
  mostNew: 2,
  copyMs: 100,
  expertGb: 2,
  stepMs: 5,
  perRequestMs: 1,
};

interface Play {
  readonly time: VirtualTime;
  readonly group: RankGroup;
  readonly metrics: Metrics;
  /** Agents that answer nothing and do nothing. */
  readonly frozen: Set<number>;
  readonly orders: RankOrder[];
}

/** A coordinator on each of the first agents of a group whose demand favours a few experts. */
function start(seed: number, coordinators: number): Play {
  const time = new VirtualTime();
  const random = seededRandom(seed);
  const group = new RankGroup(time, random, {
    ranks: RANKS,
    stepMs: 40,
    copyMs: 100,
    lateShare: () => 0,
    checksFences: true,
  });
  const frozen = new Set<number>();
  const orders: RankOrder[] = [];
  const metrics = new Metrics();
  /** The calls of a frozen agent to its engine stand still with it. */
  const frozenCalls = (rank: number): EngineCalls => {
    const calls = group.calls(rank);
    const awake = async (): Promise<void> => {
      while (frozen.has(rank)) await time.sleep(10);
    };
    return {
      ...calls,
      report: async () => {
        await awake();
        return calls.report();
      },
      command: async (...args) => {
        await awake();
        return calls.command(...args);
      },
    };
  };
  const makeGate = (rank: number, life: string, isOwn: boolean): RankGate =>
    new RankGate(
      asId(life),
      createSwitchEngine({
        calls: isOwn ? frozenCalls(rank) : group.calls(rank),
        clock: time,
        layers: () => 1,
        pause: time.sleep,
        isOwn,
      }),
      () => rank,
    );
  const gates = ADDRESSES.map((_, rank) => makeGate(rank, `own-${rank}`, true));
  /** Calls between agents; neither a frozen caller nor a frozen callee gets anywhere. */
  const callFrom = async (
    own: number,
    address: string,
    order: RankOrder,
    withinMs: number,
  ): Promise<RankReply> => {
    const rank = ADDRESSES.indexOf(address);
    await time.sleep(2);
    while (frozen.has(own)) await time.sleep(10);
    if (order.kind !== 'look') orders.push(order);
    const late = time.sleep(withinMs).then(() => Promise.reject(new Error('no answer in time')));
    late.catch(() => undefined);
    if (frozen.has(rank)) return late as Promise<never>;
    return Promise.race([(gates[rank] as RankGate).serve(order), late as Promise<never>]);
  };
  for (let own = 0; own < coordinators; own += 1) {
    const standIns = ADDRESSES.map((_, rank) => makeGate(rank, `stand-in-${own}-${rank}`, false));
    const task = new CoordinatorTask({
      self: ADDRESSES[own] as string,
      group: () => 'g',
      agents: () => ADDRESSES,
      noteReply: () => undefined,
      engine: () => ENGINE,
      call: (address, order, withinMs) => callFrom(own, address, order, withinMs),
      standIn: (address, order) => (standIns[ADDRESSES.indexOf(address)] as RankGate).serve(order),
      clock: time,
      pause: time.sleep,
      random,
      log: silentLog,
      metrics,
    });
    void task.run(() => !frozen.has(own), new AbortController().signal);
  }
  return { time, group, metrics, frozen, orders };
}

test('a skewed group gets new maps, and its steps never wait', async () => {
  const play = start(1, 1);
  await play.time.playUntil(20_000);
  assert.ok(play.metrics.value('switch_rounds_total', { end: 'switched' }) >= 1);
  assert.ok((play.group.maps()[0] ?? 0) > 0);
  assert.deepEqual(play.group.mixed, []);
  assert.ok(play.group.longestHoldMs <= 80, `${play.group.longestHoldMs} ms between two steps`);
});

test('an agent that freezes while its rank holds the group is acted for within 1.5 s', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const play = start(seed, 1);
    // Freeze a rank's agent the moment an arm order is on its way.
    while (!play.orders.some((order) => order.kind === 'arm'))
      await play.time.playUntil(play.time.nowMs() + 1);
    await play.time.playUntil(play.time.nowMs() + seed);
    play.frozen.add(2);
    await play.time.playUntil(play.time.nowMs() + 5000);
    assert.ok(play.group.longestHoldMs < 1500, `seed ${seed}: ${play.group.longestHoldMs} ms`);
    assert.deepEqual(play.group.mixed, [], `seed ${seed}`);
    // What it does when it wakes no longer counts.
    play.frozen.clear();
    const { step } = play.group;
    await play.time.playUntil(play.time.nowMs() + 5000);
    assert.deepEqual(play.group.mixed, [], `seed ${seed}`);
    assert.ok(play.group.step > step + 80, `seed ${seed}: ${play.group.step - step} steps`);
  }
});

test('a coordinator that freezes in a switch leaves no step waiting for long', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const play = start(seed, 2);
    while (!play.orders.some((order) => order.kind === 'arm'))
      await play.time.playUntil(play.time.nowMs() + 3);
    await play.time.playUntil(play.time.nowMs() + seed);
    play.frozen.add(0);
    await play.time.playUntil(play.time.nowMs() + 5000);
    assert.ok(play.group.longestHoldMs < 2000, `seed ${seed}: ${play.group.longestHoldMs} ms`);
    assert.deepEqual(play.group.mixed, [], `seed ${seed}`);
  }
});
