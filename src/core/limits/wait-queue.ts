/**
 * Admission queue for a limited number of slots; a request that cannot get one in time is refused
 * at once.
 */

/**
 * Maximum number of waiting requests ahead of a new one, as a share of the slots. About as many
 * slots come free in a tenth of a second; most of a longer queue would wait in vain. Requests with
 * a higher order do not count.
 */
const MAX_AHEAD_SHARE = 0.25;

interface Waiter {
  readonly order: number;
  readonly settle: (granted: boolean) => void;
}

/** Slots of one service at one entry. */
export class WaitQueue {
  private taken = 0;
  private readonly waiting: Waiter[] = [];

  /**
   * @param capacity number of slots, evaluated at each decision
   * @param onChange called with the number of slots taken whenever it changes
   */
  constructor(
    private readonly capacity: () => number,
    private readonly onChange: (taken: number) => void = () => undefined,
  ) {}

  /** Slots taken now. */
  get running(): number {
    return this.taken;
  }

  /** Requests that wait for a slot. */
  get queued(): number {
    return this.waiting.length;
  }

  /**
   * Takes a slot, waiting for up to `waitMs`; false if none comes free in time or the signal aborts.
   * A slot that was taken must be returned with `release`. Requests with a lower order go first.
   * @example if (!(await queue.acquire(0, 60, signal))) return refuse();
   */
  acquire(order: number, waitMs: number, signal: AbortSignal): Promise<boolean> {
    // The capacity may have grown since the waiting requests were queued.
    this.grantFreeSlots();
    const behind = this.waiting.findIndex((other) => other.order > order);
    const ahead = behind < 0 ? this.waiting.length : behind;
    if (this.taken < this.capacity()) {
      this.adjust(1);
      return Promise.resolve(true);
    }
    if (ahead >= Math.max(1, Math.ceil(this.capacity() * MAX_AHEAD_SHARE)))
      return Promise.resolve(false);
    return this.enqueueAt(ahead, order, waitMs, signal);
  }

  /**
   * Takes a slot without waiting; false if none is free. With `force` it exceeds the capacity if
   * need be.
   * @example if (queue.tryAcquire(false)) proceed();
   */
  tryAcquire(force: boolean): boolean {
    if (!force && this.taken >= this.capacity()) return false;
    this.adjust(1);
    return true;
  }

  private adjust(delta: 1 | -1): void {
    this.taken += delta;
    this.onChange(this.taken);
  }

  private enqueueAt(
    position: number,
    order: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const abandon = (): void => waiter.settle(false);
      const timer = setTimeout(abandon, waitMs);
      const waiter: Waiter = {
        order,
        settle: (granted) => {
          clearTimeout(timer);
          signal.removeEventListener('abort', abandon);
          const index = this.waiting.indexOf(waiter);
          if (index >= 0) this.waiting.splice(index, 1);
          resolve(granted);
        },
      };
      signal.addEventListener('abort', abandon, { once: true });
      this.waiting.splice(position, 0, waiter);
    });
  }

  /** Returns a slot, which goes to the first waiting request. */
  release(): void {
    this.adjust(-1);
    this.grantFreeSlots();
  }

  /** Grants free slots to waiting requests; to be called when the capacity has grown. */
  grantFreeSlots(): void {
    while (this.taken < this.capacity()) {
      const next = this.waiting[0];
      if (!next) return;
      this.adjust(1);
      next.settle(true);
    }
  }
}
