/** Whether one process of an endpoint may be sent a request by one entry, by what it asked for. */
import { LimitBucket, type LimitShare } from './limit-bucket.js';
import { Rest } from './rest.js';

/** When an endpoint may be sent a request, and what it asked for that it may not be now. */
export interface Opening {
  readonly atMs: number;
  readonly why: 'rest' | 'limit' | undefined;
}

/** Time for which a share is not worked out anew, ms: each request looks at all endpoints of its service. */
const SHARE_MS = 100;

/** Rest and limit together. Times are those of a clock that counts suspended time, ms. */
export class EndpointGate {
  readonly rest = new Rest();
  private readonly bucket: LimitBucket;
  private share: LimitShare | undefined;
  private shareAtMs = Number.NEGATIVE_INFINITY;

  /** @param shareNow what the entry may send of the endpoint's limit; undefined where it has none */
  constructor(
    private readonly shareNow: () => LimitShare | undefined,
    random: () => number,
  ) {
    this.bucket = new LimitBucket(random);
  }

  /**
   * When a request may be sent; not later than `nowMs` where one may be sent now.
   * @example const mayAsk = gate.opening(nowMs).atMs <= nowMs;
   */
  opening(nowMs: number): Opening {
    const restedAtMs = this.rest.opensAtMs(nowMs);
    const share = this.shareAt(nowMs);
    const limitedAtMs = share ? this.bucket.opensAtMs(share, nowMs) : nowMs;
    if (Math.max(restedAtMs, limitedAtMs) <= nowMs) return { atMs: nowMs, why: undefined };
    if (restedAtMs >= limitedAtMs) return { atMs: restedAtMs, why: 'rest' };
    return { atMs: limitedAtMs, why: 'limit' };
  }

  /** Notes that a request is sent. */
  noteSent(nowMs: number): void {
    this.rest.noteSent(nowMs);
    const share = this.shareAt(nowMs);
    if (share) this.bucket.take(share, nowMs);
  }

  private shareAt(nowMs: number): LimitShare | undefined {
    if (nowMs - this.shareAtMs < SHARE_MS) return this.share;
    this.share = this.shareNow();
    this.shareAtMs = nowMs;
    if (!this.share) this.bucket.clear();
    return this.share;
  }
}
