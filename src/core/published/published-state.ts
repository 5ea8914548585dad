/**
 * The published state as one daemon holds it: the newest configuration, how fresh that is proved to
 * be, and the endpoints. Versions never go back, and a process of an endpoint that was seen leaving takes
 * no new work, whatever is read later; a later process may have its id.
 */
import type { EndpointId } from '../ids/index.js';
import type { EndpointChange } from './source.js';
import type { PublishedConfig, PublishedEndpoint, ServiceId } from './types.js';

/** What changed in the list of endpoints. */
export interface ListChange {
  readonly joined: readonly PublishedEndpoint[];
  readonly leaving: readonly EndpointId[];
  readonly gone: readonly EndpointId[];
}

const NO_CHANGE: ListChange = { joined: [], leaving: [], gone: [] };

/** Published state of one daemon. Times are monotonic ms. */
export class PublishedState {
  private current: PublishedConfig | undefined;
  private provedAtMs = Number.NEGATIVE_INFINITY;
  private endpoints = new Map<EndpointId, PublishedEndpoint>();
  /** Endpoints that were seen leaving, by the start of their process; one that is only missing may be listed again. */
  private readonly left = new Map<EndpointId, number>();
  /** Endpoints that are no longer listed and still kept. */
  private readonly missing = new Set<EndpointId>();

  /** The newest configuration; undefined before the first. */
  get config(): PublishedConfig | undefined {
    return this.current;
  }

  /** Endpoints that may get new work or that still leave. */
  get list(): ReadonlyMap<EndpointId, PublishedEndpoint> {
    return this.endpoints;
  }

  /** Age of the proof that the configuration is the newest, ms; infinite without one. */
  proofAgeMs(nowMs: number): number {
    return nowMs - this.provedAtMs;
  }

  /**
   * Takes a configuration that was the newest at some time after `askedAtMs`; false when it is older
   * than the one in force, which then proves nothing.
   * @example state.offerConfig(config, askedAtMs)
   */
  offerConfig(config: PublishedConfig, askedAtMs: number): boolean {
    if (this.current && config.version < this.current.version) return false;
    if (!this.current || config.version > this.current.version) this.current = config;
    this.provedAtMs = Math.max(this.provedAtMs, askedAtMs);
    return true;
  }

  /** Notes that the configuration in force was still the newest at some time after `askedAtMs`. */
  proveConfig(askedAtMs: number): void {
    if (this.current) this.provedAtMs = Math.max(this.provedAtMs, askedAtMs);
  }

  /** Whether an endpoint takes new work. */
  takesWork(id: EndpointId): boolean {
    const endpoint = this.endpoints.get(id);
    return endpoint !== undefined && !this.hasLeft(endpoint);
  }

  /** Endpoints of a service that take new work. */
  *workingOf(service: ServiceId): Iterable<PublishedEndpoint> {
    for (const endpoint of this.endpoints.values())
      if (endpoint.service === service && !this.hasLeft(endpoint)) yield endpoint;
  }

  private hasLeft({ id, startedAtMs }: PublishedEndpoint): boolean {
    const leftAtMs = this.left.get(id);
    return leftAtMs !== undefined && startedAtMs <= leftAtMs;
  }

  /**
   * Takes a whole list. Endpoints that are missing are gone, unless the store has just come back, when
   * entries that lapsed meanwhile have yet to be written again: then they are kept until `dropMissing`.
   * @example state.offerList(endpoints, false).gone
   */
  offerList(listed: readonly PublishedEndpoint[], keepsMissing: boolean): ListChange {
    const next = new Map(listed.map((endpoint) => [endpoint.id, endpoint]));
    const gone = keepsMissing ? this.keepMissing(next) : this.missingFrom(next);
    const joined = listed.filter((e) => e.startedAtMs !== this.endpoints.get(e.id)?.startedAtMs);
    const leaving = listed.filter((e) => e.isLeaving && !this.hasLeft(e));
    for (const endpoint of leaving) this.left.set(endpoint.id, endpoint.startedAtMs);
    this.endpoints = next;
    return { joined, leaving: leaving.map((e) => e.id), gone };
  }

  /**
   * Takes changes of the list.
   * @example state.applyChanges([{ kind: 'removed', id }], false).gone // [id]
   */
  applyChanges(changes: readonly EndpointChange[], keepsMissing: boolean): ListChange {
    if (changes.length === 0) return NO_CHANGE;
    const listed = new Map([...this.endpoints].filter(([id]) => !this.missing.has(id)));
    for (const change of changes) {
      if (change.kind === 'written') listed.set(change.endpoint.id, change.endpoint);
      else listed.delete(change.id);
    }
    return this.offerList([...listed.values()], keepsMissing);
  }

  /**
   * Drops the endpoints that were kept though they are missing.
   * @example state.dropMissing().gone
   */
  dropMissing(): ListChange {
    const gone = [...this.missing];
    for (const id of gone) this.endpoints.delete(id);
    this.missing.clear();
    return { ...NO_CHANGE, gone };
  }

  private missingFrom(next: ReadonlyMap<EndpointId, PublishedEndpoint>): EndpointId[] {
    this.missing.clear();
    return [...this.endpoints.keys()].filter((id) => !next.has(id));
  }

  private keepMissing(next: Map<EndpointId, PublishedEndpoint>): EndpointId[] {
    for (const id of next.keys()) this.missing.delete(id);
    for (const [id, endpoint] of this.endpoints) {
      if (next.has(id)) continue;
      this.missing.add(id);
      next.set(id, endpoint);
    }
    return [];
  }
}
