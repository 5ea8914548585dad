/** Follows the published state: reads it again and again, and notes what was learnt and when. */
import { sleep, type Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { PublishedState } from './published-state.js';
import type { PublishedSource, ReadFault } from './source.js';

/**
 * Pause between two reads, ms. A change must be in force 2 s after it was acknowledged: one pause,
 * one slow answer (0.3 s) and one lost one fit in.
 */
export const READ_PAUSE_MS = 500;
/** Pause after a read that failed, ms: a store that is back is seen soon, at few calls meanwhile. */
export const FAILED_PAUSE_MS = 250;
/** A store that did not answer for this long has been away, ms. */
export const AWAY_MS = 1200;
/** Time that entries which lapsed while the store was away have to be written again, ms. */
export const RETURN_GRACE_MS = 2000;

/** What following needs. */
export interface FollowParts {
  readonly source: PublishedSource;
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: () => number;
}

/** Logs a dependency once when it is lost and once when it is back. */
class DependencyLog {
  private lostAtMs: number | undefined;

  constructor(
    private readonly parts: FollowParts,
    private readonly what: string,
  ) {}

  failed(fault: ReadFault): void {
    this.parts.metrics.count('published_read_failures_total', { what: this.what, kind: fault.kind });
    if (this.lostAtMs !== undefined) return;
    this.lostAtMs = this.parts.clock.nowMs();
    this.parts.log.warn('published.lost', { what: this.what, ...fault });
  }

  /** Time that the dependency was lost, ms; 0 when it was not. */
  worked(): number {
    if (this.lostAtMs === undefined) return 0;
    const awayMs = this.parts.clock.nowMs() - this.lostAtMs;
    this.lostAtMs = undefined;
    this.parts.log.info('published.regained', { what: this.what, awayMs: Math.round(awayMs) });
    return awayMs;
  }
}

async function pause(parts: FollowParts, ms: number, signal: AbortSignal): Promise<void> {
  await sleep(ms * (0.8 + 0.4 * parts.random()), signal);
}

/**
 * Follows the configuration until the signal aborts.
 * @example void followConfig(parts, signal);
 */
export async function followConfig(parts: FollowParts, signal: AbortSignal): Promise<void> {
  const { source, state, clock, log, metrics } = parts;
  const dependency = new DependencyLog(parts, 'configuration');
  while (!signal.aborted) {
    const askedAtMs = clock.nowMs();
    const read = await source.readConfig();
    if (read.err) {
      dependency.failed(read.val);
      await pause(parts, FAILED_PAUSE_MS, signal);
      continue;
    }
    dependency.worked();
    const { config } = read.val;
    const before = state.config?.version;
    if (!config) state.proveConfig(askedAtMs);
    else if (!state.offerConfig(config, askedAtMs)) {
      metrics.count('config_older_total');
      log.warn('config.older', { version: config.version, inForce: before });
    } else if (config.version !== before) {
      const readMs = Math.round(clock.nowMs() - askedAtMs);
      log.info('config.inForce', { version: config.version, before, readMs });
    }
    await pause(parts, READ_PAUSE_MS, signal);
  }
}

/**
 * Follows the list of endpoints until the signal aborts.
 * @example void followEndpoints(parts, signal);
 */
export async function followEndpoints(parts: FollowParts, signal: AbortSignal): Promise<void> {
  const { source, state, clock, log } = parts;
  const dependency = new DependencyLog(parts, 'endpoints');
  let graceUntilMs = Number.NEGATIVE_INFINITY;
  while (!signal.aborted) {
    const askedAtMs = clock.nowMs();
    const read = await source.readEndpoints();
    if (read.err) {
      dependency.failed(read.val);
      await pause(parts, FAILED_PAUSE_MS, signal);
      continue;
    }
    const nowMs = clock.nowMs();
    if (dependency.worked() >= AWAY_MS) graceUntilMs = nowMs + RETURN_GRACE_MS;
    const change = state.offerList(read.val, askedAtMs, nowMs < graceUntilMs ? RETURN_GRACE_MS : 0);
    for (const endpoint of change.joined)
      log.info('endpoint.joined', {
        endpoint: endpoint.id,
        service: endpoint.service,
        address: endpoint.address,
      });
    for (const endpoint of change.leaving) log.info('endpoint.leaving', { endpoint });
    for (const endpoint of change.gone) log.info('endpoint.gone', { endpoint });
    await pause(parts, READ_PAUSE_MS, signal);
  }
}
