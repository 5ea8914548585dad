/**
 * The published state as one daemon holds it: the configuration document in force and the instance
 * list. Their versions only increase, and readers can wait for the next increase.
 */
import type { ConfigurationDocument } from '../../generated/configuration.types.js';
import type { InstanceList } from '../../generated/instances.types.js';
import validateList from '../../generated/instances.validator.js';
import { ChangeSignal, type Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import { checkDocument } from './check-document.js';
import {
  applyConfig,
  applyList,
  diffConfig,
  diffList,
  type ConfigDelta,
  type ListDelta,
} from './delta.js';

/** Versions that a daemon holds; 0 for none. */
export interface Versions {
  readonly config: number;
  readonly list: number;
}

/** Update for a peer that holds older versions. */
export interface FeedUpdate {
  readonly config?: ConfigurationDocument;
  readonly list?: InstanceList;
  /** Replaces the full document for a peer that holds the preceding version. */
  readonly configDelta?: ConfigDelta;
  readonly listDelta?: ListDelta;
}

/** A refused document, shown by `harrierglade status`. */
export interface RefusedDocument {
  readonly version: number;
  readonly reason: string;
  readonly detail: string;
}

const MAX_REFUSED_DOCUMENTS = 16;

/** Holds the newest valid document and instance list. */
export class FeedStore {
  private doc: ConfigurationDocument | undefined;
  private instances: InstanceList | undefined;
  /** Delta from the previous version to the current one, computed on first use. */
  private configDelta: (() => ConfigDelta) | undefined;
  private listDelta: (() => ListDelta) | undefined;
  private needsFullDocument = false;
  private readonly changes = new ChangeSignal();
  private readonly listeners = new Set<() => void>();
  private readonly refusedVersions = new Map<number, RefusedDocument>();
  private acceptedAtMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  get config(): ConfigurationDocument | undefined {
    return this.doc;
  }

  get list(): InstanceList | undefined {
    return this.instances;
  }

  /** Monotonic time at which the current document was accepted, ms. */
  get configAcceptedAtMs(): number {
    return this.acceptedAtMs;
  }

  get refused(): readonly RefusedDocument[] {
    return [...this.refusedVersions.values()];
  }

  versions(): Versions {
    return { config: this.doc?.version ?? 0, list: this.instances?.version ?? 0 };
  }

  /**
   * Newest versions already handled, accepted or refused; the platform is watched for newer ones.
   * @example platform.watchConfig(store.handledVersions().config, waitMs, signal)
   */
  handledVersions(): Versions {
    const { config, list } = this.versions();
    return { config: Math.max(config, ...this.refusedVersions.keys()), list };
  }

  /**
   * Accepts a document if it is valid and newer than the one in force.
   * @example store.offerConfig(await res.json(), 'platform') // true when it is now in force
   */
  offerConfig(data: unknown, from: string): boolean {
    const version = Number((data as { version?: unknown } | null)?.version);
    if (version <= this.versions().config) return this.countStale('config');
    if (this.refusedVersions.has(version)) return false;
    const result = checkDocument(data);
    if (result.err) return this.rejectDocument(version, result.val.reason, result.val.detail, from);
    const before = this.doc;
    const after = result.val;
    this.doc = after;
    this.needsFullDocument = false;
    this.configDelta = before && lazy(() => diffConfig(before, after));
    this.acceptedAtMs = this.clock.nowMs();
    this.log.info('config.accepted', { version, from, wall: this.clock.wallMs() });
    this.metrics.count('config_accepted_total');
    this.notifyListeners();
    return true;
  }

  /** Accepts an instance list if it is valid and newer than the current one. */
  offerList(data: unknown, from: string): boolean {
    const version = Number((data as { version?: unknown } | null)?.version);
    if (version <= this.versions().list) return this.countStale('list');
    if (!validateList(data)) {
      this.metrics.count('list_refused_total', { reason: 'invalid' });
      this.log.warn('list.refused', {
        version,
        from,
        remedy: 'correct the list that the platform publishes',
      });
      return false;
    }
    const before = this.instances;
    const after = data as InstanceList;
    this.instances = after;
    this.listDelta = before && lazy(() => diffList(before, after));
    this.log.debug('list.accepted', { version, from });
    this.notifyListeners();
    return true;
  }

  /**
   * Versions to send to a peer when requesting updates. After a failed delta the configuration
   * version is 0, so that the peer sends the full document.
   */
  requestedVersions(): Versions {
    return this.needsFullDocument ? { ...this.versions(), config: 0 } : this.versions();
  }

  /** Applies an update from a peer; returns true when any part of it was accepted. */
  offerUpdate(update: FeedUpdate, from: string): boolean {
    const { doc, instances } = this;
    const { configDelta, listDelta } = update;
    let config = update.config ? this.offerConfig(update.config, from) : false;
    if (configDelta && doc?.version === configDelta.from) {
      config = this.offerConfig(applyConfig(doc, configDelta), from);
      this.needsFullDocument = !config;
      this.metrics.count('feed_deltas_total', { taken: String(config) });
    }
    let list = update.list ? this.offerList(update.list, from) : false;
    if (listDelta && instances?.version === listDelta.from)
      list = this.offerList(applyList(instances, listDelta), from);
    return config || list;
  }

  /** Returns the update for a peer that holds the given versions; undefined when it is current. */
  updatesSince(held: Versions): FeedUpdate | undefined {
    const own = this.versions();
    const update: { -readonly [K in keyof FeedUpdate]: FeedUpdate[K] } = {};
    if (own.config > held.config) {
      const delta = this.configDelta?.();
      if (delta?.from === held.config) update.configDelta = delta;
      else update.config = this.doc;
    }
    if (own.list > held.list) {
      const delta = this.listDelta?.();
      if (delta?.from === held.list) update.listDelta = delta;
      else update.list = this.instances;
    }
    return Object.keys(update).length > 0 ? update : undefined;
  }

  /** Waits up to `waitMs` for an update to the given versions. */
  async waitForUpdates(held: Versions, waitMs: number): Promise<FeedUpdate | undefined> {
    const available = this.updatesSince(held);
    if (available || waitMs <= 0) return available;
    await this.changes.next(waitMs);
    return this.updatesSince(held);
  }

  /** Calls the listener after each accepted document or list. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  private countStale(what: string): false {
    this.metrics.count('feed_old_total', { what });
    return false;
  }

  private rejectDocument(version: number, reason: string, detail: string, from: string): false {
    this.metrics.count('config_refused_total', { reason });
    this.log.warn('config.refused', { version, reason, detail, from });
    // A digest mismatch may come from corruption in transit: the same version may still arrive
    // intact from another peer, so it is not recorded as refused.
    if (!Number.isSafeInteger(version) || reason === 'document-digest') return false;
    this.refusedVersions.set(version, { version, reason, detail });
    const oldest = this.refusedVersions.keys().next().value;
    if (this.refusedVersions.size > MAX_REFUSED_DOCUMENTS && oldest !== undefined)
      this.refusedVersions.delete(oldest);
    return false;
  }

  private notifyListeners(): void {
    this.changes.notify();
    for (const listener of this.listeners) listener();
  }
}

/** Returns a function that computes a value on its first call and caches it. */
function lazy<T>(compute: () => T): () => T {
  let cached: { readonly value: T } | undefined;
  return () => (cached ??= { value: compute() }).value;
}
