/**
 * Memory taken by requests that have not arrived whole: bodies, heads, and bytes that wait to be parsed. None of
 * them has run, so ending one costs its caller no more than a refusal. At the limit the one is ended that has kept
 * the most bytes for the longest time, beyond the time that an ordinary request takes to arrive.
 */

/** Memory that one client makes the process keep. */
export interface PendingAccount {
  readonly heldBytes: number;
}

interface OpenPending extends PendingAccount {
  heldBytes: number;
  /** Since when it has held bytes, ms. */
  sinceMs: number;
  /** Whether the account may be ended: it counts for a request that has not arrived whole. */
  isPending: boolean;
  readonly end: () => void;
}

/** Bytes up to which a request is served while larger ones are refused. */
const SMALL_BYTES = 16 * 1024;
/** Share of the limit for requests that are not small. */
const LARGE_SHARE = 0.8;
/** Time in which a request that arrives is not ended for others, ms. */
const GRACE_MS = 1000;

/** Dependencies of `PendingMemory`. */
export interface PendingMemoryDeps {
  /** Bytes of all accounts together. */
  readonly limitBytes: number;
  readonly nowMs: () => number;
  /** Whether the process has room for so many further bytes. */
  readonly hasRoom: (bytes: number) => boolean;
  /** Called with each change of the bytes held. */
  readonly onChange: (bytes: number) => void;
}

/** The accounts of one process. */
export class PendingMemory {
  private readonly pending = new Set<OpenPending>();
  private held = 0;

  constructor(private readonly deps: PendingMemoryDeps) {}

  /** Opens an account; `end` is called at most once, when its bytes are needed for others. */
  open(end: () => void): PendingAccount {
    return { heldBytes: 0, sinceMs: 0, isPending: true, end } as OpenPending;
  }

  /**
   * Sets the bytes of an account; false if they do not fit, which leaves it as it was. Other accounts are ended for it
   * if they have kept more for longer.
   * @example if (!memory.set(account, body.takenBytes)) return refuse();
   */
  set(account: PendingAccount, bytes: number): boolean {
    const own = account as OpenPending;
    const more = bytes - own.heldBytes;
    while (more > 0 && !this.fits(own, more)) if (!this.endLargest(own, bytes)) return false;
    this.change(own, bytes);
    return true;
  }

  /**
   * Counts bytes of an account that have arrived already. Over the limit accounts are ended, itself included: those
   * that had the time of an ordinary request, and all others only if the process has no room.
   * @example memory.keep(account, unparsed.length);
   */
  keep(account: PendingAccount, bytes: number): void {
    const own = account as OpenPending;
    this.change(own, bytes);
    while (this.held > this.deps.limitBytes) {
      const graceMs = this.deps.hasRoom(0) ? GRACE_MS : 0;
      if (!this.end(this.findLargest(0, graceMs))) return;
    }
  }

  /** Notes that the request has arrived whole, and may run: its account is not ended any more. */
  settle(account: PendingAccount): void {
    const own = account as OpenPending;
    own.isPending = false;
    this.pending.delete(own);
  }

  /** Frees the bytes of an account. */
  close(account: PendingAccount): void {
    const own = account as OpenPending;
    this.change(own, 0);
  }

  private fits({ heldBytes }: OpenPending, more: number): boolean {
    const isSmall = heldBytes + more <= SMALL_BYTES;
    const limitBytes = this.deps.limitBytes * (isSmall ? 1 : LARGE_SHARE);
    return this.held + more <= limitBytes && this.deps.hasRoom(more);
  }

  /** Ends the account that has kept the most for the longest; false if that is the one that needs the bytes. */
  private endLargest(own: OpenPending, ownBytes: number): boolean {
    return this.end(
      this.findLargest(own.heldBytes === 0 ? 0 : this.weigh(own, ownBytes), GRACE_MS),
    );
  }

  private weigh({ sinceMs }: OpenPending, bytes: number): number {
    return bytes * (1 + this.deps.nowMs() - sinceMs);
  }

  /** The account that weighs the most, of those that weigh more than `most` and have held bytes for long enough. */
  private findLargest(most: number, graceMs: number): OpenPending | undefined {
    const latestMs = this.deps.nowMs() - graceMs;
    let largest: OpenPending | undefined;
    let largestWeight = most;
    for (const account of this.pending) {
      if (account.sinceMs > latestMs) continue;
      const weight = this.weigh(account, account.heldBytes);
      if (weight <= largestWeight) continue;
      largest = account;
      largestWeight = weight;
    }
    return largest;
  }

  private end(account: OpenPending | undefined): boolean {
    if (!account) return false;
    this.change(account, 0);
    account.end();
    return true;
  }

  private change(account: OpenPending, bytes: number): void {
    const change = bytes - account.heldBytes;
    if (account.heldBytes === 0) account.sinceMs = this.deps.nowMs();
    account.heldBytes = bytes;
    this.held += change;
    this.deps.onChange(change);
    if (bytes > 0 && account.isPending) this.pending.add(account);
    else this.pending.delete(account);
  }
}
