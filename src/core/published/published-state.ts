/**
 * The published state as one daemon holds it: the newest configuration, when it was last confirmed
 * as current, and the endpoints. Versions never decrease. A process that was seen leaving receives
 * no new requests whatever is read later; a later process may reuse its id.
 */
import type { EndpointId } from '../ids/index.js';
import { DepartedEndpoints } from './departed-endpoints.js';
import { Evacuations, type EvacuationChange } from './evacuations.js';
import type { EndpointChange, EvacuationUpdate } from './source.js';
import type {
  DataCentreId,
  EndpointProcess,
  PublishedConfig,
  PublishedEndpoint,
  ServiceId,
} from './types.js';

/** Changes of the endpoint list. */
export interface ListChange {
  readonly joined: readonly PublishedEndpoint[];
  readonly leaving: readonly EndpointId[];
  readonly gone: readonly EndpointId[];
}

const NO_EVACUATION_CHANGE: EvacuationChange = { began: [], ended: [] };

const NO_CHANGE: ListChange = { joined: [], leaving: [], gone: [] };

/**
 * Time in which operators and endpoints rewrite what a restored store has lost, ms, as its
 * operators state it for endpoints. A read within this time may miss a newer configuration and
 * confirms nothing; otherwise a key revoked just before the loss would be accepted for 3.5 s from
 * the first read on, however long the outage.
 */
export const REWRITE_WINDOW_MS = 2000;

/** Published state of one daemon. Times are monotonic ms. */
export class PublishedState {
  private currentConfig: PublishedConfig | undefined;
  private confirmedAtMs = Number.NEGATIVE_INFINITY;
  private lastContactAtMs = Number.NEGATIVE_INFINITY;
  private currentEra: number | undefined;
  /** Reads before this time do not confirm the configuration as current. */
  private confirmableFromMs = Number.NEGATIVE_INFINITY;
  private endpoints = new Map<EndpointId, PublishedEndpoint>();
  private readonly departed = new DepartedEndpoints();
  private readonly evacuations = new Evacuations();
  /** Endpoints that are no longer listed but still kept. */
  private readonly missing = new Set<EndpointId>();

  /** The newest configuration; undefined before the first one. */
  get config(): PublishedConfig | undefined {
    return this.currentConfig;
  }

  /** Endpoints that are available or still leaving. */
  get list(): ReadonlyMap<EndpointId, PublishedEndpoint> {
    return this.endpoints;
  }

  /** Time since the configuration was last confirmed as current, ms; infinite if it never was. */
  confirmedAgoMs(nowMs: number): number {
    return nowMs - this.confirmedAtMs;
  }

  /**
   * Time since the last contact with the store, direct or through relays, ms; infinite before the
   * first one.
   */
  lastContactAgoMs(nowMs: number): number {
    return nowMs - this.lastContactAtMs;
  }

  /** Records contact with the store at some time after `askedAtMs`, even if it confirms nothing. */
  noteContact(askedAtMs: number): void {
    this.lastContactAtMs = Math.max(this.lastContactAtMs, askedAtMs);
  }

  /** Era of the store in which the state was read; 0 before the first read. */
  get era(): number {
    return this.currentEra ?? 0;
  }

  /**
   * Records the era of a read; returns true if it changed. The store was then restored from an
   * older copy: its losses have yet to be rewritten, and its revisions are not comparable with
   * earlier ones.
   * @example if (state.enterEra(read.era, clock.nowMs())) keepMissing();
   */
  enterEra(era: number, nowMs: number): boolean {
    const isOtherEra = this.currentEra !== undefined && era !== this.currentEra;
    this.currentEra = era;
    if (!isOtherEra) return false;
    this.confirmableFromMs = nowMs + REWRITE_WINDOW_MS;
    this.departed.markListOutdated();
    this.evacuations.markListOutdated();
    return true;
  }

  /**
   * Trusts the list again; call this when records of removed endpoints must have expired from it
   * and lost records of evacuations must have been rewritten.
   */
  markListCurrent(): EvacuationChange {
    this.departed.markListCurrent();
    return this.evacuations.markListCurrent();
  }

  /** Data centres whose endpoints receive no new requests. */
  get evacuated(): ReadonlySet<DataCentreId> {
    return this.evacuations.all;
  }

  /**
   * Applies what a read says about evacuated data centres; without word of them the last set holds.
   * @example state.offerEvacuations({ kind: 'whole', dataCentres: [dataCentre] }).began
   */
  offerEvacuations(update: EvacuationUpdate | undefined): EvacuationChange {
    return update ? this.evacuations.apply(update) : NO_EVACUATION_CHANGE;
  }

