/**
 * Reads the published state from one relay. The time since the relay's last freshness check is
 * preserved, so the state never appears fresher than it is.
 */
import { NO_VERSION, type RateLimitGossip } from '../backpressure/index.js';
import type { CrashEvidence } from '../crashes/index.js';
import { errorText, isAbortOrTimeout } from '../errors/index.js';
import { asId, type EndpointId } from '../ids/index.js';
import { Err, Ok, type Result } from '../result/index.js';
import type {
  CrashUpdate,
  PublishedRequest,
  PublishedUpdate,
} from '../../generated/messages.types.js';
import type { PublishedState } from './published-state.js';
import { endpointFrom, RELAY_STALE_MS } from './relay.js';
import type { DataCentreId } from './types.js';
import type {
  ConfigUpdate,
  ConfigRead,
  EndpointChange,
  PublishedRead,
  PublishedSource,
  PublishedStore,
  ReadFault,
  ReadTime,
  WatchResult,
} from './source.js';

/** Sends a request to the relay at an address; rejects if it does not respond in time. */
export type SendRelayRequest = (
  address: string,
  ask: PublishedRequest,
  withinMs: number,
) => Promise<PublishedUpdate>;

/** How a daemon reads from relays. */
export interface RelayedPace {
  /** Longest time for which a relay holds a request, ms. */
  readonly waitMs: number;
  /** Whether each new freshness check ends the wait. */
  readonly wantsProof: boolean;
}

/**
 * Pace of an entry. It must switch to another source within a second after the next freshness check
 * was due: a change that a relay never reports must take effect within 2 s.
 */
export const ENTRY_RELAYED_PACE: RelayedPace = { waitMs: 700, wantsProof: true };
/** Pace of an agent, which rarely acts, and only on changes of its own group. */
export const AGENT_RELAYED_PACE: RelayedPace = { waitMs: 5000, wantsProof: false };

/**
 * Timeout of a response beyond the wait, ms. A relay has two thirds of a core and serves some
 * hundred daemons.
 */
const ANSWER_TIMEOUT_MS = 300;

/**
 * Timeout of a response with a document, ms: a megabyte takes 0.3 s on the slowest link of an
 * entry, 28 Mbit/s, and several daemons may request it at once.
 */
const DOCUMENT_TIMEOUT_MS = 1500;

/** Dependencies of `RelayClient`. */
export interface RelayClientDeps {
  readonly store: PublishedStore;
  /** Whether this daemon is a relay itself. */
  readonly isRelay: boolean;
  readonly ask: SendRelayRequest;
  readonly state: PublishedState;
  readonly pace: RelayedPace;
  /** Whether to read a newer configuration; the first one is always read. */
  readonly wantsConfig: () => boolean;
  /** Merges the relays' evidence of requests that crash endpoints; omitted if not needed. */
  readonly crashes?: CrashEvidence;
  /** Sends evidence to a relay that has restarted without it. */
  readonly restoreCrashes?: (relay: string, update: CrashUpdate) => void;
  /** Merges the limits that relays saw endpoints declare; omitted if not needed. */
  readonly asks?: RateLimitGossip;
}

/** Position in the sequence of changes that a relay sent. */
type RelayCursor = Pick<PublishedRequest, 'life' | 'sequence'>;

/** Cursor of a request, and whether it asks for the document. */
type RelayQuery = RelayCursor & Pick<PublishedRequest, 'wantsDocument'>;

const START_CURSOR: RelayCursor = { life: '', sequence: 0 };

/** A relay's update and the configuration state that it implies. */
interface RelayRead extends ConfigRead {
  readonly update: PublishedUpdate;
}

function fault(kind: ReadFault['kind'], detail: string): Result<never, ReadFault> {
  return Err({ kind, detail });
}

/** Reads the published state from the relay at one address. */
export class RelayClient implements PublishedSource {
  private cursor = START_CURSOR;
  private lastAnnouncedVersion: number | undefined;
  private seenCrashVersion = 0;
  private seenRateLimitVersion = NO_VERSION;

