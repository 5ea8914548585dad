/**
 * Whether one process of an endpoint may be sent a request by this entry: its backoff and its rate
 * limit.
 */
import type { RateLimiter } from './rate-limiter.js';
import { Backoff } from './backoff.js';

/** When an endpoint may be sent a request, and which of backoff and rate limit prevents it now. */
export interface Opening {
  readonly atMs: number;
  readonly why: 'rest' | 'limit' | undefined;
}

/** Backoff and rate limit together. Times are those of a clock that counts suspended time, ms. */
export class EndpointGate {
  readonly backoff = new Backoff();

  constructor(private readonly limiter: RateLimiter) {}

  /**
   * When a request may be sent; not later than `nowMs` if one may be sent now.
   * @example const maySend = gate.opening(nowMs).atMs <= nowMs;
   */
  opening(nowMs: number): Opening {
    const backoffEndsAtMs = this.backoff.opensAtMs(nowMs);
    const limitedAtMs = this.limiter.nextTokenAtMs(nowMs);
    if (Math.max(backoffEndsAtMs, limitedAtMs) <= nowMs) return { atMs: nowMs, why: undefined };
    if (backoffEndsAtMs >= limitedAtMs) return { atMs: backoffEndsAtMs, why: 'rest' };
    return { atMs: limitedAtMs, why: 'limit' };
  }

  /** Whether the backoff allows a request now. */
  mayProbe(nowMs: number): boolean {
    return this.backoff.opensAtMs(nowMs) <= nowMs;
  }

  /**
   * Consumes a token of the rate limit; to be called right before a request is sent.
   * @example if (await gate.acquire()) send(request);
   */
  acquire(): Promise<boolean> {
    return this.limiter.acquire();
  }

  /** Notes that a request is sent. */
  noteSent(nowMs: number): void {
    this.backoff.noteSent(nowMs);
  }
}
