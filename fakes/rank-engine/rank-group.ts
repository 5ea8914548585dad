/**
 * Stand-in of a group of ranks that steps in lock-step and takes the orders of a map switch as the
 * platform's engines do: versions that only rise, fences, a hold that does not lapse, orders that get no
 * answer and are carried out seconds later. It notes every step that began with different maps.
 */
import type {
  CommandResult,
  EngineCalls,
  EngineCommand,
  EngineReport,
} from '../../src/group/engine-calls.js';

/** Time as the group needs it: played or real. */
export interface GroupTime {
  nowMs(): number;
  /** Calls back after so many ms. */
  after(ms: number, run: () => void): void;
  sleep(ms: number): Promise<void>;
}

/** How the group behaves. */
export interface RankGroupOptions {
  readonly ranks: number;
  readonly stepMs: number;
  readonly copyMs: number;
  /** Share of orders that get no answer and are carried out late. */
  readonly lateShare: () => number;
  /** Whether fences are checked; off only to show that they must be. */
  readonly checksFences: boolean;
  /** Time until an order that is left unanswered counts as such for its agent, ms. */
  readonly noAnswerMs?: number | undefined;
  /** Steps after which demand shifts to the next expert; never where left out. */
  readonly shiftSteps?: number | undefined;
}

/** A map as one rank holds it: its version says nothing of its contents. */
interface HeldMap {
  readonly version: number;
  /** Experts by rank; the group has one layer. */
  readonly experts: readonly (readonly number[])[];
}

interface Rank {
  /** When its engine started, ms of the group's time. */
  readonly startedAtMs: number;
  map: HeldMap;
  /** What is prepared, or is being copied. */
  next: HeldMap | undefined;
  /** Version whose experts have been copied. */
  prepared: number | undefined;
  highest: number;
  armed: { version: number; step: number } | undefined;
  held: number | undefined;
  fence: number;
}

/** Tokens of one step for each expert, before demand first shifts. */
const DEMAND = [500, 20, 10];
const ANSWER_MS = 3;
const NO_ANSWER_MS = 250;
/** Ticks that a late one counts for at most. */
const MOST_TICKS = 4;
const LATE_MS = { least: 2000, most: 12_000 };

const fresh = (startedAtMs: number): Rank => ({
  startedAtMs,
  map: { version: 0, experts: [] },
  next: undefined,
  prepared: undefined,
  highest: 0,
  armed: undefined,
  held: undefined,
  fence: 0,
});

/** A group of ranks. */
export class RankGroup {
  /** Steps that began with maps that differ by version or by contents. */
  readonly mixed: number[] = [];
  step = 0;
  epoch = 1;
  private longestMs = 0;
  private heldMs = 0;
  private lastTickMs = 0;
  private ranks: Rank[];

  constructor(
    private readonly time: GroupTime,
    private readonly random: () => number,
    private readonly options: RankGroupOptions,
  ) {
    this.ranks = Array.from({ length: options.ranks }, () => fresh(time.nowMs()));
    this.time.after(options.stepMs, () => this.tick());
  }

  /** Longest time between two steps while ranks held theirs, ms; a hold that goes on counts so far. */
  get longestHoldMs(): number {
    return this.longestMs;
  }

  /** Forms the group anew, as after its engines started again under the ids that they had. */
  reform(): void {
    this.epoch += 1;
    this.ranks = this.ranks.map(() => fresh(this.time.nowMs()));
  }

  /** Versions in use, by rank. */
  maps(): number[] {
    return this.ranks.map((rank) => rank.map.version);
  }

  private tick(): void {
    this.time.after(this.options.stepMs, () => this.tick());
    const sinceMs = this.time.nowMs() - this.lastTickMs;
    this.lastTickMs = this.time.nowMs();
    if (this.ranks.some((rank) => rank.held === this.step + 1)) return this.noteHold(sinceMs);
    this.heldMs = 0;
    this.step += 1;
    for (const rank of this.ranks) {
      if (rank.armed?.step !== this.step) continue;
      if (rank.next) rank.map = rank.next;
      rank.armed = undefined;
    }
    if (new Set(this.ranks.map((rank) => JSON.stringify(rank.map))).size > 1)
      this.mixed.push(this.step);
  }

