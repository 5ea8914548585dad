/** The published state as a daemon reads it: from the first relay that has fresh news, or from the store. */
import type { Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import { Err, Ok, type Result } from '../result/index.js';
import { readBeside } from './first-read.js';
import { OneRelay, type OneRelayParts } from './one-relay.js';
import type { ConfigRead, PublishedRead, PublishedSource, ReadFault, Watched } from './source.js';

/** Time for which a source that failed is not asked, ms; for a relay it doubles with each failure in a row up to the longest. */
const AVOIDED_MS = { first: 3000, most: 24_000 } as const;

/**
 * Time for which a daemon that knows nothing yet asks the relays before it asks the store, and the pause between, ms. All
 * daemons may start together, and the relays among them are up within some tenths of a second: each that does not wait
 * reads everything from the store, four calls of a large list in place of one.
 */
const START = { withinMs: 700, pauseMs: 200 } as const;

/** What reading needs; those who are relays themselves ask the store before the others. */
export interface RelayedParts extends OneRelayParts {
  /** Addresses of the relays, the first to be asked first. */
  readonly relays: readonly string[];
  readonly clock: Clock;
  readonly log: Log;
  /** Waits, ms; a test may bring its own time. */
  readonly pause: (ms: number) => Promise<void>;
}

/** Where something may be read. */
interface Candidate {
  readonly source: PublishedSource;
  failures: number;
  avoidedUntilMs: number;
}

function candidateOf(source: PublishedSource): Candidate {
  return { source, failures: 0, avoidedUntilMs: Number.NEGATIVE_INFINITY };
}

/** Reads from the first source of several that has fresh news. */
export class RelayedSource implements PublishedSource {
  private readonly store: Candidate;
  private readonly oneRelays: readonly OneRelay[];
  private readonly relays: readonly Candidate[];
  /** Where was read last. */
  private current: Candidate | undefined;

  constructor(private readonly parts: RelayedParts) {
    this.store = candidateOf(parts.store);
    this.oneRelays = parts.relays.map((address) => new OneRelay(address, parts));
    this.relays = this.oneRelays.map(candidateOf);
  }

  /** Where was read last. */
  get name(): string {
    return (this.current ?? this.store).source.name;
  }

  /** Whether what is held comes from the store itself. */
  get isDirect(): boolean {
    return this.current === undefined || this.current === this.store;
  }

  /** Reads everything from the first source that has it. */
  async readAll(): Promise<Result<PublishedRead, ReadFault>> {
    const first = this.current ? undefined : await this.readAtStart();
    if (first?.ok) return first;
    let last: Result<PublishedRead, ReadFault> = Err({
      kind: 'missing',
      detail: 'no source was asked',
    });
    for (const from of this.inTurn()) {
      last = await this.readFrom(from);
      if (last.ok) {
        from.failures = 0;
        return last;
      }
      this.noteBad(from, last.val as ReadFault);
    }
    return last;
  }

  /** The first read; undefined or a fault where the sources are to be asked in turn. */
  private readAtStart(): Promise<Result<PublishedRead, ReadFault> | undefined> {
    if (!this.parts.isRelay) return this.readFromRelays();
    return readBeside(() => this.readFrom(this.store), this.oneRelays);
  }

  /** Reads everything from a relay that may have yet to start; undefined when none of them answers in time. */
  private async readFromRelays(): Promise<Result<PublishedRead, ReadFault> | undefined> {
    const untilMs = this.parts.clock.nowMs() + START.withinMs;
    while (this.relays.length > 0 && this.parts.clock.nowMs() < untilMs) {
      for (const from of this.relays) {
        const read = await this.readFrom(from);
        if (read.ok) return read;
      }
      await this.parts.pause(START.pauseMs);
    }
    return undefined;
  }

  private async readFrom(from: Candidate): Promise<Result<PublishedRead, ReadFault>> {
    const read = await from.source.readAll();
    if (read.ok) this.current = from;
    return read;
  }

  /** Changes since what was read last; where they cannot be had there, everything is to be read anew elsewhere. */
  async watch(revision: number, waitMs: number): Promise<Result<Watched, ReadFault>> {
    const { current } = this;
    if (!current || this.inTurn()[0] !== current) return Ok({ kind: 'forgotten' });
    const watched = await current.source.watch(revision, waitMs);
    if (watched.ok) {
      current.failures = 0;
      return watched;
    }
    const fault = watched.val as ReadFault;
    // Its connection alone may have fallen silent: whoever reads from the store itself asks once more, by a new one.
    if (current === this.store && current.failures === 0 && fault.kind === 'timeout') {
      current.failures += 1;
      return watched;
    }
    this.noteBad(current, fault);
    const isAlone = this.inTurn()[0] === current;
    return isAlone ? watched : Ok({ kind: 'forgotten' });
  }

  /**
   * The configuration that was told of: from the store, which every daemon of a fleet has its own way to, or else from who
   * told of it. Relays pass it on to those alone that the store turns away, or that it gives an older one, as it does when it
   * has come back from a copy: it may take a megabyte.
   */
  async readConfig(): Promise<Result<ConfigRead, ReadFault>> {
    const read = await this.parts.store.readConfig();
    const teller = this.tellerOfNewer(read);
    return teller ? teller.readConfig() : read;
  }

  /** The relay that knows a newer configuration than what was read; the current one before others. */
  private tellerOfNewer(read: Result<ConfigRead, ReadFault>): OneRelay | undefined {
    const news = read.ok ? read.val.config : undefined;
    // One that cannot be read from the store cannot be read from a relay either.
    if (news && news.kind !== 'read') return undefined;
    const version = news?.config.version ?? 0;
    const tellers = this.oneRelays.filter(({ toldVersion = 0 }) => toldVersion > version);
    return tellers.find((relay) => relay === this.current?.source) ?? tellers[0];
  }

  /** Sources to be asked, in their order. The store is asked in any case, when no other is left. */
  private inTurn(): Candidate[] {
    const nowMs = this.parts.clock.nowMs();
    const isOpen = ({ avoidedUntilMs }: Candidate): boolean => avoidedUntilMs <= nowMs;
    const relays = this.relays.filter(isOpen);
    const isFirst = this.parts.isRelay && isOpen(this.store);
    return isFirst ? [this.store, ...relays] : [...relays, this.store];
  }

  private noteBad(from: Candidate, { kind, detail }: ReadFault): void {
    // A store that was away has to be asked again soon: relays hear of changes from it alone.
    const growth = from === this.store ? 1 : 2 ** from.failures;
    const avoidedMs = Math.min(AVOIDED_MS.most, AVOIDED_MS.first * growth);
    from.failures += 1;
    from.avoidedUntilMs = this.parts.clock.nowMs() + avoidedMs;
    this.parts.log.info('published.avoided', {
      source: from.source.name,
      kind,
      detail,
      forMs: avoidedMs,
    });
  }
}
