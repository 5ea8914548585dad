/**
 * Returns of refused callers at one group, as one entry sees it: how many slots first tries will leave over, and when
 * refused callers should come back. All state is this entry's own, bounded, and lost with the process.
 */
import type { Random } from '../clock/index.js';
import { lastChanceShare, SlotTurnover, type ReturnProspects } from '../limits/index.js';
import { ArrivalForecast, BIN_MS } from './arrival-forecast.js';
import { expectedLeftoverPerS } from './leftover.js';
import { ReturnSchedule, type PlannedReturn, type RefusedCaller } from './return-schedule.js';

/** Time for which the slots expected to be left over are not computed again, ms. */
const PROFILE_AGE_MS = 50;
/** Longest time for which they are computed, in bins. */
const PROFILE_BINS = 24;
/** Time after a refused first try for which free slots are reserved for first tries, ms. */
const RESERVE_AFTER_REFUSAL_MS = 5000;
/**
 * Reserve, as arrivals of first tries within a time, ms. Without one, returning callers take each slot as it comes
 * free, and a first try finds all slots taken at any load.
 */
const RESERVED_ARRIVALS_MS = 50;
/** Part of the slots that may be reserved at most. */
const MAX_RESERVED_SHARE = 0.25;
/** Weight of the latest outcome in the share of returning callers that were served. */
const SERVED_STEP = 0.05;
/** Share of returning callers assumed to be served at first. */
const INITIAL_SERVED_SHARE = 0.5;
/**
 * Expected slots that a returning caller needs for each place in the queue. Less than one: a second refusal loses more
 * than a wait, and callers ahead leave the queue too.
 */
const SLOTS_PER_PLACE = 0.3;
/** The same during an outage, whose end is the larger uncertainty. */
const OUTAGE_SLOTS_PER_PLACE = 1;
/** Weight of the latest number of slots in their mean while the group serves. */
const SLOTS_STEP = 0.02;
/** Hold time assumed for a stream that runs long, as a multiple of the mean. */
const LONG_STREAM_FACTOR = 1.3;
/**
 * Duration expected of a first outage, ms, from the first refusals: a data centre is cut off for 6 s, and the group
 * forms again in one; its ranks stall for 1.5 s before they refuse.
 */
const USUAL_OUTAGE_MS = 5500;
/** Weight of the latest outage in the expected duration. */
const OUTAGE_STEP = 0.5;
/** Duration of an outage from which the expectation learns, ms; single failing ranks make shorter ones. */
const MIN_LEARNED_OUTAGE_MS = 1500;
/** Time in which an outage that lasts a little longer than expected is expected to end, ms. */
const OVERDUE_MS = 300;
/** Multiple of the expected duration after which an outage counts as one of another kind. */
const MAX_OUTAGE_FACTOR = 1.25;

/** State of the group's slots at this entry. */
export interface SlotState {
  readonly slots: number;
  readonly taken: number;
  /** Time since the group went down, ms; 0 while it serves. */
  readonly downForMs: number;
  /** Returning callers that wait for a slot. */
  readonly queued: number;
}

/** Dependencies of `ReturnPlan`. */
export interface ReturnPlanDeps {
  readonly nowMs: () => number;
  readonly slotState: () => SlotState;
}

/** Slots that first tries are expected to leave over. */
interface Leftover {
  readonly atMs: number;
  /** Free slots beyond the reserve. */
  readonly free: number;
  /** Slots left over in each of the next bins. */
  readonly perBin: readonly number[];
}

/** Expected leftover slots of one group at one entry. Times are monotonic ms. */
export class ReturnPlan implements ReturnProspects {
  readonly forecast = new ArrivalForecast();
  readonly schedule = new ReturnSchedule();
  private readonly turnover = new SlotTurnover();
  private refusedAtMs = Number.NEGATIVE_INFINITY;
  private servedShare = INITIAL_SERVED_SHARE;
  private firstTryWaitMs = 0;
  private profile: Leftover | undefined;
  private servingSlots: number | undefined;
  private lastDownForMs = 0;
  private outageMs = USUAL_OUTAGE_MS;

  constructor(private readonly deps: ReturnPlanDeps) {}

  /** Time of the entry's clock, ms. */
  nowMs(): number {
    return this.deps.nowMs();
  }

  /** Notes a first try, whatever becomes of it, and how long it may wait for a slot. */
  noteFirstTry(waitMs: number): void {
    this.firstTryWaitMs = waitMs;
    this.forecast.note(this.deps.nowMs());
  }

  /** Notes that a first try got no slot in time. */
  noteRefusedFirstTry(): void {
    this.refusedAtMs = this.deps.nowMs();
  }

  /** Notes that a caller returned. */
  noteReturn(): void {
    this.schedule.noteReturn(this.deps.nowMs());
  }

  /** Notes whether a returning caller got a slot. */
  noteReturnEnded(isServed: boolean): void {
    this.servedShare += SERVED_STEP * (Number(isServed) - this.servedShare);
  }

  /** Notes a change of the number of slots taken. */
  noteTaken(taken: number): void {
    const isServing = this.isServing();
    this.turnover.note(taken, this.deps.nowMs(), isServing);
    if (!isServing) return;
    const { slots } = this.deps.slotState();
    this.servingSlots ??= slots;
    this.servingSlots += SLOTS_STEP * (slots - this.servingSlots);
  }