  /** A tick that comes late by far tells that this process stood still, not the group. */
  private noteHold(sinceMs: number): void {
    this.heldMs += Math.min(sinceMs, MOST_TICKS * this.options.stepMs);
    this.longestMs = Math.max(this.longestMs, this.options.stepMs + this.heldMs);
  }

  /** The calls of one rank's own agent. */
  calls(index: number): EngineCalls {
    const of = (): Rank => this.ranks[index] as Rank;
    return {
      report: async () => {
        await this.time.sleep(ANSWER_MS);
        const rank = of();
        const report: EngineReport = {
          group: 'g',
          startedAtMs: rank.startedAtMs,
          groupEpoch: this.epoch,
          rank: index,
          ranks: this.options.ranks,
          isGroupRunning: true,
          pace: 1,
          running: 1,
          queued: 0,
          step: this.step,
          mapVersion: rank.map.version,
          preparedVersion: rank.prepared,
          armed: rank.armed && { ...rank.armed },
          heldStep: rank.held,
        };
        return report;
      },
      placed: () => Promise.resolve([this.heldBy(index)]),
      // Demand favours one expert, more of it with each step; all of it is chosen by the first rank.
      picked: () => Promise.resolve([index === 0 ? this.picked() : DEMAND.map(() => 0)]),
      command: async (command, fence, epoch) => {
        if (this.random() < this.options.lateShare()) {
          const lateMs = LATE_MS.least + this.random() * (LATE_MS.most - LATE_MS.least);
          this.time.after(lateMs, () => this.carryOut(index, command, fence, epoch));
          await this.time.sleep(this.options.noAnswerMs ?? NO_ANSWER_MS);
          return 'unanswered';
        }
        await this.time.sleep(ANSWER_MS);
        return this.carryOut(index, command, fence, epoch);
      },
    };
  }

  /** Tokens of all steps so far, by expert. */
  private picked(): number[] {
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

  /** Experts that a rank holds; each of the first map's stands once. */
  private heldBy(index: number): number[] {
    const { map } = this.ranks[index] as Rank;
    return [...(map.experts[index] ?? [index])];
  }

  private carryOut(
    index: number,
    command: EngineCommand,
    fence: number,
    epoch: number,
  ): CommandResult {
    const rank = this.ranks[index] as Rank;
    if (epoch !== this.epoch) return 'refused';
    if (this.options.checksFences && fence < rank.fence) return 'fenced';
    if (!this.fits(rank, command)) return 'refused';
    rank.fence = Math.max(rank.fence, fence);
    this.apply(rank, command);
    return 'taken';
  }

  private fits(rank: Rank, command: EngineCommand): boolean {
    switch (command.kind) {
      case 'prepare':
        if (command.version === rank.prepared) return true;
        return command.version > rank.highest && !rank.armed;
      case 'arm':
        if (rank.armed)
          return rank.armed.version === command.version && rank.armed.step === command.step;
        return command.version === rank.prepared && command.step > this.step;
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
      if (command.version === rank.highest) return;
      rank.highest = command.version;
      rank.next = { version: command.version, experts: command.layers[0] ?? [] };
      rank.prepared = undefined;
      const { epoch } = this;
      this.time.after(this.options.copyMs, () => {
        if (this.epoch === epoch && rank.highest === command.version)
          rank.prepared = command.version;
      });
    }
    if (command.kind === 'arm') rank.armed = { version: command.version, step: command.step };
    if (command.kind === 'disarm' && rank.armed?.version === command.version)
      rank.armed = undefined;
    if (command.kind === 'hold') rank.held = command.step;
    if (command.kind === 'go' && rank.held === command.step) rank.held = undefined;
  }
}
