/** Reads the published state from the first relay that is fresh, or from the store. */
import type { Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import { Err, Ok, type Result } from '../result/index.js';
import { readStoreAndRelays } from './first-read.js';
import { RelayClient, type RelayClientDeps } from './relay-client.js';
import type {
  ConfigRead,
  PublishedRead,
  PublishedSource,
  ReadFault,
  WatchResult,
} from './source.js';

/**
 * Time for which a failed source is avoided, ms. For a relay it doubles with each consecutive
 * failure, up to `max`.
 */
const AVOID_MS = { first: 3000, max: 24_000 } as const;

/**
 * Time for which a daemon without state tries the relays before the store, and the pause between
 * attempts, ms. All daemons may start together, and relays are up within some tenths of a second. A
 * daemon that does not wait reads everything from the store: four calls for a large list instead of
 * one.
 */
const STARTUP = { withinMs: 700, pauseMs: 200 } as const;

/** Dependencies of `RelayedSource`. A relay itself tries the store before other relays. */
export interface RelayedSourceDeps extends RelayClientDeps {
  /** Addresses of the relays in order of preference. */
  readonly relays: readonly string[];
  readonly clock: Clock;
  readonly log: Log;
  /** Waits for a time, ms; injectable for tests. */
  readonly pause: (ms: number) => Promise<void>;
}

/** A source and its recent failures. */
interface Candidate {
  readonly source: PublishedSource;
  failures: number;
  avoidedUntilMs: number;
}

function candidateOf(source: PublishedSource): Candidate {
  return { source, failures: 0, avoidedUntilMs: Number.NEGATIVE_INFINITY };
}

/** Reads from the first of several sources that is fresh. */
export class RelayedSource implements PublishedSource {
  private readonly store: Candidate;
  private readonly relayClients: readonly RelayClient[];
  private readonly relayCandidates: readonly Candidate[];
  /** The source that was read last. */
  private current: Candidate | undefined;

  constructor(private readonly deps: RelayedSourceDeps) {
    this.store = candidateOf(deps.store);
    this.relayClients = deps.relays.map((address) => new RelayClient(address, deps));
    this.relayCandidates = this.relayClients.map(candidateOf);
  }

  /** Name of the source that was read last. */
  get name(): string {
    return (this.current ?? this.store).source.name;
  }

  /** Whether the state comes from the store itself. */
  get isDirect(): boolean {
    return this.current === undefined || this.current === this.store;
  }

  /** Reads everything from the first source that succeeds. */
  async readAll(): Promise<Result<PublishedRead, ReadFault>> {
    const first = this.current ? undefined : await this.readAtStart();
    if (first?.ok) return first;
    let last: Result<PublishedRead, ReadFault> = Err({
      kind: 'missing',
      detail: 'no source was tried',
    });
    for (const candidate of this.candidatesInOrder()) {
      last = await this.readFrom(candidate);
      if (last.ok) {
        candidate.failures = 0;
        return last;
      }
      this.noteFailure(candidate, last.val as ReadFault);
    }
    return last;
  }

  /** Makes the first read; the sources are tried in order if it returns undefined or an error. */
  private readAtStart(): Promise<Result<PublishedRead, ReadFault> | undefined> {
    if (!this.deps.isRelay) return this.readFromRelays();
    return readStoreAndRelays(() => this.readFrom(this.store), this.relayClients);
  }

  /**
   * Reads everything from a relay, which may still be starting; returns undefined if none responds
   * in time.
   */
  private async readFromRelays(): Promise<Result<PublishedRead, ReadFault> | undefined> {
    const untilMs = this.deps.clock.nowMs() + STARTUP.withinMs;
    while (this.relayCandidates.length > 0 && this.deps.clock.nowMs() < untilMs) {
      for (const candidate of this.relayCandidates) {
        const read = await this.readFrom(candidate);
        if (read.ok) return read;
      }
      await this.deps.pause(STARTUP.pauseMs);
    }
    return undefined;
  }

  private async readFrom(candidate: Candidate): Promise<Result<PublishedRead, ReadFault>> {
    const read = await candidate.source.readAll();
    if (read.ok) this.current = candidate;
    return read;
  }

  /**
   * Watches the source that was read last; if that fails, everything has to be read again from
   * another source.
   */
  async watch(revision: number, waitMs: number): Promise<Result<WatchResult, ReadFault>> {
    const { current } = this;
    if (!current || this.candidatesInOrder()[0] !== current) return Ok({ kind: 'forgotten' });
    const watched = await current.source.watch(revision, waitMs);
    if (watched.ok) {
      current.failures = 0;
      return watched;
    }
    const fault = watched.val as ReadFault;
    // Only the connection may have stalled: a daemon that reads from the store tries once more on a
    // new connection.
    if (current === this.store && current.failures === 0 && fault.kind === 'timeout') {
      current.failures += 1;
      return watched;
    }
    this.noteFailure(current, fault);
    const isOnlySource = this.candidatesInOrder()[0] === current;
    return isOnlySource ? watched : Ok({ kind: 'forgotten' });
  }

  /**
   * Reads the announced configuration from the store, or else from the relay that announced it.
   * Each daemon has its own connection to the store, and a document may take a megabyte. Relays
   * forward it only to daemons that the store rejects or gives an older version, as it does after
   * being restored from a copy.
   */
  async readConfig(): Promise<Result<ConfigRead, ReadFault>> {
    const read = await this.deps.store.readConfig();
    const newerRelay = this.relayWithNewerConfig(read);
    return newerRelay ? newerRelay.readConfig() : read;
  }

  /**
   * Returns a relay that announced a newer configuration than the one read, preferably the current
   * source.
   */
  private relayWithNewerConfig(read: Result<ConfigRead, ReadFault>): RelayClient | undefined {
    const update = read.ok ? read.val.config : undefined;
    // A version that the store returned but that cannot be decoded cannot be decoded from a relay
    // either.
    if (update && update.kind !== 'read') return undefined;
    const version = update?.config.version ?? 0;
    const newerRelays = this.relayClients.filter(
      ({ announcedVersion = 0 }) => announcedVersion > version,
    );
    return newerRelays.find((relay) => relay === this.current?.source) ?? newerRelays[0];
  }

  /**
   * Returns the sources in the order in which to try them. The store is always included, as a last
   * resort.
   */
  private candidatesInOrder(): Candidate[] {
    const nowMs = this.deps.clock.nowMs();
    const isAvailable = ({ avoidedUntilMs }: Candidate): boolean => avoidedUntilMs <= nowMs;
    const relays = this.relayCandidates.filter(isAvailable);
    const isStoreFirst = this.deps.isRelay && isAvailable(this.store);
    return isStoreFirst ? [this.store, ...relays] : [...relays, this.store];
  }

  private noteFailure(candidate: Candidate, { kind, detail }: ReadFault): void {
    // A store that failed must be retried soon, because relays only receive changes from it.
    const growth = candidate === this.store ? 1 : 2 ** candidate.failures;
    const avoidedMs = Math.min(AVOID_MS.max, AVOID_MS.first * growth);
    candidate.failures += 1;
    candidate.avoidedUntilMs = this.deps.clock.nowMs() + avoidedMs;
    this.deps.log.info('published.avoided', {
      source: candidate.source.name,
      kind,
      detail,
      forMs: avoidedMs,
    });
  }
}
