/**
 * Serves the state that an entry reads from the store to other daemons, so that they need no calls
 * to the store: changes of the endpoint list, the newest configuration version, when it was last
 * confirmed as current, and the era of the store.
 * With one waiting call per daemon, 228 daemons made 10,782 calls to the store in 73 s of the
 * heaviest day of a large deployment. Each call counts against a rate that grows more slowly than
 * the fleet.
 */
import { NO_VERSION, type RateLimitGossip } from '../backpressure/index.js';
import type { Clock } from '../clock/index.js';
import type { CrashEvidence } from '../crashes/index.js';
import { asId, type EndpointId, type Incarnation } from '../ids/index.js';
import type {
  PublishedRequest,
  PublishedUpdate,
  RelayedEndpoint,
} from '../../generated/messages.types.js';
import type { PublishedState } from './published-state.js';
import type { DataCentreId, PublishedEndpoint } from './types.js';

/**
 * Number of changes kept. Clients that missed more receive the whole list. A release replaces 129
 * engines.
 */
const MAX_CHANGES = 512;

/** Time for which crash evidence is collected before it is sent on, ms. */
const WAKE_DELAY_MS = 20;

/** The fields of an update that concern crashes. */
type CrashFields = Pick<PublishedUpdate, 'crashVersion' | 'crashes'>;

/** One change of the list, or of the evacuated data centres, which each update contains whole. */
type Change =
  | {
      readonly kind: 'endpoint';
      readonly id: EndpointId;
      /** The current endpoint; undefined if it was removed. */
      readonly endpoint: PublishedEndpoint | undefined;
    }
  | { readonly kind: 'evacuations' };

/** Dependencies of `PublishedRelay`. */
export interface RelayDeps {
  readonly state: PublishedState;
  readonly clock: Clock;
  /** Incarnation of this process; sequence numbers are only valid within it. */
  readonly life: Incarnation;
  /** Whether this daemon reads from the store itself. */
  readonly isDirect: () => boolean;
  /** Evidence of requests that crash endpoints, forwarded with the updates. */
  readonly crashes?: CrashEvidence;
  /** Limits declared by endpoints, forwarded with the updates. */
  readonly asks?: RateLimitGossip;
}

/**
 * Time without contact with the store after which a relay is not used, ms. A relay has contact
 * every 0.7 s. A change that it does not report must take effect within 2 s of being published, so
 * its clients must switch to another source well before.
 */
export const RELAY_STALE_MS = 1200;

/**
 * Unchanged endpoints are usually the same object; after a full read they are only equal by value.
 * The remaining time of a cold endpoint falls with each heartbeat, which clients know by themselves.
 */
function isSameEndpoint(next: PublishedEndpoint, before: PublishedEndpoint | undefined): boolean {
  if (next === before || !before) return next === before;
  const { coldRemainingMs: nextMs = 0, ...nextFields } = next;
  const { coldRemainingMs: beforeMs = 0, ...beforeFields } = before;
  if (nextMs > beforeMs || (nextMs === 0 && beforeMs > 0)) return false;
  return JSON.stringify(nextFields) === JSON.stringify(beforeFields);
}

/** Serves the published state of this daemon to others. */
export class PublishedRelay {
  private readonly changes: Change[] = [];
  /** Number of changes recorded so far. */
  private sequence = 0;
  private sentList: ReadonlyMap<EndpointId, PublishedEndpoint> = new Map();
  private sentEvacuated: readonly DataCentreId[] = [];
  private readonly wakeCallbacks = new Set<() => void>();
  private wakeTimer: NodeJS.Timeout | undefined;

  constructor(private readonly deps: RelayDeps) {}

  /** Records the changes of the list since the last call and wakes waiting requests. */
  recordChanges(): void {
    const list = this.deps.state.listForPeers();
    for (const endpoint of list.values())
      if (!isSameEndpoint(endpoint, this.sentList.get(endpoint.id)))
        this.recordChange({ kind: 'endpoint', id: endpoint.id, endpoint });
    for (const id of this.sentList.keys())
      if (!list.has(id)) this.recordChange({ kind: 'endpoint', id, endpoint: undefined });
    this.sentList = list;
    const evacuated = [...this.deps.state.evacuated].sort();
    if (evacuated.join() !== this.sentEvacuated.join()) this.recordChange({ kind: 'evacuations' });
    this.sentEvacuated = evacuated;
    this.wake();
  }

  /**
   * Wakes all waiting requests soon, together with what arrives until then: a crash is reported by
   * each entry that had requests there, and cleared by each that serves one again.
   */
  wakeSoon(): void {
    this.wakeTimer ??= setTimeout(() => {
      this.wakeTimer = undefined;
      this.wake();
    }, WAKE_DELAY_MS);
  }

  /** Wakes all waiting requests, which then respond with the current state. */
  wake(): void {
    for (const wake of [...this.wakeCallbacks]) wake();
  }

  private recordChange(change: Change): void {
    this.sequence += 1;
    this.changes.push(change);
    if (this.changes.length > MAX_CHANGES) this.changes.shift();
  }