  /** Uses the relay's address as its name. */
  constructor(
    readonly name: string,
    private readonly parts: RelayClientDeps,
  ) {}

  /** The newest configuration version that this relay announced. */
  get announcedVersion(): number | undefined {
    return this.lastAnnouncedVersion;
  }

  /** Reads everything that the relay holds. */
  async readAll(): Promise<Result<PublishedRead, ReadFault>> {
    const result = await this.fetchUpdate(START_CURSOR, 0);
    if (result.err) return result;
    const { update, ...read } = result.val;
    const evacuated = evacuatedOf(update);
    return Ok({
      ...read,
      endpoints: update.written.map(endpointFrom),
      ...(evacuated && { evacuated }),
      revision: 0,
    });
  }

  /**
   * Reads the changes since the last response and ignores the revision; returns an error if the
   * relay no longer has them.
   */
  async watch(_revision: number, waitMs: number): Promise<Result<WatchResult, ReadFault>> {
    const result = await this.fetchUpdate(this.cursor, waitMs);
    if (result.err) return result;
    const { update, ...read } = result.val;
    const evacuated = evacuatedOf(update);
    return Ok({
      ...read,
      kind: 'changes',
      endpoints: changesOf(update),
      ...(evacuated && { evacuations: { kind: 'whole', dataCentres: evacuated } }),
      revision: 0,
    });
  }

  /** Reads the relay's configuration with its document. */
  async readConfig(): Promise<Result<ConfigRead, ReadFault>> {
    const response = await this.request({ ...this.cursor, wantsDocument: true }, 0);
    if (response.err) return response;
    const update = response.val;
    const unusable = this.findUnusable(update);
    if (unusable) return unusable;
    if (update.document === undefined)
      return fault('missing', `${this.name} has no configuration document to forward`);
    const read = this.parts.store.decodeConfig(update.document);
    return Ok({ ...read, ...readTimeOf(update) });
  }

  private async fetchUpdate(
    cursor: RelayCursor,
    waitMs: number,
  ): Promise<Result<RelayRead, ReadFault>> {
    const response = await this.request(cursor, Math.min(waitMs, this.parts.pace.waitMs));
    if (response.err) return response;
    const update = response.val;
    const unusable = this.findUnusable(update) ?? this.findGap(cursor, update);
    if (unusable) return unusable;
    this.cursor = { life: update.life, sequence: update.sequence };
    this.lastAnnouncedVersion = update.configVersion;
    const config = this.configUpdateOf(update);
    return Ok({ config, invalid: [], update, ...readTimeOf(update) });
  }

  private async request(
    query: RelayQuery,
    waitMs: number,
  ): Promise<Result<PublishedUpdate, ReadFault>> {
    const { ask, pace, state, crashes, asks } = this.parts;
    const { wantsProof } = pace;
    const configVersion = wantsProof ? state.config?.version : undefined;
    const request: PublishedRequest = {
      ...query,
      waitMs,
      wantsProof,
      ...(configVersion !== undefined && { configVersion }),
      ...(crashes && { crashesHeard: this.seenCrashVersion }),
      ...(asks && { asksHeard: this.seenRateLimitVersion }),
    };
    try {
      const answerMs = query.wantsDocument ? DOCUMENT_TIMEOUT_MS : ANSWER_TIMEOUT_MS;
      const update = await ask(this.name, request, waitMs + answerMs);
      this.mergeCrashes(update, query.life !== update.life);
      this.mergeRateLimits(update);
      return Ok(update);
    } catch (err) {
      return fault(isAbortOrTimeout(err) ? 'timeout' : 'reset', `${this.name}: ${errorText(err)}`);
    }
  }

