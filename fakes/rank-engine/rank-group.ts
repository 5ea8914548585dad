/**
 * Simulated group of ranks that advance in lock-step and handle the orders of a map switch as the
 * platform's engines do: versions only increase, orders are fenced, a hold never expires, and some
 * orders get no answer and are executed seconds later. It records every step that started with
 * different maps.
 */
import type {
  CommandResult,
  EngineCalls,
  EngineCommand,
  EngineReport,
} from '../../src/group/engine-calls.js';

/** Clock and timers of the group, virtual or real. */
export interface GroupTime {
  nowMs(): number;
  /** Calls `run` after `ms`. */
  after(ms: number, run: () => void): void;
  sleep(ms: number): Promise<void>;
}

/** Options of a simulated group. */
export interface RankGroupOptions {
  readonly ranks: number;
  readonly stepMs: number;
  readonly copyMs: number;
  /** Share of orders that get no answer and are executed late. */
  readonly lateShare: () => number;
  /** Whether fences are checked; false only to show why they must be. */
  readonly checksFences: boolean;
  /** Time after which an agent treats its order as unanswered, ms. */
  readonly answerTimeoutMs?: number | undefined;
  /** Number of steps after which demand shifts to the next expert; never if omitted. */
  readonly shiftSteps?: number | undefined;
}

/** The map of one rank; equal versions do not imply equal contents. */
interface HeldMap {
  readonly version: number;
  /** Experts by rank, for the only layer of the group. */
  readonly experts: readonly (readonly number[])[];
}

interface Rank {
  /** Start of its engine on the group's clock, ms. */
  readonly startedAtMs: number;
  map: HeldMap;
  /** Map that is prepared or whose experts are being copied. */
  nextMap: HeldMap | undefined;
  /** Version of the map whose experts are completely copied. */
  preparedVersion: number | undefined;
  highestVersion: number;
  armed: { version: number; step: number } | undefined;
  heldStep: number | undefined;
  fence: number;
}

/** Tokens per step for each expert, before demand first shifts. */
const DEMAND = [500, 20, 10];
const ANSWER_MS = 3;
/** Pace that a slow rank reports. */
const SLOW_PACE = 4;
const DEFAULT_ANSWER_TIMEOUT_MS = 250;
/** Limit to the number of steps that one delayed tick adds to a hold. */
const MAX_TICKS_COUNTED = 4;
const LATE_ORDER_MS = { min: 2000, max: 12_000 };

const newRank = (startedAtMs: number): Rank => ({
  startedAtMs,
  map: { version: 0, experts: [] },
  nextMap: undefined,
  preparedVersion: undefined,
  highestVersion: 0,
  armed: undefined,
  heldStep: undefined,
  fence: 0,
});

/** A simulated group of ranks. */
export class RankGroup {
  /** Steps that started while maps of the ranks differed by version or by contents. */
  readonly mixedSteps: number[] = [];
  /** Ranks that report a slow pace. */
  readonly slowRanks = new Set<number>();
  step = 0;
  epoch = 1;
  private maxHoldMs = 0;
  private currentHoldMs = 0;
  private lastTickAtMs = 0;
  private ranks: Rank[];

  constructor(
    private readonly time: GroupTime,
    private readonly random: () => number,
    private readonly options: RankGroupOptions,
  ) {
    this.ranks = Array.from({ length: options.ranks }, () => newRank(time.nowMs()));
    this.time.after(options.stepMs, () => this.tick());
  }

  /** Longest time between two steps due to a hold, ms; includes a hold in progress. */
  get longestHoldMs(): number {
    return this.maxHoldMs;
  }

  /** Starts the group again in a new epoch, as when its engines restart under the same IDs. */
  reform(): void {
    this.epoch += 1;
    this.ranks = this.ranks.map(() => newRank(this.time.nowMs()));
  }

  /** Map versions in use, by rank. */
  maps(): number[] {
    return this.ranks.map((rank) => rank.map.version);
  }

  private tick(): void {
    this.time.after(this.options.stepMs, () => this.tick());
    const elapsedMs = this.time.nowMs() - this.lastTickAtMs;
    this.lastTickAtMs = this.time.nowMs();
    if (this.ranks.some((rank) => rank.heldStep === this.step + 1))
      return this.recordHold(elapsedMs);
    this.currentHoldMs = 0;
    this.step += 1;
    for (const rank of this.ranks) {
      if (rank.armed?.step !== this.step) continue;
      if (rank.nextMap) rank.map = rank.nextMap;
      rank.armed = undefined;
    }
    if (new Set(this.ranks.map((rank) => JSON.stringify(rank.map))).size > 1)
      this.mixedSteps.push(this.step);
  }

