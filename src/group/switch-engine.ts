/**
 * Executes the phases of a map switch on one engine. An engine may leave an order unanswered and
 * execute it seconds later, so only the engine's own report counts as its result, and the orders of
 * each round carry a higher fence than all earlier ones: a late order is then rejected.
 *
 * The rank holds its group at the step of the switch before it arms, and releases it only at the
 * decision. A step therefore starts only when every rank has received the decision.
 */
import type { Clock } from '../core/clock/index.js';
import type {
  EngineOrder,
  EngineState,
  OrderOutcome,
  RankEngine,
  ReadOptions,
} from '../core/groups/index.js';
import type { CommandResult, EngineCalls, EngineCommand, EngineReport } from './engine-calls.js';

/**
 * Timeout of a prepare order until its effect is reported, ms; copying one expert takes 0.1 s,
 * three per layer 0.5 s.
 */
const PREPARE_TIMEOUT_MS = 4000;
/**
 * Timeout of any other order until its effect is reported, ms: the group may be stalled meanwhile.
 */
const ORDER_TIMEOUT_MS = 1500;
/** Interval between two reads of the report, ms. */
const REPORT_POLL_INTERVAL_MS = 12;
/**
 * The same while experts are copied, ms, which takes 0.25 to 0.65 s with 129 ranks: every 12 ms
 * would mean 20 to 50 reports per round at each agent, most of the cost of a round.
 */
const COPY_POLL_INTERVAL_MS = 40;

/**
 * A version that no round uses, since epochs start at `EPOCH_STRIDE`. The round's own version is
 * unsuitable: the order may be executed late, when that version is already armed at the other
 * ranks.
 */
const UNUSED_VERSION = 1;

/** Dependencies of a switch engine. */
export interface SwitchEngineDeps {
  readonly calls: EngineCalls;
  readonly clock: Clock;
  /** Layers of the engine's model; 0 while unknown. */
  readonly layers: () => number;
  /**
   * Whether the engine runs beside this process; only then are experts and counts cheap to read.
   */
  readonly isLocal: boolean;
  /** Waits between two reads, ms; tests may supply simulated time. */
  readonly pause: (ms: number) => Promise<void>;
}

/** Fence of a round's orders, and the higher one of the decision that ends it. */
const roundFence = (epoch: number): number => 2 * epoch;
const decisionFence = (epoch: number): number => 2 * epoch + 1;

/**
 * The open switch of the rank: held, armed, or both; identified by version, which is the epoch that
 * made it.
 */
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
 * Creates the engine of one rank, as used by its `SwitchParticipant`.
 * @example new SwitchParticipant(incarnation, createSwitchEngine(deps), () => 0)
 */
export function createSwitchEngine(deps: SwitchEngineDeps): RankEngine {
  const { calls, clock } = deps;
  let groupEpoch = 0;
  /** Start time of the engine process that was last fenced, Unix ms. */
  let fencedStartedAtMs = 0;
  /**
   * Whether an epoch has been fenced, in this engine process, that no earlier incarnation of this
   * agent used.
   */
  let hasClaimedEpoch = false;

  /**
   * Repeats an order until its effect shows in the report; `refused` if that does not happen in
   * time.
   */
  async function executeUntilApplied(
    command: EngineCommand,
    fence: number,
    timeoutMs: number,
    isApplied: (report: EngineReport, answer: CommandResult | undefined) => boolean,
  ): Promise<OrderOutcome> {
    const deadlineMs = clock.nowMs() + timeoutMs;
    let answer: CommandResult | undefined;
    while (clock.nowMs() < deadlineMs) {
      if (answer !== 'taken') answer = await calls.command(command, fence, groupEpoch);
      const report = await calls.report();
      if (!report.isGroupRunning || report.groupEpoch !== groupEpoch) return 'refused';
      if (isApplied(report, answer)) return 'done';
      if (answer === 'refused' || answer === 'fenced') return answer;
      await deps.pause(
        command.kind === 'prepare' ? COPY_POLL_INTERVAL_MS : REPORT_POLL_INTERVAL_MS,
      );
    }
    return 'refused';
  }

  /** Raises the engine's fence: disarming an unused version is accepted and changes nothing. */
  function raiseFence(to: number): Promise<OrderOutcome> {
    const command: EngineCommand = { kind: 'disarm', version: UNUSED_VERSION };
    return executeUntilApplied(command, to, ORDER_TIMEOUT_MS, (_, answer) => answer === 'taken');
  }

  /**
   * Fences a round. The first fence of an incarnation also ensures that no earlier one used this
   * epoch or a higher one: the engine may still hold what that incarnation prepared under this
   * round's version.
   */
  async function fence(epoch: number): Promise<OrderOutcome> {
    const report = await calls.report();
    if (!report.isGroupRunning) return 'refused';
    groupEpoch = report.groupEpoch;
    // A restarted engine has lost its fences, and with them the claimed epoch.
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

  async function arm(epoch: number, version: number, step: number): Promise<OrderOutcome> {
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

  /** Lets the group continue at this rank. */
  async function releaseHold(epoch: number, step: number): Promise<OrderOutcome> {
    const command: EngineCommand = { kind: 'go', step };
    return executeUntilApplied(
      command,
      decisionFence(epoch),
      ORDER_TIMEOUT_MS,
      (r) => r.heldStep !== step,
    );
  }

  async function confirm(epoch: number, target: number): Promise<OrderOutcome> {
    const report = await calls.report();
    if (report.groupEpoch !== groupEpoch) return 'refused';
    if (report.armed?.version !== target) return report.mapVersion >= target ? 'done' : 'refused';
    return report.heldStep === undefined ? 'done' : releaseHold(epoch, report.heldStep);
  }

  async function abort(epoch: number, target: number): Promise<OrderOutcome> {
    const before = await calls.report();
    if (before.groupEpoch !== groupEpoch) return 'refused';
    const version = before.armed?.version ?? target;
    // Once this is accepted, an arm order of this round still in transit is rejected by the higher
    // fence.
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

  async function order(order: EngineOrder): Promise<OrderOutcome> {
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

  async function read(wants: ReadOptions): Promise<EngineState> {
    const report = await calls.report();
    if (!report.isGroupRunning)
      throw new Error('engine reports that its group is broken: a rank is missing');
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