  /**
   * Evidence of crashes is merged even if the rest of the update is unusable. `isWhole`: the update
   * has all the evidence of the relay, as after its restart.
   */
  private mergeCrashes({ crashes, crashVersion = 0 }: PublishedUpdate, isWhole: boolean): void {
    const { crashes: own, restoreCrashes } = this.parts;
    if (isWhole && own && !own.isEmpty) {
      const missing = own.missingIn(crashes ?? { runs: [], cleared: [] });
      if (missing.runs.length > 0) restoreCrashes?.(this.name, missing);
    }
    if (crashes) own?.merge(crashes);
    this.seenCrashVersion = crashVersion;
  }

  /** Declared limits are merged even if the rest of the update is unusable. */
  private mergeRateLimits({ asks }: PublishedUpdate): void {
    if (asks) this.parts.asks?.mergeFromRelay(asks);
    this.seenRateLimitVersion = asks?.heard ?? NO_VERSION;
  }

  /** Returns an error if an update is too old or reached the relay in a way that rules it out. */
  private findUnusable(update: PublishedUpdate): Result<never, ReadFault> | undefined {
    const { name, parts } = this;
    const { configVersion: relayVersion, heardAgoMs, era } = update;
    if (relayVersion === undefined) return fault('stale', `${name} has read no configuration yet`);
    // Relays that read from each other in a cycle would wait for updates that none of them requests
    // from the store.
    if (parts.isRelay && !update.isDirect)
      return fault('stale', `${name} reads from another relay, not from the store`);
    if (heardAgoMs >= RELAY_STALE_MS)
      return fault(
        'stale',
        `${name} last had contact with the store ${Math.round(heardAgoMs)} ms ago`,
      );
    // The relay has not read anything since the store was restored.
    if (era < parts.state.era)
      return fault(
        'stale',
        `${name} has read era ${era} of the store, the current era is ${parts.state.era}`,
      );
    const ownVersion = parts.state.config?.version;
    if (ownVersion !== undefined && relayVersion < ownVersion)
      return fault(
        'stale',
        `${name} has configuration version ${relayVersion}, but ${ownVersion} is active here`,
      );
    return undefined;
  }

  /**
   * Returns an error if the full list arrived in place of changes: it does not show what was
   * removed meanwhile.
   */
  private findGap(
    cursor: RelayCursor,
    update: PublishedUpdate,
  ): Result<never, ReadFault> | undefined {
    if (cursor === START_CURSOR || !update.isWhole) return undefined;
    return fault('missing', `${this.name} no longer has the changes since its last response`);
  }

  /**
   * Returns the configuration state that an update implies. The document is large and is read
   * separately.
   */
  private configUpdateOf({ configVersion: relayVersion }: PublishedUpdate): ConfigUpdate {
    const ownVersion = this.parts.state.config?.version;
    const isWanted =
      ownVersion === undefined || (ownVersion !== relayVersion && this.parts.wantsConfig());
    return isWanted && relayVersion !== undefined ? { kind: 'pending' } : { kind: 'same' };
  }
}

/**
 * The relay answered `waitedMs` after the request; its last confirmation and last contact with the
 * store were `provedAgoMs` and `heardAgoMs` before that answer.
 */
function readTimeOf({ waitedMs, provedAgoMs, heardAgoMs, era }: PublishedUpdate): ReadTime {
  return { era, confirmedAfterMs: waitedMs - provedAgoMs, contactAfterMs: waitedMs - heardAgoMs };
}

/** Returns undefined for a relay of a release that does not follow evacuations. */
function evacuatedOf({ evacuated }: PublishedUpdate): DataCentreId[] | undefined {
  return evacuated?.map((dataCentre) => asId<DataCentreId>(dataCentre));
}

function changesOf(update: PublishedUpdate): EndpointChange[] {
  return [
    ...update.written.map((relayed) => ({
      kind: 'written' as const,
      endpoint: endpointFrom(relayed),
    })),
    ...update.removed.map((id) => ({ kind: 'removed' as const, id: asId<EndpointId>(id) })),
  ];
}
