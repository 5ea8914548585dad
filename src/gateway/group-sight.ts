/** What an entry knows of the groups behind it: asked from the agents beside the engines. */
import { sleep, type Clock } from '../core/clock/index.js';
import { errorText } from '../core/errors/index.js';
import type { EndpointId } from '../core/ids/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import {
  hostOf,
  type PublishedEndpoint,
  type PublishedState,
  type ServiceId,
} from '../core/published/index.js';
import type { GroupDigest } from '../generated/messages.types.js';

/** Pause between two questions, ms: a digest is made each 0.1 to 0.5 s. */
const ASK_PAUSE_MS = 150;
/** Time for an answer, ms. */
const ASK_MS = 300;
/** Age above which what was seen is not acted on any more, ms. */
const STALE_MS = 1500;

/**
 * One engine as its group's coordinator saw it. Its load is left out: entries that all send where the
 * load was least a moment ago meet there (docs/EXPERIMENTS.md).
 */
export interface EngineSight {
  /** How slow it is; 1 is its ordinary pace. */
  readonly pace: number;
}

/** A group as a whole. */
export interface GroupSize {
  readonly ranks: number;
  /** Streams that run or wait at all its engines. */
  readonly running: number;
  /** Entries that send to it. */
  readonly entries: number;
}

/** What was seen of one service's group. */
interface Sight {
  readonly seenAtMs: number;
  readonly engines: ReadonlyMap<EndpointId, EngineSight>;
  readonly size: GroupSize;
}

/** Asks the agent at an address for its group. */
export type AskGroup = (address: string, withinMs: number) => Promise<GroupDigest | undefined>;

/** What watching groups needs. */
export interface GroupSightParts {
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  /** Port of the agents. */
  readonly port: number;
  readonly ask: AskGroup;
  /** Called when a service's group was seen anew. */
  readonly onSeen: (service: ServiceId) => void;
}

/** The groups behind one entry. */
export class GroupSight {
  private readonly sights = new Map<ServiceId, Sight>();
  private lost = false;

  constructor(private readonly parts: GroupSightParts) {}

  /** What was seen of an engine; undefined when that is too old to count on. */
  of(endpoint: PublishedEndpoint): EngineSight | undefined {
    return this.fresh(endpoint.service)?.engines.get(endpoint.id);
  }

  /** What was seen of a service's group; undefined when that is too old to count on. */
  sizeOf(service: ServiceId): GroupSize | undefined {
    return this.fresh(service)?.size;
  }

  private fresh(service: ServiceId): Sight | undefined {
    const sight = this.sights.get(service);
    if (!sight || this.parts.clock.nowMs() - sight.seenAtMs > STALE_MS) return undefined;
    return sight;
  }

  /** Asks on until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(ASK_PAUSE_MS * (0.8 + 0.4 * this.parts.random()), signal);
      for (const service of this.engineServices()) await this.ask(service);
    }
  }

  private engineServices(): ServiceId[] {
    const services = this.parts.state.config?.services;
    if (!services) return [];
    return [...services.values()].filter((s) => s.engine !== undefined).map((s) => s.id);
  }

  private async ask(service: ServiceId): Promise<void> {
    const { parts } = this;
    const engines = [...parts.state.list.values()].filter((e) => e.service === service);
    const near = engines.filter((e) => e.dataCentre === parts.dataCentre);
    const choices = near.length > 0 ? near : engines;
    const agent = choices[Math.floor(parts.random() * choices.length)];
    if (!agent) return;
    try {
      const digest = await parts.ask(`${hostOf(agent.address)}:${parts.port}`, ASK_MS);
      if (digest?.whole) this.take(service, digest, engines);
    } catch (err) {
      parts.metrics.count('group_asks_failed_total');
      if (!this.lost)
        parts.log.info('group.lost', { agent: hostOf(agent.address), err: errorText(err) });
      this.lost = true;
    }
  }

  private take(
    service: ServiceId,
    digest: GroupDigest,
    listed: readonly PublishedEndpoint[],
  ): void {
    const engines = new Map<EndpointId, EngineSight>();
    for (const engine of listed) {
      const rank = digest.hosts.indexOf(hostOf(engine.address));
      if (rank >= 0) engines.set(engine.id, { pace: digest.pace[rank] ?? 1 });
    }
    const size: GroupSize = {
      ranks: digest.hosts.length,
      running: digest.load.reduce((sum, load) => sum + load, 0),
      entries: digest.entries,
    };
    this.sights.set(service, { seenAtMs: this.parts.clock.nowMs(), engines, size });
    if (this.lost) this.parts.log.info('group.regained', { engines: engines.size });
    this.lost = false;
    this.parts.onSeen(service);
  }
}