  /** Releases a second while all slots are taken; undefined while unknown. */
  releasesPerS(): number | undefined {
    return this.turnover.perS(this.deps.slotState().slots);
  }

  /** Time that a stream takes if it runs long, ms; undefined while unknown. */
  get longStreamMs(): number | undefined {
    const { holdMs } = this.turnover;
    return holdMs === undefined ? undefined : holdMs * LONG_STREAM_FACTOR;
  }

  /** Part of the grants that may go to returning callers before first tries. */
  lastChanceShare(): number {
    return lastChanceShare(this.servedShare);
  }

  /** Free slots kept for first tries; 0 if none was refused lately. */
  reservedSlots(): number {
    const nowMs = this.deps.nowMs();
    if (nowMs - this.refusedAtMs > RESERVE_AFTER_REFUSAL_MS) return 0;
    const { slots } = this.deps.slotState();
    const arrivals = (this.forecast.perS(nowMs, 0) * RESERVED_ARRIVALS_MS) / 1000;
    return Math.min(Math.ceil(arrivals), Math.floor(slots * MAX_RESERVED_SHARE));
  }

  /** Expected slots that a returning caller needs for each place in the queue. */
  slotsPerPlace(): number {
    return this.isServing() ? SLOTS_PER_PLACE : OUTAGE_SLOTS_PER_PLACE;
  }

  /** Whether the group serves now. */
  isServing(): boolean {
    return this.outageLeftMs() === 0;
  }

  /**
   * Expected time until the end of an outage, ms: 0 without one, infinite if it lasts longer than expected.
   */
  private outageLeftMs(): number {
    const { downForMs } = this.deps.slotState();
    if (downForMs === 0 && this.lastDownForMs > MIN_LEARNED_OUTAGE_MS)
      this.outageMs += OUTAGE_STEP * (this.lastDownForMs - this.outageMs);
    this.lastDownForMs = downForMs;
    if (downForMs === 0) return 0;
    if (downForMs > this.outageMs * MAX_OUTAGE_FACTOR) return Number.POSITIVE_INFINITY;
    return Math.max(OVERDUE_MS, this.outageMs - downForMs);
  }

  /**
   * Slots expected to be left over by first tries within a time.
   * @example plan.expectedSlots(3500)
   */
  expectedSlots(withinMs: number): number {
    const startMs = this.outageLeftMs();
    if (startMs >= withinMs) return 0;
    const { free, perBin } = this.leftover();
    let expected = free;
    for (let bin = Math.floor(startMs / BIN_MS); bin < perBin.length; bin += 1) {
      const fromMs = Math.max(startMs, bin * BIN_MS);
      const widthMs = Math.min(withinMs, (bin + 1) * BIN_MS) - fromMs;
      if (widthMs <= 0) break;
      expected += ((perBin[bin] ?? 0) * widthMs) / BIN_MS;
    }
    return expected;
  }

  private leftover(): Leftover {
    const nowMs = this.deps.nowMs();
    const known = this.profile;
    if (known && nowMs >= known.atMs && nowMs - known.atMs < PROFILE_AGE_MS) return known;
    this.profile = this.computeLeftover(nowMs);
    return this.profile;
  }

  /** Slots now, or those from before an outage, in which an entry without streams is given few. */
  private expectedSlotCount(): number {
    const { slots } = this.deps.slotState();
    return this.isServing() ? slots : Math.max(slots, Math.round(this.servingSlots ?? slots));
  }

  private computeLeftover(nowMs: number): Leftover {
    const { taken } = this.deps.slotState();
    const slots = this.expectedSlotCount();
    const releasesPerS = this.turnover.perS(slots);
    if (releasesPerS === undefined) return { atMs: nowMs, free: 0, perBin: [] };
    const reserved = this.reservedSlots();
    const { firstTryWaitMs } = this;
    const uncertaintyPerS = this.forecast.uncertaintyPerS(nowMs);
    const perBin = Array.from({ length: PROFILE_BINS }, (_, bin) => {
      const firstTriesPerS = this.forecast.perS(nowMs, (bin + 0.5) * BIN_MS);
      const rates = { releasesPerS, firstTriesPerS, reserved, firstTryWaitMs };
      return (expectedLeftoverPerS(rates, uncertaintyPerS) * BIN_MS) / 1000;
    });
    return { atMs: nowMs, free: Math.max(0, slots - taken - reserved), perBin };
  }

  /**
   * Plans the return of a refused caller.
   * @example plan.planReturn({ leftMs: 8000, usualMs: () => 1500 }, Math.random).retryAfterMs
   */
  planReturn(caller: RefusedCaller, random: Random): PlannedReturn {
    const nowMs = this.deps.nowMs();
    const { slots, taken, queued } = this.deps.slotState();
    const reserved = this.reservedSlots();
    const room = {
      nowMs,
      forecast: this.forecast.summary(nowMs),
      firstTriesPerS: (aheadMs: number) => this.forecast.perS(nowMs, aheadMs),
      holdMs: this.turnover.holdMs,
      slots,
      free: Math.max(0, slots - taken - reserved),
      reserved,
      queued,
    };
    return this.schedule.plan(caller, room, random);
  }
}
