/**
 * Carries the steps of a map switch out on one engine. An engine may leave an order unanswered and carry
 * it out seconds later, so the engine's own report is the answer that counts, and each round's orders
 * carry a fence above those of all earlier ones: a late order then meets a higher fence and does nothing.
 *
 * The rank holds its group at the step of the switch before it arms, and lets go only at the decision. A
 * step therefore begins only when every rank has been told what was decided.
 */
import type { Clock } from '../core/clock/index.js';
import type {
  EngineOrder,
  EngineState,
  OrderEnd,
  RankEngine,
  ReadWants,
} from '../core/groups/index.js';
import type { CommandAnswer, EngineCalls, EngineCommand, EngineReport } from './engine-calls.js';

/** Time for an order and its proof, ms; a copy of one expert takes 0.1 s, three in each layer 0.5 s. */
const PREPARE_TIMEOUT_MS = 4000;
/** Time for any other order and its proof, ms: the group may stand still meanwhile. */
const ORDER_TIMEOUT_MS = 1500;
/** Pause between two looks at a report, ms. */
const REPORT_POLL_INTERVAL_MS = 12;
/**
 * The same while experts are copied, ms, which takes 0.25 to 0.65 s with 129 ranks: looked at each 12 ms, that was 20 to 50
 * reports a round at each agent, most of what a round cost them all.
 */
const COPY_POLL_INTERVAL_MS = 40;

/**
 * A version that no round makes, since epochs begin at `EPOCH_STRIDE`. The round's own version would not
 * do: the order may be carried out late, when that version is armed at the other ranks too.
 */
const UNUSED_VERSION = 1;

/** What the steps of a switch need. */
export interface SwitchEngineDeps {
  readonly calls: EngineCalls;
  readonly clock: Clock;
  /** Layers of the engine's model; 0 while they are not known. */
  readonly layers: () => number;
  /** Whether the engine stands beside this process; what it tells costs nothing only then. */
  readonly isLocal: boolean;
  /** Waits between two looks, ms; a test may bring its own time. */
  readonly pause: (ms: number) => Promise<void>;
}

/** Orders of a round, and the decision that ends it, in rising order. */
const roundFence = (epoch: number): number => 2 * epoch;
const decisionFence = (epoch: number): number => 2 * epoch + 1;

/** What is open at the rank: held, armed, or both; told by version, which is the epoch that made it. */
function openSwitchOf(report: EngineReport): EngineState['armed'] {
  const { armed, heldStep } = report;
  const step = heldStep ?? armed?.step;
  if (step === undefined) return undefined;
  const epoch = armed?.version ?? report.preparedVersion ?? 0;
  return {
    epoch,
    mapId: String(epoch),
    step,
    confirmed: armed !== undefined && heldStep === undefined,
  };
}

/**
 * The engine of one rank, as the gate of the switch uses it.
 * @example new RankGate(incarnation, createSwitchEngine(parts), () => 0)
 */
