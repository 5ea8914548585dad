/** Follows the published state: reads it again and again, and notes what was learnt and when. */
import { sleep, type Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Result } from '../result/index.js';
import type { PublishedState } from './published-state.js';
import type { PublishedKind, PublishedSource, Read, ReadFault } from './source.js';
import type { PublishedConfig, PublishedEndpoint } from './types.js';

/**
 * Longest wait for a change of the configuration, ms: each answer proves that the version in force is
 * still the newest, and keys may be honoured for 5 s after such a proof.
 */
const CONFIG_WAIT_MS = 1200;
/** Longest wait for a change of the list of endpoints, ms: an endpoint that leaves gets no work 2 s later. */
const ENDPOINTS_WAIT_MS = 1500;
/** Longest waits of an entry. */
export const ENTRY_WAIT_MS = { config: CONFIG_WAIT_MS, endpoints: ENDPOINTS_WAIT_MS } as const;
/** Pause after a read that failed, ms: a store that is back is seen soon, at few calls meanwhile. */
export const FAILED_PAUSE_MS = 300;
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
  /** Longest waits for a change, ms. */
  readonly waitMs: Readonly<Record<PublishedKind, number>>;
}

/** Logs a dependency once when it is lost and once when it is back. */
class DependencyLog {
  private lostAtMs: number | undefined;

  constructor(
    private readonly parts: FollowParts,
    private readonly what: string,
  ) {}

  failed(fault: ReadFault): void {
    this.parts.metrics.count('published_read_failures_total', {
      what: this.what,
      kind: fault.kind,
    });
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

/** Reads one kind of published state, waits for the next change, and reads again. */
async function followKind<T>(
  parts: FollowParts,
  kind: PublishedKind,
  read: () => Promise<Result<Read<T>, ReadFault>>,
  take: (value: T, askedAtMs: number, awayMs: number) => void,
  unchanged: (askedAtMs: number) => void,
  signal: AbortSignal,
): Promise<void> {
  const { clock } = parts;
  const dependency = new DependencyLog(parts, kind);
  const waitMs = parts.waitMs[kind];
  let revision: number | undefined;
  while (!signal.aborted) {
    const askedAtMs = clock.nowMs();
    if (revision === undefined) {
      const got = await read();
      if (got.err) {
        dependency.failed(got.val);
        await sleep(FAILED_PAUSE_MS * (0.8 + 0.4 * parts.random()), signal);
        continue;
      }
      revision = got.val.revision;
      take(got.val.value, askedAtMs, dependency.worked());
    }
    const waitedFromMs = clock.nowMs();
    const changed = await parts.source.waitForChange(kind, revision, waitMs);
    if (changed.err) dependency.failed(changed.val);
    // Whatever went wrong with the wait, a plain read tells where we stand.
    if (changed.err || changed.val) revision = undefined;
    else unchanged(waitedFromMs);
  }
}

/**
 * Follows the configuration until the signal aborts.
 * @example void followConfig(parts, signal);
 */
export function followConfig(parts: FollowParts, signal: AbortSignal): Promise<void> {
  const { source, state, clock, log, metrics } = parts;
  const take = (config: PublishedConfig, askedAtMs: number): void => {
    const before = state.config?.version;
    if (!state.offerConfig(config, askedAtMs)) {
      metrics.count('config_older_total');
      log.warn('config.older', { version: config.version, inForce: before });
    } else if (config.version !== before) {
      const readMs = Math.round(clock.nowMs() - askedAtMs);
      log.info('config.inForce', { version: config.version, before, readMs });
    }
  };
  return followKind(
    parts,
    'config',
    source.readConfig,
    take,
    (at) => state.proveConfig(at),
    signal,
  );
}

/**
 * Follows the list of endpoints until the signal aborts.
 * @example void followEndpoints(parts, signal);
 */
export function followEndpoints(parts: FollowParts, signal: AbortSignal): Promise<void> {
  const { source, state, clock, log } = parts;
  let graceUntilMs = Number.NEGATIVE_INFINITY;
  const take = (listed: readonly PublishedEndpoint[], askedAtMs: number, awayMs: number): void => {
    const nowMs = clock.nowMs();
    if (awayMs >= AWAY_MS) graceUntilMs = nowMs + RETURN_GRACE_MS;
    const change = state.offerList(listed, askedAtMs, nowMs < graceUntilMs ? RETURN_GRACE_MS : 0);
    for (const endpoint of change.joined)
      log.info('endpoint.joined', {
        endpoint: endpoint.id,
        service: endpoint.service,
        address: endpoint.address,
      });
    for (const endpoint of change.leaving) log.info('endpoint.leaving', { endpoint });
    for (const endpoint of change.gone) log.info('endpoint.gone', { endpoint });
  };
  const unchanged = (askedAtMs: number): void => {
    // An entry that lapsed and was not written again in its time is gone.
    state.settleMissing(askedAtMs, clock.nowMs() < graceUntilMs ? RETURN_GRACE_MS : 0);
  };
  return followKind(parts, 'endpoints', source.readEndpoints, take, unchanged, signal);
}
