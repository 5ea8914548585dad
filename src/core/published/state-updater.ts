/** Applies reads to the published state and logs the changes. */
import type { Clock } from '../clock/index.js';
import type { Log, LogFields } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { EvacuationChange } from './evacuations.js';
import type { ListChange, PublishedState } from './published-state.js';
import type { SourceHealth } from './source-health.js';
import type { ConfigUpdate, PublishedSource } from './source.js';
import type { PublishedConfig } from './types.js';

/** Dependencies of `StateUpdater`. */
export interface StateUpdaterDeps {
  readonly source: Pick<PublishedSource, 'name'>;
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Number of skipped records that are remembered as logged. */
const MAX_LOGGED_INVALID = 256;

/**
 * Applies configurations to the published state and logs changes of it and of the endpoint list.
 */
export class StateUpdater {
  /** Whether the active configuration is the newest published one. */
  private isNewest = false;
  private readonly loggedInvalid = new Set<string>();

  constructor(
    private readonly deps: StateUpdaterDeps,
    private readonly sourceHealth: SourceHealth,
  ) {}

  /**
   * Applies what was received at some time after `askedAtMs`. An unchanged configuration is only
   * confirmed if the active one is the newest.
   */
  applyConfig(update: ConfigUpdate, askedAtMs: number): void {
    if (update.kind === 'read') this.isNewest = this.acceptConfig(update.config, askedAtMs);
    else if (update.kind !== 'same') this.isNewest = false;
    else if (this.isNewest) this.deps.state.confirmConfig(askedAtMs);
  }

  /**
   * Returns false if the active configuration is newer; what the store holds does not confirm it
   * then.
   */
  private acceptConfig(config: PublishedConfig, askedAtMs: number): boolean {
    const { state, log, metrics, clock } = this.deps;
    const before = state.config?.version;
    if (!state.offerConfig(config, askedAtMs)) {
      metrics.count('config_older_total');
      log.warn('config.older', { version: config.version, inForce: before });
      return false;
    }
    if (config.version !== before) {
      const readMs = Math.round(clock.nowMs() - askedAtMs);
      log.info('config.inForce', {
        version: config.version,
        before,
        readMs,
        ...this.originFields(),
      });
    }
    return true;
  }

  /** Logs joined, leaving and removed endpoints. */
  logListChange(change: ListChange): void {
    const { log } = this.deps;
    for (const endpoint of change.joined)
      log.info('endpoint.joined', {
        endpoint: endpoint.id,
        service: endpoint.service,
        address: endpoint.address,
      });
    for (const endpoint of change.leaving)
      log.info('endpoint.leaving', { endpoint, ...this.originFields() });
    for (const endpoint of change.gone)
      log.info('endpoint.gone', { endpoint, ...this.originFields() });
  }

  /** Logs data centres whose evacuation began or ended. */
  logEvacuations({ began, ended }: EvacuationChange): void {
    for (const dataCentre of began)
      this.deps.log.info('evacuation.began', { dataCentre, ...this.originFields() });
    for (const dataCentre of ended)
      this.deps.log.info('evacuation.ended', { dataCentre, ...this.originFields() });
  }

  /** Counts and logs skipped records, each once as long as it is read again and again. */
  logInvalid(records: readonly string[]): void {
    for (const detail of records) {
      if (this.loggedInvalid.has(detail)) continue;
      if (this.loggedInvalid.size >= MAX_LOGGED_INVALID) this.loggedInvalid.clear();
      this.loggedInvalid.add(detail);
      this.deps.metrics.count('published_invalid_total');
      this.deps.log.warn('published.invalid', { detail });
    }
  }

  /**
   * Returns the source of an update and the time since the previous response, a lower bound on the
   * age of the state that was in use until then.
   */
  private originFields(): LogFields {
    return { source: this.deps.source.name, heardAgoMs: this.sourceHealth.receivedAgoMs() };
  }
}
