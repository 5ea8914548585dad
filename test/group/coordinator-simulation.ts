/**
 * Simulates the coordinators of one group: agents that may freeze, with engines that step in
 * lock-step.
 */
import { RankGroup, VirtualTime } from '../../fakes/rank-engine/index.js';
import { seededRandom } from '../../src/core/clock/index.js';
import { SwitchParticipant, type RankOrder, type RankReply } from '../../src/core/groups/index.js';
import { asId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import type { EngineInfo } from '../../src/core/published/index.js';
import { CoordinatorTask } from '../../src/group/coordinator-task.js';
import type { EngineCalls } from '../../src/group/engine-calls.js';
import { FanOut, serveBranch, type CallAgent } from '../../src/group/fan-out.js';
import { AgentLink } from './agent-link.js';
import { CoordinatorElection } from '../../src/group/coordinator-election.js';
import { createSwitchEngine } from '../../src/group/switch-engine.js';

const ENGINE: EngineInfo = {
  slots: 4,
  layers: 1,
  slotsPerRank: 3,
  maxNewPerRankAndLayer: 2,
  copyMs: 100,
  expertGb: 2,
  stepMs: 5,
  perRequestMs: 1,
  stepsPerPass: 1,
  promptTokensPerMs: 0,
};

/** Parameters of a simulated group. */
export interface CoordinatorSimulationOptions {
  readonly seed: number;
  readonly ranks: number;
  /** Number of agents that may coordinate, from rank 0 on. */
  readonly coordinators: number;
  /** Duration of a step and of a round's copies, ms. */
  readonly stepMs: number;
  readonly copyMs: number;
  /** Fraction of orders that engines leave unanswered and execute late. */
  readonly lateShare: number;
  /** Time until an unanswered order fails, ms. */
  readonly replyTimeoutMs?: number;
  /** Steps between demand shifts; no shifts if omitted. */
  readonly shiftSteps?: number;
  /** Time that the agent of a rank takes to execute an order, ms. */
  readonly orderMs?: (rank: number, nowMs: number) => number;
  /** Bandwidth of an agent's link in each direction, bytes per ms; unlimited if omitted. */
  readonly linkBytesPerMs?: number;
  /** CPU time an agent takes to send a call, ms. */
  readonly callMs?: number;
  /** Size of a complete map on a link, to simulate a larger model; its actual size if omitted. */
  readonly mapBytes?: number;
  /**
   * Whether agents elect a coordinator by takeover timeout; otherwise all of them coordinate from
   * the start.
   */
  readonly usesElection: boolean;
}

/** A running simulation. */
export interface CoordinatorSimulation {
  readonly time: VirtualTime;
  readonly group: RankGroup;
  readonly metrics: Metrics;
  /** Ranks whose agents are frozen: they send and answer nothing. */
  readonly frozen: Set<number>;
  readonly orders: RankOrder[];
  /** Ranks whose agents currently coordinate. */
  coordinating(): number[];
}

/** Starts coordinators on the first agents of a group whose demand favours a few experts. */
export function startCoordinators(options: CoordinatorSimulationOptions): CoordinatorSimulation {
  const addresses = Array.from(
    { length: options.ranks },
    (_, rank) => `10.0.0.${String(rank).padStart(3, '0')}:1`,
  );
  const time = new VirtualTime();
  const random = seededRandom(options.seed);
  const group = new RankGroup(time, random, {
    ranks: options.ranks,
    stepMs: options.stepMs,
    copyMs: options.copyMs,
    lateShare: () => options.lateShare,
    checksFences: true,
    answerTimeoutMs: options.replyTimeoutMs,
    shiftSteps: options.shiftSteps,
  });
  const frozen = new Set<number>();
  const orders: RankOrder[] = [];
  const metrics = new Metrics();
  /** While an agent is frozen, its calls to its engine are frozen too. */
  const frozenCalls = (rank: number): EngineCalls => {
    const calls = group.calls(rank);
    const waitWhileFrozen = async (): Promise<void> => {
      while (frozen.has(rank)) await time.sleep(10);
    };
    return {
      ...calls,
      report: async () => {
        await waitWhileFrozen();
        return calls.report();
      },
      command: async (...args) => {
        await waitWhileFrozen();
        return calls.command(...args);
      },
    };
  };
  const makeGate = (rank: number, incarnation: string, isLocal: boolean): SwitchParticipant =>
    new SwitchParticipant(
      asId(incarnation),
      createSwitchEngine({
        calls: isLocal ? frozenCalls(rank) : group.calls(rank),
        clock: time,
        layers: () => 1,
        pause: time.sleep,
        isLocal,
      }),
      () => rank,
    );
  const gates = addresses.map((_, rank) => makeGate(rank, `own-${rank}`, true));
  /** Network links of the agents, by rank. */
  const links = addresses.map(() => new AgentLink(time, options));
  /**
   * Exchanges a message and its reply between two agents; a frozen agent neither sends nor answers.
   */
  const exchange = async <T>(
    from: number,
    to: number,
    message: unknown,
    timeoutMs: number,
    serve: () => Promise<T>,
  ): Promise<T> => {
    const timeout = time
      .sleep(timeoutMs)
      .then(() => Promise.reject(new Error('timed out waiting for a reply')));
    timeout.catch(() => undefined);
    const exchanged = async (): Promise<T> => {
      await time.sleep(2);
      while (frozen.has(from)) await time.sleep(10);
      if (from !== to) await links[from]?.send(message);
      if (frozen.has(to)) return timeout as Promise<never>;
      const answer = await serve();
      if (from !== to) await links[to]?.answer(answer, links[from] as AgentLink);
      return answer;
    };
    return Promise.race([exchanged(), timeout as Promise<never>]);
  };
  const serveRank = async (rank: number, order: RankOrder): Promise<RankReply> => {
    if (order.kind === 'look' && order.from !== undefined) elections[rank]?.recordPoll(order.from);
    await time.sleep(order.kind === 'look' ? 0 : (options.orderMs?.(rank, time.nowMs()) ?? 0));
    const reply = await (gates[rank] as SwitchParticipant).serve(order);
    return { ...reply, heard: elections[rank]?.recentPollerExcept(order.from) };
  };
  const callFrom =
    (caller: number): CallAgent =>
    (address, order, timeoutMs) => {
      const rank = addresses.indexOf(address);
      if (order.kind !== 'look') orders.push(order);
      return exchange(caller, rank, order, timeoutMs, () => serveRank(rank, order));
    };
  const fanOuts = addresses.map(
    (self, caller) =>
      new FanOut({
        self,
        clock: time,
        call: callFrom(caller),
        callBranch: (forwarder, branch, timeoutMs) => {
          const rank = addresses.indexOf(forwarder);
          return exchange(caller, rank, branch, timeoutMs, () =>
            serveBranch(callFrom(rank), branch),
          );
        },
      }),
  );
  const elections = addresses.map(
    (self, rank) =>
      new CoordinatorElection({
        self,
        rank: () => rank,
        size: () => options.ranks,
        clock: time,
        log: silentLog,
        metrics,
      }),
  );
  const mayCoordinate = (rank: number): boolean =>
    rank < options.coordinators &&
    !frozen.has(rank) &&
    (!options.usesElection || (elections[rank] as CoordinatorElection).isCandidate());
  for (let coordinator = 0; coordinator < options.coordinators; coordinator += 1) {
    const directGates = addresses.map((_, rank) =>
      makeGate(rank, `stand-in-${coordinator}-${rank}`, false),
    );
    const task = new CoordinatorTask({
      self: addresses[coordinator] as string,
      group: () => 'g',
      agents: () => addresses,
      onReply: (_, reply) => elections[coordinator]?.recordReply(reply),
      engine: () => ENGINE,
      callAll: (...args) => (fanOuts[coordinator] as FanOut).callAll(...args),
      callEngineDirectly: (address, order) =>
        (directGates[addresses.indexOf(address)] as SwitchParticipant).serve(order),
      clock: time,
      pause: time.sleep,
      random,
      log: silentLog,
      metrics,
    });
    const role = {
      isCandidate: () => mayCoordinate(coordinator),
      shouldCoordinate: () =>
        mayCoordinate(coordinator) &&
        (!options.usesElection ||
          (elections[coordinator] as CoordinatorElection).shouldCoordinate()),
    };
    void task.run(role, new AbortController().signal);
  }
  return {
    time,
    group,
    metrics,
    frozen,
    orders,
    coordinating: () => addresses.map((_, rank) => rank).filter(mayCoordinate),
  };
}
