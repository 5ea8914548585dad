/**
 * Ends an attempt whose endpoint is silent. Before the deadline it is ended only if the request can go on
 * elsewhere: an endpoint that is merely slow would otherwise lose work that cannot be repeated.
 */
import { IoTimeout } from '../../core/clock/index.js';

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
  private readonly timeout = new IoTimeout(() => this.expire());
  private silentMs = 0;
  private waitMs = 0;

  /** @example const timeout = new SilenceTimeout(options); timeout.restart(); */
  constructor(private readonly options: SilenceTimeoutOptions) {}

  /** Starts the timeout, anew if it runs. */
  restart(): void {
    this.silentMs = 0;
    this.schedule();
  }

  /** Stops the timeout. */
  stop(): void {
    this.timeout.stop();
  }

  private schedule(): void {
    const { idleMs, remainingMs } = this.options;
    this.waitMs = Math.max(1, Math.min(idleMs, remainingMs()));
    this.timeout.start(this.waitMs);
  }

  private expire(): void {
    const { remainingMs, mayEnd, onSilence, end } = this.options;
    this.silentMs += this.waitMs;
    onSilence(this.silentMs);
    if (remainingMs() > 0 && !mayEnd()) this.schedule();
    else end(this.silentMs);
  }
}