export function createSwitchEngine(deps: SwitchEngineDeps): RankEngine {
  const { calls, clock } = deps;
  let groupEpoch = 0;
  /** Start of the engine's process that was fenced last, Unix ms. */
  let fencedStartedAtMs = 0;
  /** Whether an epoch has been fenced, in this life of the engine, that no earlier life of this agent took. */
  let hasClaimedEpoch = false;

  /** Gives an order until its proof shows in the report; `refused` when it cannot be had in time. */
  async function executeUntilApplied(
    command: EngineCommand,
    fence: number,
    timeoutMs: number,
    isApplied: (report: EngineReport, answer: CommandAnswer | undefined) => boolean,
  ): Promise<OrderEnd> {
    const deadlineMs = clock.nowMs() + timeoutMs;
    let answer: CommandAnswer | undefined;
    while (clock.nowMs() < deadlineMs) {
      if (answer !== 'taken') answer = await calls.command(command, fence, groupEpoch);
      const report = await calls.report();
      if (!report.isOpen || report.groupEpoch !== groupEpoch) return 'refused';
      if (isApplied(report, answer)) return 'done';
      if (answer === 'refused' || answer === 'fenced') return answer;
      await deps.pause(
        command.kind === 'prepare' ? COPY_POLL_INTERVAL_MS : REPORT_POLL_INTERVAL_MS,
      );
    }
    return 'refused';
  }

  /** Raises the engine's fence: disarming a version that no round makes is taken and changes nothing. */
  function raiseFence(to: number): Promise<OrderEnd> {
    const command: EngineCommand = { kind: 'disarm', version: UNUSED_VERSION };
    return executeUntilApplied(command, to, ORDER_TIMEOUT_MS, (_, answer) => answer === 'taken');
  }

  /**
   * Fences a round. The first one of a life also proves that no earlier life took its epoch, or a higher
   * one: the engine may still hold ready what that life prepared, under the version of this round.
   */
  async function fence(epoch: number): Promise<OrderEnd> {
    const report = await calls.report();
    if (!report.isOpen) return 'refused';
    groupEpoch = report.groupEpoch;
    // An engine that started again has forgotten its fences, and with them what was claimed.
    if (report.startedAtMs !== fencedStartedAtMs) hasClaimedEpoch = false;
    fencedStartedAtMs = report.startedAtMs;
    if (!hasClaimedEpoch) {
      const claimed = await raiseFence(roundFence(epoch) - 1);
      if (claimed !== 'done') return claimed;
    }
    const raised = await raiseFence(roundFence(epoch));
    hasClaimedEpoch ||= raised === 'done';
    return raised;
  }

  async function arm(epoch: number, version: number, step: number): Promise<OrderEnd> {
    const fence = roundFence(epoch);
    const held = await executeUntilApplied(
      { kind: 'hold', step },
      fence,
      ORDER_TIMEOUT_MS,
      (r) => r.heldStep === step,
    );
    if (held !== 'done') return held;
    return executeUntilApplied(
      { kind: 'arm', version, step },
      fence,
      ORDER_TIMEOUT_MS,
      (r) => r.armed?.version === version && r.armed.step === step,
    );
  }

  /** Lets the group go on at this rank. */
  async function releaseHold(epoch: number, step: number): Promise<OrderEnd> {
    const command: EngineCommand = { kind: 'go', step };
    return executeUntilApplied(
      command,
      decisionFence(epoch),
      ORDER_TIMEOUT_MS,
      (r) => r.heldStep !== step,
    );
  }

  async function confirm(epoch: number, target: number): Promise<OrderEnd> {
    const report = await calls.report();
    if (report.groupEpoch !== groupEpoch) return 'refused';
    if (report.armed?.version !== target) return report.mapVersion >= target ? 'done' : 'refused';
    return report.heldStep === undefined ? 'done' : releaseHold(epoch, report.heldStep);
  }

  async function abort(epoch: number, target: number): Promise<OrderEnd> {
    const before = await calls.report();
    if (before.groupEpoch !== groupEpoch) return 'refused';
    const version = before.armed?.version ?? target;
    // Once this is taken, an arm of this round that is still on its way meets a higher fence.
    const disarmed = await executeUntilApplied(
      { kind: 'disarm', version },
      decisionFence(epoch),
      ORDER_TIMEOUT_MS,
      (r, answer) => answer === 'taken' && r.armed === undefined,
    );
    if (disarmed !== 'done') return disarmed;
    const report = await calls.report();
    return report.heldStep === undefined ? 'done' : releaseHold(epoch, report.heldStep);
  }

  async function order(order: EngineOrder): Promise<OrderEnd> {
    switch (order.kind) {
      case 'fence':
        return fence(order.epoch);
      case 'load': {
        const version = Number(order.map.id);
        return executeUntilApplied(
          { kind: 'prepare', version, layers: order.map.layers },
          roundFence(order.epoch),
          PREPARE_TIMEOUT_MS,
          (r) => r.preparedVersion === version,
        );
      }
      case 'arm':
        return arm(order.epoch, Number(order.map.id), order.step);
      case 'confirm':
        return confirm(order.epoch, order.target);
      case 'abort':
        return abort(order.epoch, order.target);
    }
  }

  async function read(wants: ReadWants): Promise<EngineState> {
    const report = await calls.report();
    if (!report.isOpen) throw new Error('the group is broken: a rank is missing');
    const openSwitch = openSwitchOf(report);
    const mapId = String(report.mapVersion);
    const state: EngineState = {
      step: report.step,
      map: { id: mapId, layers: [] },
      armed: openSwitch,
      lastConfirmed: Math.max(report.mapVersion, openSwitch?.confirmed ? openSwitch.epoch : 0),
      preparedEpoch: report.preparedVersion ?? 0,
      group: report.group,
      rank: report.rank,
      ...(report.ranks !== undefined && { ranks: report.ranks }),
      pace: report.pace,
      running: report.running,
      queued: report.queued,
      groupEpoch: report.groupEpoch,
      engineStartedAtMs: report.startedAtMs,
    };
    if (!deps.isLocal) return state;
    const wantsPlaced = wants.placed && !wants.knownMapIds.includes(mapId);
    const placed = wantsPlaced ? await calls.placed() : undefined;
    const layers = deps.layers();
    const picked = wants.counts && layers > 0 ? await calls.picked(layers) : undefined;
    return { ...state, ...(placed && { placed }), ...(picked && { picked }) };
  }

  return { read, order };
}
