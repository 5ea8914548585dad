/**
 * The published state as one daemon holds it: the newest configuration, how fresh that is proved to
 * be, and the endpoints. Versions never go back, and a process of an endpoint that was seen leaving takes
 * no new work, whatever is read later; a later process may have its id.
 */
import type { EndpointId } from '../ids/index.js';
import { LeftEndpoints } from './left-endpoints.js';
import type { EndpointChange } from './source.js';
import type { EndpointProcess, PublishedConfig, PublishedEndpoint, ServiceId } from './types.js';

/** What changed in the list of endpoints. */
export interface ListChange {
  readonly joined: readonly PublishedEndpoint[];
  readonly leaving: readonly EndpointId[];
  readonly gone: readonly EndpointId[];
}

const NO_CHANGE: ListChange = { joined: [], leaving: [], gone: [] };

/**
 * Time in which operators and endpoints write again what the store has lost, ms, as its operators state it for endpoints. What is
 * read by then may lack a newer configuration, so it proves nothing: a key that was taken away just before the loss
 * would be honoured for 3.5 s from the first read on, however long the store was away.
 */
export const REWRITE_MS = 2000;

/** Published state of one daemon. Times are monotonic ms. */
export class PublishedState {
  private current: PublishedConfig | undefined;
  private provedAtMs = Number.NEGATIVE_INFINITY;
  private heardAtMs = Number.NEGATIVE_INFINITY;
  private currentEra: number | undefined;
  /** From then on what is read proves something. */
  private provesFromMs = Number.NEGATIVE_INFINITY;
  private endpoints = new Map<EndpointId, PublishedEndpoint>();
  private readonly left = new LeftEndpoints();
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

  /** Time since the store was heard last, by way of relays or not, ms; infinite before the first time. */
  heardAgeMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /** Notes that the store was heard at some time after `askedAtMs`, also where that proves nothing. */
  noteHeard(askedAtMs: number): void {
    this.heardAtMs = Math.max(this.heardAtMs, askedAtMs);
  }

  /** The era of the store in which all this was read; 0 before anything was. */
  get era(): number {
    return this.currentEra ?? 0;
  }

  /**
   * Takes the era in which something was read. True where it is another one than before: the store has come back from an
   * older copy, what it has lost is yet to be written again, and its revisions mean something else than they did.
   * @example if (state.enterEra(read.era, clock.nowMs())) keepMissing();
   */
  enterEra(era: number, nowMs: number): boolean {
    const isOther = this.currentEra !== undefined && era !== this.currentEra;
    this.currentEra = era;
    if (!isOther) return false;
    this.provesFromMs = nowMs + REWRITE_MS;
    this.left.distrustList();
    return true;
  }

  /** Takes the list for what it says again; to be called when those who are gone can no longer stand in it. */
  trustList(): void {
    this.left.trustList();
  }

  /**
   * Takes a configuration that was the newest at some time after `askedAtMs`; false when it is older
   * than the one in force, which then proves nothing.
   * @example state.offerConfig(config, askedAtMs)
   */
  offerConfig(config: PublishedConfig, askedAtMs: number): boolean {
    if (this.current && config.version < this.current.version) return false;
    if (!this.current || config.version > this.current.version) this.current = config;
    this.prove(askedAtMs);
    return true;
  }

  /** Notes that the configuration in force was still the newest at some time after `askedAtMs`. */
  proveConfig(askedAtMs: number): void {
    if (this.current) this.prove(askedAtMs);
  }

  private prove(atMs: number): void {
    this.noteHeard(atMs);
    if (atMs >= this.provesFromMs) this.provedAtMs = Math.max(this.provedAtMs, atMs);
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

  /**
   * Notes that a process of an endpoint said, by another way than the list, that it leaves; false when that was known. It holds
   * whatever the list says of that process.
   * @example if (state.noteLeaving(endpoint)) tellOthers();
   */
  noteLeaving(process: EndpointProcess): boolean {
    if (this.left.isLeaving(process)) return false;
    this.left.noteLeaving(process);
    return true;
  }

  private hasLeft(endpoint: PublishedEndpoint): boolean {
    return this.left.isLeaving(endpoint) || this.left.isGone(endpoint);
  }

  /** The list with all that is known of it, for others, who may know less: what leaves is marked, what was gone is left out. */
  listToTell(): Map<EndpointId, PublishedEndpoint> {
    const told = new Map<EndpointId, PublishedEndpoint>();
    for (const [id, endpoint] of this.endpoints) {
      if (this.left.isGone(endpoint)) continue;
      const isLeaving = endpoint.isLeaving || this.left.isLeaving(endpoint);
      told.set(id, isLeaving === endpoint.isLeaving ? endpoint : { ...endpoint, isLeaving });
    }
    return told;
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
    const leaving = listed.filter((e) => e.isLeaving && !this.left.isLeaving(e));
    for (const endpoint of leaving) this.left.noteLeaving(endpoint);
    for (const endpoint of joined) this.left.noteListed(endpoint);
    this.noteGone(gone);
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
    this.noteGone(gone);
    for (const id of gone) this.endpoints.delete(id);
    this.missing.clear();
    return { ...NO_CHANGE, gone };
  }

  private noteGone(ids: readonly EndpointId[]): void {
    for (const id of ids) {
      const endpoint = this.endpoints.get(id);
      if (endpoint) this.left.noteGone(endpoint);
    }
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
