/** Simulates a group whose coordinators switch maps under injected faults, in virtual time. */
import assert from 'node:assert/strict';
import { RankGroup, VirtualTime, type RankGroupOptions } from '../../fakes/rank-engine/index.js';
import { seededRandom } from '../../src/core/clock/index.js';
import {
  callEachRank,
  nextEpoch,
  SwitchParticipant,
  runSwitch,
  type RankOrder,
  type RankReply,
} from '../../src/core/groups/index.js';
import { asId } from '../../src/core/ids/index.js';
import { createSwitchEngine } from '../../src/group/switch-engine.js';

/** Faults injected while maps are switched. */
export interface Faults {
  readonly lateShare: number;
  /** Fraction of calls between agents whose request or reply is lost. */
  readonly lostShare: number;
  readonly restartsAgents: boolean;
  readonly reformsGroup: boolean;
  /** Whether all agents are killed at once from time to time, so that no promise is remembered. */
  readonly killsAllAgents: boolean;
  readonly coordinators: number;
}

export const NO_FAULTS: Faults = {
  lateShare: 0,
  lostShare: 0,
  restartsAgents: false,
  reformsGroup: false,
  killsAllAgents: false,
  coordinators: 1,
};
const FAULT_PHASE_MS = 30_000;
/** Orders are executed at most 12 s late. */
const RECOVERY_PHASE_MS = 24_000;
const RANKS = 3;

export interface SimulationResult {
  readonly group: RankGroup;
  readonly switched: number;
  readonly stepsAfter: number;
}

/** Simulates one seed: 30 s with faults, then 24 s without; coordinators run throughout. */
export async function simulate(
  seed: number,
  faults: Faults,
  options: Partial<RankGroupOptions> = {},
): Promise<SimulationResult> {
  const time = new VirtualTime();
  const random = seededRandom(seed);
  const inFaultPhase = (): boolean => time.nowMs() < FAULT_PHASE_MS;
  const group = new RankGroup(time, random, {
    ranks: RANKS,
    stepMs: 40,
    copyMs: 100,
    lateShare: () => (inFaultPhase() ? faults.lateShare : 0),
    checksFences: true,
    ...options,
  });
  let gateCount = 0;
  const makeGate = (rank: number): SwitchParticipant => {
    gateCount += 1;
    const deps = {
      calls: group.calls(rank),
      clock: time,
      layers: () => 1,
      pause: time.sleep,
      isLocal: true,
    };
    return new SwitchParticipant(
      asId(`incarnation-${gateCount}`),
      createSwitchEngine(deps),
      () => rank,
    );
  };
  const gates = Array.from({ length: RANKS }, (_, rank) => makeGate(rank));
  const isLost = (): boolean => inFaultPhase() && random() < faults.lostShare;
  const call = async (rank: number, order: RankOrder): Promise<RankReply> => {
    const killsAtSend = kills;
    await time.sleep(1 + random() * 4);
    if (isLost()) throw new Error('request lost');
    // A request of a killed coordinator that has not been read is lost with its connection.
    if (killsAtSend !== kills) throw new Error('the process was killed');
    const reply = await (gates[rank] as SwitchParticipant).serve(order);
    if (isLost()) throw new Error('reply lost');
    return reply;
  };
  let switched = 0;
  let kills = 0;
  const coordinate = async (coordinator: number): Promise<void> => {
    let highestEpoch = 0;
    const killsAtStart = kills;
    for (;;) {
      await time.sleep(50 + random() * 200);
      if (killsAtStart !== kills) return;
      const end = await runSwitch(
        {
          group: 'g',
          ranks: RANKS,
          callRanks: callEachRank(call),
          known: undefined,
          wantsCounts: false,
          marginSteps: () => 3,
        },
        nextEpoch(highestEpoch, coordinator),
        (view) => ({ id: String(view.epoch), layers: [[[0], [1], [2, killsAtStart]]] }),
      );
      highestEpoch = Math.max(
        nextEpoch(highestEpoch, coordinator),
        end.kind === 'blocked' ? end.highest : 0,
      );
      if (end.kind === 'switched') switched += 1;
    }
  };
  const startAll = (): void => {
    for (let coordinator = 0; coordinator < faults.coordinators; coordinator += 1)
      void coordinate(coordinator);
  };
  startAll();
  const injectFaults = (): void => {
    if (!inFaultPhase()) return;
    const rank = Math.floor(random() * RANKS);
    if (faults.restartsAgents) gates[rank] = makeGate(rank);
    if (faults.reformsGroup && random() < 0.3) group.reform();
    if (faults.killsAllAgents) {
      kills += 1;
      gates.forEach((_, each) => (gates[each] = makeGate(each)));
      startAll();
    }
    time.after(500 + random() * 4000, injectFaults);
  };
  time.after(1000, injectFaults);
  await time.runUntil(FAULT_PHASE_MS + RECOVERY_PHASE_MS / 2);
  const before = group.step;
  await time.runUntil(FAULT_PHASE_MS + RECOVERY_PHASE_MS);
  return { group, switched, stepsAfter: group.step - before };
}

/** Number of seeds simulated for each kind of fault. */
const SEEDS = 25;
/**
 * Minimum number of steps after the faults: 12 s hold 300 steps of 40 ms, and each switch may cost
 * one or two.
 */
const MIN_STEPS_AFTER = 180;

/**
 * Asserts for many seeds that no step starts with mixed maps and that the group continues after the
 * faults.
 */
export async function assertRecovers(faults: Faults): Promise<void> {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { group, stepsAfter } = await simulate(seed, faults);
    assert.deepEqual(group.mixedSteps, [], `seed ${seed}`);
    assert.ok(stepsAfter > MIN_STEPS_AFTER, `seed ${seed}: ${stepsAfter} steps after the faults`);
  }
}