  /** Keeps evacuations that only a peer knows of, until `markListCurrent`. */
  keepEvacuations(dataCentres: readonly DataCentreId[]): EvacuationChange {
    return this.evacuations.keep(dataCentres);
  }

  /** Returns whether a service has endpoints that only the evacuation of their data centres excludes. */
  isEvacuated(service: ServiceId): boolean {
    if (this.evacuated.size === 0) return false;
    let hasEvacuated = false;
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.service !== service || this.isDeparted(endpoint)) continue;
      if (!this.evacuated.has(endpoint.dataCentre)) return false;
      hasEvacuated = true;
    }
    return hasEvacuated;
  }

  /**
   * Applies a configuration that was current at some time after `askedAtMs`. Returns false if it is
   * older than the active one, which it then does not confirm.
   * @example state.offerConfig(config, askedAtMs)
   */
  offerConfig(config: PublishedConfig, askedAtMs: number): boolean {
    if (this.currentConfig && config.version < this.currentConfig.version) return false;
    if (!this.currentConfig || config.version > this.currentConfig.version)
      this.currentConfig = config;
    this.confirm(askedAtMs);
    return true;
  }

  /** Confirms that the active configuration was still current at some time after `askedAtMs`. */
  confirmConfig(askedAtMs: number): void {
    if (this.currentConfig) this.confirm(askedAtMs);
  }

  private confirm(atMs: number): void {
    this.noteContact(atMs);
    if (atMs >= this.confirmableFromMs) this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /** Returns whether an endpoint receives new requests. */
  isAvailable(id: EndpointId): boolean {
    const endpoint = this.endpoints.get(id);
    return endpoint !== undefined && this.acceptsRequests(endpoint);
  }

  /** Iterates over the endpoints of a service that receive new requests. */
  *availableEndpoints(service: ServiceId): Iterable<PublishedEndpoint> {
    for (const endpoint of this.endpoints.values())
      if (endpoint.service === service && this.acceptsRequests(endpoint)) yield endpoint;
  }

  private acceptsRequests(endpoint: PublishedEndpoint): boolean {
    return !this.evacuated.has(endpoint.dataCentre) && !this.isDeparted(endpoint);
  }

  /**
   * Records that an endpoint process announced its leaving outside the list; returns false if that
   * was known. It applies whatever the list says about that process.
   * @example if (state.noteLeaving(endpoint)) broadcastLeaving();
   */
  noteLeaving(process: EndpointProcess): boolean {
    if (this.departed.isLeaving(process)) return false;
    this.departed.noteLeaving(process);
    return true;
  }

  private isDeparted(endpoint: PublishedEndpoint): boolean {
    return this.departed.isLeaving(endpoint) || this.departed.isGone(endpoint);
  }

  /**
   * Returns the list for peers that may know less: leaving endpoints are marked, and endpoints that
   * were removed before are omitted.
   */
  listForPeers(): Map<EndpointId, PublishedEndpoint> {
    const peerList = new Map<EndpointId, PublishedEndpoint>();
    for (const [id, endpoint] of this.endpoints) {
      if (this.departed.isGone(endpoint)) continue;
      const isLeaving = endpoint.isLeaving || this.departed.isLeaving(endpoint);
      peerList.set(id, isLeaving === endpoint.isLeaving ? endpoint : { ...endpoint, isLeaving });
    }
    return peerList;
  }

  /**
   * Replaces the list. Missing endpoints are removed, except shortly after an outage, when expired
   * records have yet to be rewritten: they are then kept until `dropMissing`.
   * @example state.offerList(endpoints, false).gone
   */
  offerList(listed: readonly PublishedEndpoint[], keepsMissing: boolean): ListChange {
    const next = new Map(listed.map((endpoint) => [endpoint.id, endpoint]));
    const gone = keepsMissing ? this.keepMissing(next) : this.missingFrom(next);
    const joined = listed.filter((e) => e.startedAtMs !== this.endpoints.get(e.id)?.startedAtMs);
    const leaving = listed.filter((e) => e.isLeaving && !this.departed.isLeaving(e));
    for (const endpoint of leaving) this.departed.noteLeaving(endpoint);
    for (const endpoint of joined) this.departed.noteListed(endpoint);
    this.noteGone(gone);
    this.endpoints = next;
    return { joined, leaving: leaving.map((e) => e.id), gone };
  }

  /**
   * Applies changes to the list.
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
   * Removes the missing endpoints that were kept.
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
      if (endpoint) this.departed.noteGone(endpoint);
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
