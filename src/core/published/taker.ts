/** Takes what was read into the published state, and logs what it changes. */
import type { Clock } from '../clock/index.js';
import type { Log, LogFields } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ListChange, PublishedState } from './published-state.js';
import type { SourceLog } from './source-log.js';
import type { ConfigNews, PublishedSource } from './source.js';
import type { PublishedConfig } from './types.js';

/** What taking needs. */
export interface TakerParts {
  readonly source: Pick<PublishedSource, 'name'>;
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Takes what was read. */
export class Taker {
  /** Whether the configuration in force is the newest one that is published. */
  private isNewest = false;

  constructor(
    private readonly parts: TakerParts,
    private readonly sourceLog: SourceLog,
  ) {}

  /** Takes what was learnt at some time after `askedAtMs`; only the newest one is a proof. */
  config(news: ConfigNews, askedAtMs: number): void {
    if (news.kind === 'read') this.isNewest = this.offer(news.config, askedAtMs);
    else if (news.kind !== 'same') this.isNewest = false;
    else if (this.isNewest) this.parts.state.proveConfig(askedAtMs);
  }

  /** False where the configuration in force is newer: what the store holds then proves nothing of it. */
  private offer(config: PublishedConfig, askedAtMs: number): boolean {
    const { state, log, metrics, clock } = this.parts;
    const before = state.config?.version;
    if (!state.offerConfig(config, askedAtMs)) {
      metrics.count('config_older_total');
      log.warn('config.older', { version: config.version, inForce: before });
      return false;
    }
    if (config.version !== before) {
      const readMs = Math.round(clock.nowMs() - askedAtMs);
      log.info('config.inForce', { version: config.version, before, readMs, ...this.origin() });
    }
    return true;
  }

  /** Takes how the list of endpoints has changed. */
  list(change: ListChange): void {
    const { log } = this.parts;
    for (const endpoint of change.joined)
      log.info('endpoint.joined', {
        endpoint: endpoint.id,
        service: endpoint.service,
        address: endpoint.address,
      });
    for (const endpoint of change.leaving)
      log.info('endpoint.leaving', { endpoint, ...this.origin() });
    for (const endpoint of change.gone) log.info('endpoint.gone', { endpoint, ...this.origin() });
  }

  /** Logs records that were left out. */
  invalid(records: readonly string[]): void {
    for (const detail of records) this.parts.log.warn('published.invalid', { detail });
  }

  /** Where news came from, and for how long nothing had been heard: what was acted on until now is at least as old. */
  private origin(): LogFields {
    return { source: this.parts.source.name, heardAgoMs: this.sourceLog.heardAgoMs() };
  }
}
