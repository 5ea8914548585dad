/** Turns for a limited number of places; who cannot have one in time is refused at once. */

/**
 * Requests that may wait, as a share of the places: no more than come free in a tenth of a second, or
 * most would wait for nothing.
 */
const WAITING_SHARE = 0.25;

interface Waiting {
  readonly priority: number;
  readonly give: (got: boolean) => void;
}

/** Places of one service at one entry. */
export class TurnQueue {
  private taken = 0;
  private readonly waiting: Waiting[] = [];

  /** @param allowed places that may be taken at once, asked for at each decision */
  constructor(private readonly allowed: () => number) {}

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
   * A place that was taken must be given back with `release`. `waitingShare` tells how many may wait
   * before this one is turned away, as a share of the places.
   * @example if (!(await turns.take(0, 110, gone))) return refuse();
   */
  take(
    priority: number,
    waitMs: number,
    gone: AbortSignal,
    waitingShare = WAITING_SHARE,
  ): Promise<boolean> {
    if (this.taken < this.allowed() && this.waiting.length === 0) {
      this.taken += 1;
      return Promise.resolve(true);
    }
    if (this.waiting.length >= Math.max(1, Math.ceil(this.allowed() * waitingShare)))
      return Promise.resolve(false);
    return new Promise((resolve) => {
      const leave = (): void => entry.give(false);
      const timer = setTimeout(leave, waitMs);
      const entry: Waiting = {
        priority,
        give: (got) => {
          clearTimeout(timer);
          gone.removeEventListener('abort', leave);
          const at = this.waiting.indexOf(entry);
          if (at >= 0) this.waiting.splice(at, 1);
          resolve(got);
        },
      };
      gone.addEventListener('abort', leave, { once: true });
      const behind = this.waiting.findIndex((other) => other.priority > priority);
      this.waiting.splice(behind < 0 ? this.waiting.length : behind, 0, entry);
    });
  }

  /** Gives a place back, to whoever waits first. */
  release(): void {
    this.taken -= 1;
    this.giveFree();
  }

  /** Gives places that are free to those who wait; to be called when more are allowed than before. */
  giveFree(): void {
    while (this.taken < this.allowed()) {
      const next = this.waiting[0];
      if (!next) return;
      this.taken += 1;
      next.give(true);
    }
  }
}
