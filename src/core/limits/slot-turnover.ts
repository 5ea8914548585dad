/** How fast the slots of one entry come free, from how long they are held. */
import { HoldingTime } from './holding-time.js';

/** Time constant of the holding time, ms: some streams of 1 to 1.5 s each. */
const TIME_CONSTANT_MS = 5000;

/** Turnover of the slots of one entry. Times are monotonic ms. */
export class SlotTurnover {
  private readonly holdingTime = new HoldingTime(TIME_CONSTANT_MS);
  /** Last mean while enough releases were known, which outlasts an outage. */
  private meanMs: number | undefined;

  /**
   * Notes the number of slots taken, on each change. Without `isServing`, during an outage, slots are held for as long
   * as a refusal takes, and nothing is learned.
   * @example turnover.note(queue.running, clock.nowMs(), true);
   */
  note(taken: number, nowMs: number, isServing: boolean): void {
    if (!isServing) return this.holdingTime.skip(taken, nowMs);
    this.holdingTime.note(taken, nowMs);
    this.meanMs = this.holdingTime.meanMs(nowMs) ?? this.meanMs;
  }

  /** Mean time for which a slot is held, ms; undefined until some were released; kept while none is. */
  get holdMs(): number | undefined {
    return this.meanMs;
  }

  /**
   * Releases a second of a number of slots that are all taken; undefined while the hold time is unknown.
   * @example turnover.perS(16) // 12.8 with streams of 1.25 s
   */
  perS(slots: number): number | undefined {
    const { holdMs } = this;
    return holdMs === undefined || holdMs <= 0 ? undefined : (slots * 1000) / holdMs;
  }
}