  /**
   * Adds the time since the last tick to the current hold. The part counted is limited, since a much
   * delayed tick means that this process stalled, not the group.
   */
  private recordHold(elapsedMs: number): void {
    this.currentHoldMs += Math.min(elapsedMs, MAX_TICKS_COUNTED * this.options.stepMs);
    this.maxHoldMs = Math.max(this.maxHoldMs, this.options.stepMs + this.currentHoldMs);
  }

  /** Engine calls for the agent of one rank. */
  calls(index: number): EngineCalls {
    const currentRank = (): Rank => this.ranks[index] as Rank;
    return {
      report: async () => {
        await this.time.sleep(ANSWER_MS);
        const rank = currentRank();
        const report: EngineReport = {
          group: 'g',
          startedAtMs: rank.startedAtMs,
          groupEpoch: this.epoch,
          rank: index,
          ranks: this.options.ranks,
          isGroupRunning: true,
          pace: this.slowRanks.has(index) ? SLOW_PACE : 1,
          running: 1,
          queued: 0,
          step: this.step,
          mapVersion: rank.map.version,
          preparedVersion: rank.preparedVersion,
          armed: rank.armed && { ...rank.armed },
          heldStep: rank.heldStep,
        };
        return report;
      },
      placed: () => Promise.resolve([this.expertsOf(index)]),
      // Demand favours one expert, ever more with each step; the first rank reports all counts.
      picked: () =>
        Promise.resolve([index === 0 ? this.countTokensByExpert() : DEMAND.map(() => 0)]),
      command: async (command, fence, epoch) => {
        if (this.random() < this.options.lateShare()) {
          const delayMs =
            LATE_ORDER_MS.min + this.random() * (LATE_ORDER_MS.max - LATE_ORDER_MS.min);
          this.time.after(delayMs, () => this.execute(index, command, fence, epoch));
          await this.time.sleep(this.options.answerTimeoutMs ?? DEFAULT_ANSWER_TIMEOUT_MS);
          return 'unanswered';
        }
        await this.time.sleep(ANSWER_MS);
        return this.execute(index, command, fence, epoch);
      },
    };
  }

  /** Tokens of all steps so far, by expert. */
  private countTokensByExpert(): number[] {
    const { shiftSteps = Number.POSITIVE_INFINITY } = this.options;
    const counts = DEMAND.map(() => 0);
    for (let shifts = 0; shifts * shiftSteps < this.step || shifts === 0; shifts += 1) {
      const steps = Math.min(shiftSteps, this.step - (shifts === 0 ? 0 : shifts * shiftSteps));
      DEMAND.forEach((tokens, i) => {
        const expert = (i + shifts) % DEMAND.length;
        counts[expert] = (counts[expert] ?? 0) + tokens * steps;
      });
    }
    return counts;
  }

  /** Experts of a rank; in the first map, each rank holds the expert with its own index. */
  private expertsOf(index: number): number[] {
    const { map } = this.ranks[index] as Rank;
    return [...(map.experts[index] ?? [index])];
  }

  private execute(
    index: number,
    command: EngineCommand,
    fence: number,
    epoch: number,
  ): CommandResult {
    const rank = this.ranks[index] as Rank;
    if (epoch !== this.epoch) return 'refused';
    if (this.options.checksFences && fence < rank.fence) return 'fenced';
    if (!this.isValid(rank, command)) return 'refused';
    rank.fence = Math.max(rank.fence, fence);
    this.apply(rank, command);
    return 'taken';
  }

  private isValid(rank: Rank, command: EngineCommand): boolean {
    switch (command.kind) {
      case 'prepare':
        if (command.version === rank.preparedVersion) return true;
        return command.version > rank.highestVersion && !rank.armed;
      case 'arm':
        if (rank.armed)
          return rank.armed.version === command.version && rank.armed.step === command.step;
        return command.version === rank.preparedVersion && command.step > this.step;
      case 'disarm':
        return command.version !== rank.map.version;
      case 'hold':
        return command.step > this.step;
      case 'go':
        return true;
    }
  }

  private apply(rank: Rank, command: EngineCommand): void {
    if (command.kind === 'prepare') {
      if (command.version === rank.highestVersion) return;
      rank.highestVersion = command.version;
      rank.nextMap = { version: command.version, experts: command.layers[0] ?? [] };
      rank.preparedVersion = undefined;
      const { epoch } = this;
      this.time.after(this.options.copyMs, () => {
        if (this.epoch === epoch && rank.highestVersion === command.version)
          rank.preparedVersion = command.version;
      });
    }
    if (command.kind === 'arm') rank.armed = { version: command.version, step: command.step };
    if (command.kind === 'disarm' && rank.armed?.version === command.version)
      rank.armed = undefined;
    if (command.kind === 'hold') rank.heldStep = command.step;
    if (command.kind === 'go' && rank.heldStep === command.step) rank.heldStep = undefined;
  }
}
