/** Turns of one entry at an endpoint that named a limit. Times are ms. */

/** What one entry may send of a limit. */
export interface LimitShare {
  /** Requests a second; 0 where all of it is others'. */
  readonly perS: number;
  /** Requests that it may save up while it has none to send. */
  readonly saved: number;
}

const MS_PER_S = 1000;

/**
 * A bucket that fills by the entry's share. It starts anywhere between empty and one request: entries that hear of a limit at the
 * same time do not send at the same time.
 */
export class LimitBucket {
  private level: number | undefined;
  private filledAtMs = 0;

  constructor(private readonly random: () => number) {}

  /**
   * When one request may be sent; not later than `nowMs` where it may be sent now.
   * @example const mayAsk = bucket.opensAtMs(share, nowMs) <= nowMs;
   */
  opensAtMs(share: LimitShare, nowMs: number): number {
    const level = this.fill(share, nowMs);
    // What was saved of a share that is another's now counts there.
    if (share.perS === 0) return Number.POSITIVE_INFINITY;
    if (level >= 1) return nowMs;
    return nowMs + ((1 - level) / share.perS) * MS_PER_S;
  }

  /** Takes one request out, sent now. */
  take(share: LimitShare, nowMs: number): void {
    this.level = this.fill(share, nowMs) - 1;
  }

  /** Skips the time until now, in which nothing was gained. */
  resume(nowMs: number): void {
    this.level ??= this.random();
    this.filledAtMs = nowMs;
  }

  /** Forgets what was saved: there is no limit. */
  clear(): void {
    this.level = undefined;
  }

  private fill({ perS, saved }: LimitShare, nowMs: number): number {
    const gained = ((nowMs - this.filledAtMs) * perS) / MS_PER_S;
    this.filledAtMs = nowMs;
    this.level = this.level === undefined ? this.random() : Math.min(saved, this.level + gained);
    return this.level;
  }
}
