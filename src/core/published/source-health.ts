/**
 * Logs when the published state becomes unreadable and when it recovers, and tracks the time since
 * it was last received.
 */
import type { Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { PublishedSource, ReadFault } from './source.js';

/** Dependencies of `SourceHealth`. */
export interface SourceHealthDeps {
  readonly source: Pick<PublishedSource, 'name'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

const US_PER_MS = 1000;

/** Logs one line when the source is lost and one when it recovers. */
export class SourceHealth {
  private lostAtMs: number | undefined;
  private consecutiveFailures = 0;
  private receivedAtMs: number | undefined;
  /** Start time of the last failed call. */
  lastFailedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: SourceHealthDeps) {}

  /** Number of consecutive failed calls. */
  get failures(): number {
    return this.consecutiveFailures;
  }

  /** Time since the last successful response, ms; undefined before the first one. */
  receivedAgoMs(): number | undefined {
    if (this.receivedAtMs === undefined) return undefined;
    return Math.round(this.deps.clock.nowMs() - this.receivedAtMs);
  }

  /** Records a successful response, with or without changes. */
  noteReceived(): void {
    const { clock, metrics } = this.deps;
    const nowMs = clock.nowMs();
    if (this.receivedAtMs !== undefined)
      metrics.observe('published_silence_us', (nowMs - this.receivedAtMs) * US_PER_MS);
    this.receivedAtMs = nowMs;
  }

  /** Records a failed call. */
  noteFailure(fault: ReadFault, askedAtMs: number): void {
    const { clock, log, metrics, source } = this.deps;
    this.lastFailedAtMs = askedAtMs;
    this.consecutiveFailures += 1;
    metrics.count('published_read_failures_total', { kind: fault.kind });
    if (this.lostAtMs !== undefined) return;
    this.lostAtMs = clock.nowMs();
    const waitedMs = Math.round(this.lostAtMs - askedAtMs);
    log.warn('published.lost', {
      source: source.name,
      ...fault,
      waitedMs,
      heardAgoMs: this.receivedAgoMs(),
    });
  }

  /** Records that an announced configuration could not be read. */
  noteConfigUnread(fault: ReadFault, askedAtMs: number): void {
    const { clock, log, metrics, source } = this.deps;
    metrics.count('config_unread_total', { kind: fault.kind });
    const waitedMs = Math.round(clock.nowMs() - askedAtMs);
    log.warn('config.unread', { source: source.name, ...fault, waitedMs });
  }

  /**
   * Records a successful call; returns the time since the first of the failures before it, ms, or
   * 0.
   */
  noteSuccess(): number {
    if (this.lostAtMs === undefined) return 0;
    const { clock, log, source } = this.deps;
    const awayMs = clock.nowMs() - this.lostAtMs;
    log.info('published.regained', {
      source: source.name,
      awayMs: Math.round(awayMs),
      failures: this.consecutiveFailures,
      heardAgoMs: this.receivedAgoMs(),
    });
    this.lostAtMs = undefined;
    this.consecutiveFailures = 0;
    return awayMs;
  }
}
