/** Turns for a limited number of places; who cannot have one in time is refused at once. */

/**
 * Requests that may wait before one is turned away at once, as a share of the places: no more than come free
 * in a tenth of a second, or most would wait for nothing. Those behind it do not count.
 */
const AHEAD_SHARE = 0.25;

interface Waiting {
  readonly order: number;
  readonly give: (got: boolean) => void;
}

/** Places of one service at one entry. */
export class TurnQueue {
  private taken = 0;
  private readonly waiting: Waiting[] = [];

  /**
   * @param allowed places that may be taken at once, asked for at each decision
   * @param onTaken called with the places taken whenever they change
   */
  constructor(
    private readonly allowed: () => number,
    private readonly onTaken: (taken: number) => void = () => undefined,
  ) {}

  /** Places taken now. */
  get running(): number {
    return this.taken;
  }

  /** Requests that wait for a place. */
  get queued(): number {
    return this.waiting.length;
  }

  /**
   * Takes a place, waiting for `waitMs` at most; false when there is none in time or the signal aborts.
   * A place that was taken must be given back with `release`. Lower orders go first.
   * @example if (!(await turns.take(0, 60, gone))) return refuse();
   */
  take(order: number, waitMs: number, gone: AbortSignal): Promise<boolean> {
    // More may be allowed than when those who wait asked.
    this.giveFree();
    const behind = this.waiting.findIndex((other) => other.order > order);
    const ahead = behind < 0 ? this.waiting.length : behind;
    if (this.taken < this.allowed()) {
      this.change(1);
      return Promise.resolve(true);
    }
    if (ahead >= Math.max(1, Math.ceil(this.allowed() * AHEAD_SHARE)))
      return Promise.resolve(false);
    return this.waitAt(ahead, order, waitMs, gone);
  }

  /**
   * Takes a place if one is free, or whatever is free when `must`; false when there is none.
   * @example if (turns.takeNow(false)) goOn();
   */
  takeNow(must: boolean): boolean {
    if (!must && this.taken >= this.allowed()) return false;
    this.change(1);
    return true;
  }

  private change(by: 1 | -1): void {
    this.taken += by;
    this.onTaken(this.taken);
  }

  private waitAt(at: number, order: number, waitMs: number, gone: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const leave = (): void => entry.give(false);
      const timer = setTimeout(leave, waitMs);
      const entry: Waiting = {
        order,
        give: (got) => {
          clearTimeout(timer);
          gone.removeEventListener('abort', leave);
          const index = this.waiting.indexOf(entry);
          if (index >= 0) this.waiting.splice(index, 1);
          resolve(got);
        },
      };
      gone.addEventListener('abort', leave, { once: true });
      this.waiting.splice(at, 0, entry);
    });
  }

  /** Gives a place back, to whoever waits first. */
  release(): void {
    this.change(-1);
    this.giveFree();
  }

  /** Gives places that are free to those who wait; to be called when more are allowed than before. */
  giveFree(): void {
    while (this.taken < this.allowed()) {
      const next = this.waiting[0];
      if (!next) return;
      this.change(1);
      next.give(true);
    }
  }
}
