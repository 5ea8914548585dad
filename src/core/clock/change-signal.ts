/** Lets callers wait for the next change, with a timeout. */

/** Notifies all current waiters of a change. */
export class ChangeSignal {
  private readonly waiters = new Set<() => void>();

  /**
   * Resolves at the next change, or after `waitMs`.
   * @example await changes.next(1000);
   */
  next(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.waiters.add(done);
    });
  }

  /** Resolves all pending calls of `next`. */
  notify(): void {
    for (const waiter of [...this.waiters]) waiter();
  }
}
