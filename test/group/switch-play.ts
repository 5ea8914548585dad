/** Plays a group whose coordinators switch maps while things go wrong; in time of its own. */
import assert from 'node:assert/strict';
import { RankGroup, VirtualTime, type RankGroupOptions } from '../../fakes/rank-engine/index.js';
import { seededRandom } from '../../src/core/clock/index.js';
import {
  callEachRank,
  nextEpoch,
  RankGate,
  runSwitch,
  type RankOrder,
  type RankReply,
} from '../../src/core/groups/index.js';
import { asId } from '../../src/core/ids/index.js';
import { createSwitchEngine } from '../../src/group/switch-engine.js';

/** What goes wrong while switches are made. */
export interface Trouble {
  readonly lateShare: number;
  /** Share of calls between daemons that are lost, on the way there or back. */
  readonly lostShare: number;
  readonly restarts: boolean;
  readonly reforms: boolean;
  /** Whether all agents are killed at once now and then, so that nobody remembers any promise. */
  readonly killsAll: boolean;
  readonly coordinators: number;
}

export const CALM: Trouble = {
  lateShare: 0,
  lostShare: 0,
  restarts: false,
  reforms: false,
  killsAll: false,
  coordinators: 1,
};
const TROUBLE_MS = 30_000;
/** Orders are carried out 12 s late at most. */
const CALM_AFTER_MS = 24_000;
const RANKS = 3;

export interface Outcome {
  readonly group: RankGroup;
  readonly switched: number;
  readonly stepsAfter: number;
}

/** Plays one seed: trouble for half a minute, then none; coordinators go on all the while. */
export async function play(
  seed: number,
  trouble: Trouble,
  options: Partial<RankGroupOptions> = {},
): Promise<Outcome> {
  const time = new VirtualTime();
  const random = seededRandom(seed);
  const inTrouble = (): boolean => time.nowMs() < TROUBLE_MS;
  const group = new RankGroup(time, random, {
    ranks: RANKS,
    stepMs: 40,
    copyMs: 100,
    lateShare: () => (inTrouble() ? trouble.lateShare : 0),
    checksFences: true,
    ...options,
  });
  let lives = 0;
  const makeGate = (rank: number): RankGate => {
    lives += 1;
    const parts = {
      calls: group.calls(rank),
      clock: time,
      layers: () => 1,
      pause: time.sleep,
      isOwn: true,
    };
    return new RankGate(asId(`life-${lives}`), createSwitchEngine(parts), () => rank);
  };
  const gates = Array.from({ length: RANKS }, (_, rank) => makeGate(rank));
  const lost = (): boolean => inTrouble() && random() < trouble.lostShare;
  const call = async (rank: number, order: RankOrder): Promise<RankReply> => {
    const life = kills;
    await time.sleep(1 + random() * 4);
    if (lost()) throw new Error('lost on the way');
    // What a killed coordinator sent and nobody has read dies with its connections.
    if (life !== kills) throw new Error('the process was killed');
    const reply = await (gates[rank] as RankGate).serve(order);
    if (lost()) throw new Error('lost on the way back');
    return reply;
  };
  let switched = 0;
  let kills = 0;
  const coordinate = async (own: number): Promise<void> => {
    let highest = 0;
    const life = kills;
    for (;;) {
      await time.sleep(50 + random() * 200);
      if (life !== kills) return;
      const end = await runSwitch(
        {
          group: 'g',
          ranks: RANKS,
          callRanks: callEachRank(call),
          known: undefined,
          wantsCounts: false,
          marginSteps: () => 3,
        },
        nextEpoch(highest, own),
        (view) => ({ id: String(view.epoch), layers: [[[0], [1], [2, life]]] }),
      );
      highest = Math.max(nextEpoch(highest, own), end.kind === 'blocked' ? end.highest : 0);
      if (end.kind === 'switched') switched += 1;
    }
  };
  const startAll = (): void => {
    for (let own = 0; own < trouble.coordinators; own += 1) void coordinate(own);
  };
  startAll();
  const upset = (): void => {
    if (!inTrouble()) return;
    const rank = Math.floor(random() * RANKS);
    if (trouble.restarts) gates[rank] = makeGate(rank);
    if (trouble.reforms && random() < 0.3) group.reform();
    if (trouble.killsAll) {
      kills += 1;
      gates.forEach((_, each) => (gates[each] = makeGate(each)));
      startAll();
    }
    time.after(500 + random() * 4000, upset);
  };
  time.after(1000, upset);
  await time.playUntil(TROUBLE_MS + CALM_AFTER_MS / 2);
  const before = group.step;
  await time.playUntil(TROUBLE_MS + CALM_AFTER_MS);
  return { group, switched, stepsAfter: group.step - before };
}

/** Seeds that each kind of trouble is played with. */
const SEEDS = 25;
/** Least steps after the trouble: at 40 ms a step 12 s hold 300, and each switch may cost a step or two. */
const LEAST_STEPS_AFTER = 180;

/** Plays a kind of trouble with many seeds: no step begins with two maps, and the group goes on afterwards. */
export async function survives(trouble: Trouble): Promise<void> {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { group, stepsAfter } = await play(seed, trouble);
    assert.deepEqual(group.mixed, [], `seed ${seed}`);
    assert.ok(
      stepsAfter > LEAST_STEPS_AFTER,
      `seed ${seed}: ${stepsAfter} steps after the trouble`,
    );
  }
}
