/**
 * Ends an attempt whose endpoint is silent. Before the deadline it is ended only if the request can go on
 * elsewhere: an endpoint that is merely slow would otherwise lose work that cannot be repeated.
 */

/** Options of a silence timeout. */
export interface SilenceTimeoutOptions {
  /** Silence after which the attempt is ended if the request can go on elsewhere, ms. */
  readonly idleMs: number;
  /** Time until the deadline, ms. */
  readonly remainingMs: () => number;
  /** Whether the request can go on elsewhere; asked at each silence until the deadline. */
  readonly mayEnd: () => boolean;
  /** Called at each silence with its length, ms: other open connections to the endpoint may be dead. */
  readonly onSilence: (silentMs: number) => void;
  /** Ends the attempt after a silence, ms. */
  readonly end: (silentMs: number) => void;
}

/** A timeout that starts anew whenever the endpoint sends something. */
export class SilenceTimeout {
  private timer: NodeJS.Timeout | undefined;
  private silentMs = 0;

  /** @example const timeout = new SilenceTimeout(options); timeout.restart(); */
  constructor(private readonly options: SilenceTimeoutOptions) {}

  /** Starts the timeout, anew if it runs. */
  restart(): void {
    this.silentMs = 0;
    this.schedule();
  }

  /** Stops the timeout. */
  stop(): void {
    clearTimeout(this.timer);
  }

  private schedule(): void {
    this.stop();
    const { idleMs, remainingMs } = this.options;
    const waitMs = Math.max(1, Math.min(idleMs, remainingMs()));
    this.timer = setTimeout(() => this.expire(waitMs), waitMs);
  }

  private expire(waitedMs: number): void {
    const { remainingMs, mayEnd, onSilence, end } = this.options;
    this.silentMs += waitedMs;
    onSilence(this.silentMs);
    if (remainingMs() > 0 && !mayEnd()) this.schedule();
    else end(this.silentMs);
  }
}
