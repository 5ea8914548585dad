/** A rate limiter for entries that know one another: each may send its share of the limit. */
import type { Clock } from '../clock/index.js';
import { TokenBucket, type LimitShare } from './token-bucket.js';
import type { RateLimiter } from './rate-limiter.js';

/** Time for which a share is cached, ms: each request considers all endpoints of its service. */
const SHARE_MS = 100;

/** Limits requests to the share of this entry. */
export class ShareLimiter implements RateLimiter {
  private readonly bucket: TokenBucket;
  private share: LimitShare | undefined;
  private shareAtMs = Number.NEGATIVE_INFINITY;

  /** @param shareNow the current share of the entry; undefined while the endpoint has no limit */
  constructor(
    private readonly clock: Pick<Clock, 'nowMs'>,
    random: () => number,
    private readonly shareNow: () => LimitShare | undefined,
  ) {
    this.bucket = new TokenBucket(random);
  }

  nextTokenAtMs(nowMs: number): number {
    const share = this.shareAt(nowMs);
    return share ? this.bucket.nextTokenAtMs(share, nowMs) : nowMs;
  }

  acquire(): Promise<boolean> {
    const nowMs = this.clock.nowMs();
    if (this.nextTokenAtMs(nowMs) > nowMs) return Promise.resolve(false);
    if (this.share) this.bucket.consume(this.share, nowMs);
    return Promise.resolve(true);
  }

  private shareAt(nowMs: number): LimitShare | undefined {
    if (nowMs - this.shareAtMs < SHARE_MS) return this.share;
    this.share = this.shareNow();
    this.shareAtMs = nowMs;
    if (!this.share) this.bucket.clear();
    return this.share;
  }
}
