/**
 * Timeouts of I/O. A process that was paused for longer than a timeout reads what has arrived meanwhile
 * before the timeout expires: the pause was its own, and no silence of its peer.
 */

/** A timeout that expires only once I/O that was ready by then has been read. */
export class IoTimeout {
  private timer: NodeJS.Timeout | undefined;
  private afterPoll: NodeJS.Immediate | undefined;

  /** @example const timeout = new IoTimeout(() => socket.destroy()); timeout.start(500); */
  constructor(private readonly onExpired: () => void) {}

  /** Starts the timeout, anew if it runs. */
  start(ms: number): void {
    this.stop();
    // The event loop runs timers first, then I/O, then immediates.
    this.timer = setTimeout(() => {
      this.afterPoll = setImmediate(this.onExpired);
    }, ms);
  }

  /** Stops the timeout. */
  stop(): void {
    clearTimeout(this.timer);
    clearImmediate(this.afterPoll);
  }
}
