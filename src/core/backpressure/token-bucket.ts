/** A token bucket whose rate and capacity may change. Times are ms. */

/** The rate and burst capacity available from a limit. */
export interface LimitShare {
  /** Rate, requests/s; 0 if all of the limit belongs to others. */
  readonly perS: number;
  /** Capacity: maximum tokens accumulated while unused. */
  readonly saved: number;
}

const MS_PER_S = 1000;

/**
 * Token bucket that starts with a part of one token, given by `random`, so that buckets started
 * together do not fill together.
 */
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
    // Tokens saved from a share that now belongs to another entry count there.
    if (share.perS === 0) return Number.POSITIVE_INFINITY;
    if (level >= 1) return nowMs;
    return nowMs + ((1 - level) / share.perS) * MS_PER_S;
  }

  /** Consumes one token. */
  consume(share: LimitShare, nowMs: number): void {
    this.level = this.fill(share, nowMs) - 1;
  }

  /** Restarts filling now; no tokens are gained for the time before. */
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
