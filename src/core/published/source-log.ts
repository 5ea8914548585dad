/** Logs when what is published can no longer be read, and when it can again; knows for how long nothing was heard. */
import type { Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { PublishedSource, ReadFault } from './source.js';

/** What logging needs. */
export interface SourceLogParts {
  readonly source: Pick<PublishedSource, 'name'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

const US_PER_MS = 1000;

/** One line when the source is lost, one when it is back. */
export class SourceLog {
  private lostAtMs: number | undefined;
  private failuresInRow = 0;
  private heardAtMs: number | undefined;
  /** When the last call that failed was made. */
  failedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: SourceLogParts) {}

  /** Calls that failed since the last one that worked. */
  get failures(): number {
    return this.failuresInRow;
  }

  /** Time since something was heard last, ms; undefined before the first time. */
  heardAgoMs(): number | undefined {
    if (this.heardAtMs === undefined) return undefined;
    return Math.round(this.parts.clock.nowMs() - this.heardAtMs);
  }

  /** Notes that something was heard, also that nothing has changed. */
  heard(): void {
    const { clock, metrics } = this.parts;
    const nowMs = clock.nowMs();
    if (this.heardAtMs !== undefined)
      metrics.observe('published_silence_us', (nowMs - this.heardAtMs) * US_PER_MS);
    this.heardAtMs = nowMs;
  }

  /** Notes a call that failed. */
  failed(fault: ReadFault, askedAtMs: number): void {
    const { clock, log, metrics, source } = this.parts;
    this.failedAtMs = askedAtMs;
    this.failuresInRow += 1;
    metrics.count('published_read_failures_total', { kind: fault.kind });
    if (this.lostAtMs !== undefined) return;
    this.lostAtMs = clock.nowMs();
    const waitedMs = Math.round(this.lostAtMs - askedAtMs);
    log.warn('published.lost', {
      source: source.name,
      ...fault,
      waitedMs,
      heardAgoMs: this.heardAgoMs(),
    });
  }

  /** Notes that a configuration that was told of could not be read. */
  unread(fault: ReadFault, askedAtMs: number): void {
    const { clock, log, metrics, source } = this.parts;
    metrics.count('config_unread_total', { kind: fault.kind });
    const waitedMs = Math.round(clock.nowMs() - askedAtMs);
    log.warn('config.unread', { source: source.name, ...fault, waitedMs });
  }

  /** Notes a call that worked; time since the first of the failures before it, ms, 0 when there was none. */
  worked(): number {
    if (this.lostAtMs === undefined) return 0;
    const { clock, log, source } = this.parts;
    const awayMs = clock.nowMs() - this.lostAtMs;
    log.info('published.regained', {
      source: source.name,
      awayMs: Math.round(awayMs),
      failures: this.failuresInRow,
      heardAgoMs: this.heardAgoMs(),
    });
    this.lostAtMs = undefined;
    this.failuresInRow = 0;
    return awayMs;
  }
}
