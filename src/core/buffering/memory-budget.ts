/**
 * Budget of the bytes that a process buffers: request bodies, responses that are read to their end
 * before they are forwarded, and the unread part of streams. It answers the load of callers that read
 * more slowly than their endpoints write. Once the budget is spent, the response with the oldest
 * unread byte is ended first: its caller is the least likely to come back to it.
 */
import {
  BODY_BUDGET_SHARE,
  BUFFER_MEMORY_SHARE,
  KEEPS_UP_MS,
  RESPONSE_BUDGET_SHARE,
} from './consts.js';
import { PendingMemory, type PendingAccount } from './pending-memory.js';
import type { BudgetLimits, EndedResponse, EndReason } from './types.js';

/**
 * Sizes of the budget on an instance.
 * @example budgetLimits(250e6).totalBytes // 30_000_000
 */
export function budgetLimits(memoryBytes: number): BudgetLimits {
  const totalBytes = memoryBytes * BUFFER_MEMORY_SHARE;
  return {
    totalBytes,
    bodyBytes: totalBytes * BODY_BUDGET_SHARE,
    responseBytes: totalBytes * RESPONSE_BUDGET_SHARE,
  };
}

/** Bytes buffered for one response. */
export interface ResponseAccount {
  readonly heldBytes: number;
  /** Since when the caller's oldest unread byte waits, ms; undefined if it has read everything. */
  unreadSinceMs: number | undefined;
}

interface OpenAccount extends ResponseAccount {
  heldBytes: number;
  readonly end: (ended: EndedResponse) => void;
}

/** Whether a caller reads as fast as its response arrives. */
function keepsUp(account: ResponseAccount, nowMs: number): boolean {
  return account.unreadSinceMs === undefined || nowMs - account.unreadSinceMs <= KEEPS_UP_MS;
}

/**
 * Chooses the response to end while the budget is spent: the one whose oldest unread byte is the
 * oldest. Undefined if all callers keep up.
 * @example chooseStalest([{ heldBytes: 9, unreadSinceMs: 0 }], 1000)?.heldBytes // 9
 */
export function chooseStalest<Account extends ResponseAccount>(
  accounts: Iterable<Account>,
  nowMs: number,
): Account | undefined {
  let stalest: Account | undefined;
  let oldestMs = Number.POSITIVE_INFINITY;
  for (const account of accounts) {
    if (keepsUp(account, nowMs)) continue;
    const { unreadSinceMs = nowMs } = account;
    if (unreadSinceMs >= oldestMs) continue;
    stalest = account;
    oldestMs = unreadSinceMs;
  }
  return stalest;
}

/** The bytes of one request body, reserved until the request ends. */
export class BodyReservation {
  private readonly account: PendingAccount;
  private onEnded: () => void = () => undefined;
  private isEnded = false;

  constructor(private readonly budget: MemoryBudget) {
    this.account = budget.pending.open(() => {
      this.isEnded = true;
      this.onEnded();
    });
  }

  /** Calls `onEnded` if the bytes are taken back for other requests before the body is complete. */
  whenEnded(onEnded: () => void): void {
    this.onEnded = onEnded;
  }

  /**
   * Extends the reservation to a number of bytes; false if they do not fit.
   * @example if (!reservation.extendTo(body.takenBytes)) return refuse();
   */
  extendTo(bytes: number): boolean {
    if (this.isEnded) return false;
    if (bytes <= this.account.heldBytes) return true;
    return this.budget.pending.set(this.account, bytes);
  }

  /** Notes that the body is complete, so that its bytes are not taken back. */
  complete(): void {
    this.budget.pending.settle(this.account);
  }

  /** Frees the bytes. */
  release(): void {
    this.budget.pending.close(this.account);
  }
}

/** The buffered bytes of one process. */
export class MemoryBudget {
  private readonly accounts = new Set<OpenAccount>();
  private used = 0;
  private peak = 0;
  /**
   * Requests: no response is ended for them, as a request that is refused has cost nothing yet.
   */
  readonly pending: PendingMemory;

  constructor(
    readonly limits: BudgetLimits,
    private readonly nowMs: () => number,
  ) {
    this.pending = new PendingMemory({
      limitBytes: limits.bodyBytes,
      nowMs,
      hasRoom: (bytes) => this.used + bytes <= limits.totalBytes,
      onChange: (bytes) => this.add(bytes),
    });
  }

  /** Bytes buffered now. */
  get usedBytes(): number {
    return this.used;
  }

  /** Most bytes buffered at once. */
  get peakBytes(): number {
    return this.peak;
  }

  /** Opens the account of a response; `end` is called at most once if the response must be ended. */
  open(end: (ended: EndedResponse) => void): ResponseAccount {
    const account: OpenAccount = { heldBytes: 0, unreadSinceMs: undefined, end };
    this.accounts.add(account);
    return account;
  }

  /** Closes an account and frees its bytes. */
  close(account: ResponseAccount): void {
    if (this.accounts.delete(account as OpenAccount)) this.used -= account.heldBytes;
  }

  /**
   * Adds bytes to a response; false if the response has been ended. A response of which no byte is
   * unread yet is ended itself if there is no other to end.
   * @example if (!budget.hold(account, chunk.length)) return;
   */
  hold(account: ResponseAccount, bytes: number): boolean {
    const own = account as OpenAccount;
    if (!this.accounts.has(own)) return false;
    own.heldBytes += bytes;
    this.add(bytes);
    if (own.heldBytes > this.limits.responseBytes) this.end(own, 'response-limit');
    while (this.used > this.limits.totalBytes) {
      const stalest = chooseStalest(this.accounts, this.nowMs());
      if (!stalest) break;
      this.end(stalest, 'budget');
    }
    if (this.used > this.limits.totalBytes && own.unreadSinceMs === undefined)
      this.end(own, 'budget');
    return this.accounts.has(own);
  }

  /** Frees bytes of a response that its caller has read. */
  release(account: ResponseAccount, bytes: number): void {
    const own = account as OpenAccount;
    if (!this.accounts.has(own)) return;
    own.heldBytes -= bytes;
    this.used -= bytes;
  }

  /** Describes a response that is ended now. */
  describe(account: ResponseAccount, reason: EndReason): EndedResponse {
    const { unreadSinceMs, heldBytes } = account;
    return {
      reason,
      heldBytes,
      oldestMs: unreadSinceMs === undefined ? undefined : this.nowMs() - unreadSinceMs,
      usedBytes: this.used,
      budgetBytes: this.limits.totalBytes,
    };
  }

  private add(bytes: number): void {
    this.used += bytes;
    this.peak = Math.max(this.peak, this.used);
  }

  private end(account: OpenAccount, reason: EndReason): void {
    if (!this.accounts.has(account)) return;
    const ended = this.describe(account, reason);
    this.close(account);
    account.end(ended);
  }
}