  /**
   * Responds as soon as there is an update, when the wait is over, or when the state becomes stale.
   * @example await relay.answer({ life: '', sequence: 0, waitMs: 0, wantsProof: true })
   */
  async answer(request: PublishedRequest): Promise<PublishedUpdate> {
    const { clock } = this.deps;
    const askedAtMs = clock.nowMs();
    while (!this.hasUpdate(request)) {
      const heldMs = clock.nowMs() - askedAtMs;
      const freshMs = RELAY_STALE_MS - this.deps.state.lastContactAgoMs(clock.nowMs());
      const leftMs = Math.min(request.waitMs - heldMs, freshMs);
      const isWoken = leftMs > 0 && (await this.waitForWake(leftMs));
      if (!isWoken || request.wantsProof) break;
    }
    return this.buildUpdate(request, clock.nowMs() - askedAtMs);
  }

  /** Waits until `wake` is called; resolves to false on timeout. */
  private waitForWake(withinMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const end = (isWoken: boolean): void => {
        clearTimeout(timer);
        this.wakeCallbacks.delete(wake);
        resolve(isWoken);
      };
      const wake = (): void => end(true);
      const timer = setTimeout(() => end(false), withinMs);
      this.wakeCallbacks.add(wake);
    });
  }

  private hasUpdate(request: PublishedRequest): boolean {
    if (!this.canSendChanges(request) || request.sequence !== this.sequence) return true;
    if (this.lacksCrashUpdate(request) || this.lacksRateLimitUpdate(request)) return true;
    const version = this.deps.state.config?.version;
    return request.configVersion !== undefined && request.configVersion !== version;
  }

  /** Returns whether the kept changes suffice to bring a client up to date. */
  private canSendChanges({ life, sequence }: PublishedRequest): boolean {
    if (life !== this.deps.life || sequence > this.sequence) return false;
    return this.sequence - sequence <= this.changes.length;
  }

  /**
   * Returns the version of the crash evidence that a client has; versions of another incarnation do
   * not count.
   */
  private seenCrashVersion({ life, crashesHeard = 0 }: PublishedRequest): number {
    return life === this.deps.life ? crashesHeard : 0;
  }

  /** Returns whether a client asks for crash evidence and has an older version. */
  private lacksCrashUpdate(request: PublishedRequest): boolean {
    if (request.crashesHeard === undefined) return false;
    return this.seenCrashVersion(request) < (this.deps.crashes?.version ?? 0);
  }

  private crashFields(request: PublishedRequest): CrashFields {
    const { crashes } = this.deps;
    if (!crashes || request.crashesHeard === undefined) return {};
    const fields = { crashVersion: crashes.version };
    if (!this.lacksCrashUpdate(request)) return fields;
    return { ...fields, crashes: crashes.deltaSince(this.seenCrashVersion(request)) };
  }

  /**
   * Returns the version of the declared limits that a client has; versions of another incarnation
   * do not count.
   */
  private seenRateLimitVersion({ life, asksHeard }: PublishedRequest): number | undefined {
    if (asksHeard === undefined) return undefined;
    return life === this.deps.life ? asksHeard : NO_VERSION;
  }

  private lacksRateLimitUpdate(request: PublishedRequest): boolean {
    const seenVersion = this.seenRateLimitVersion(request);
    return seenVersion !== undefined && (this.deps.asks?.hasChangesSince(seenVersion) ?? false);
  }

  private rateLimitFields(request: PublishedRequest): Pick<PublishedUpdate, 'asks'> {
    const seenVersion = this.seenRateLimitVersion(request);
    const asks = seenVersion === undefined ? undefined : this.deps.asks?.deltaSince(seenVersion);
    return asks ? { asks } : {};
  }

  private buildUpdate(request: PublishedRequest, waitedMs: number): PublishedUpdate {
    const { state, clock, life } = this.deps;
    const version = state.config?.version;
    const canSendChanges = this.canSendChanges(request);
    const changes = canSendChanges ? this.changesSince(request.sequence) : this.sentList;
    const nowMs = clock.nowMs();
    return {
      life,
      sequence: this.sequence,
      isWhole: !canSendChanges,
      written: [...changes.values()].filter((endpoint) => endpoint !== undefined),
      removed: [...changes].flatMap(([id, endpoint]) => (endpoint ? [] : [id])),
      evacuated: [...this.sentEvacuated],
      ...(version !== undefined && { configVersion: version }),
      ...(request.wantsDocument && state.config?.document && { document: state.config.document }),
      era: state.era,
      // Infinite if never recorded, which JSON cannot hold; clients treat the maximum as stale.
      provedAgoMs: Math.min(state.confirmedAgoMs(nowMs), Number.MAX_SAFE_INTEGER),
      heardAgoMs: Math.min(state.lastContactAgoMs(nowMs), Number.MAX_SAFE_INTEGER),
      isDirect: this.deps.isDirect(),
      waitedMs,
      ...this.crashFields(request),
      ...this.rateLimitFields(request),
    };
  }

  /** Returns the latest state of each endpoint that has changed. */
  private changesSince(sequence: number): Map<EndpointId, PublishedEndpoint | undefined> {
    const missedCount = this.sequence - sequence;
    const since = missedCount > 0 ? this.changes.slice(-missedCount) : [];
    return new Map(
      since.flatMap((change) =>
        change.kind === 'endpoint' ? [[change.id, change.endpoint] as const] : [],
      ),
    );
  }
}

/**
 * Converts an endpoint received from a relay.
 * @example update.written.map(endpointFrom)
 */
export function endpointFrom(relayed: RelayedEndpoint): PublishedEndpoint {
  return {
    ...relayed,
    id: asId(relayed.id),
    service: asId(relayed.service),
    dataCentre: asId(relayed.dataCentre),
  };
}
