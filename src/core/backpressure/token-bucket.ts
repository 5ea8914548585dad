/** A token bucket whose rate and capacity may change. Times are ms. */

/** What may be sent of a limit. */
export interface LimitShare {
  /** Rate, requests/s; 0 if all of the limit belongs to others. */
  readonly perS: number;
  /** Capacity: tokens saved while none is needed. */
  readonly saved: number;
}

const MS_PER_S = 1000;

/** Starts with a part of one token, given by `random`: buckets that start together do not fill at the same time. */
export class TokenBucket {
  private level: number | undefined;
  private filledAtMs = 0;

  constructor(private readonly random: () => number) {}

  /**
   * When a token may be consumed; not later than `nowMs` if one may be now.
   * @example const hasToken = bucket.nextTokenAtMs(share, nowMs) <= nowMs;
   */
  nextTokenAtMs(share: LimitShare, nowMs: number): number {
    const level = this.fill(share, nowMs);
    // Tokens saved of a share that is now another entry's count there.
    if (share.perS === 0) return Number.POSITIVE_INFINITY;
    if (level >= 1) return nowMs;
    return nowMs + ((1 - level) / share.perS) * MS_PER_S;
  }

  /** Consumes one token. */
  consume(share: LimitShare, nowMs: number): void {
    this.level = this.fill(share, nowMs) - 1;
  }

  /** Skips the time until now: no tokens are gained for it. */
  resume(nowMs: number): void {
    this.level ??= this.random();
    this.filledAtMs = nowMs;
  }

  /** Drops all saved tokens. */
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
