/**
 * The published state as a daemon reads it from relays, or from the store where none of them has fresh news. A proof keeps
 * the age that it had at the relay, so that it never counts for younger than it is.
 */
import type { Clock } from '../clock/index.js';
import { asId, type EndpointId } from '../ids/index.js';
import type { Log } from '../logging/index.js';
import { Err, Ok, type Result } from '../result/index.js';
import type { PublishedAsk, PublishedNews } from '../../generated/messages.types.js';
import type { PublishedState } from './published-state.js';
import { endpointFrom, STALE_MS } from './relay.js';
import type {
  ConfigNews,
  ConfigRead,
  EndpointChange,
  PublishedRead,
  PublishedSource,
  PublishedStore,
  ReadFault,
  Watched,
} from './source.js';

/** Asks a relay by its address; rejects when it cannot be reached in time. */
export type AskRelay = (
  address: string,
  ask: PublishedAsk,
  withinMs: number,
) => Promise<PublishedNews>;

/** How a daemon reads from relays. */
export interface RelayedPace {
  /** Longest time that a relay holds a question, ms. */
  readonly waitMs: number;
  /** Whether each new proof is wanted. */
  readonly wantsProof: boolean;
}

/**
 * An entry's: it must find another source within a second of when it could have heard the next proof; a change that a relay
 * never tells has to be in force 2 s after it was made.
 */
export const ENTRY_RELAYED: RelayedPace = { waitMs: 700, wantsProof: true };
/** An agent's: it acts on changes of its own group, rarely. */
export const AGENT_RELAYED: RelayedPace = { waitMs: 5000, wantsProof: false };

/** Time for an answer beyond the wait, ms; a relay has two thirds of a core, and some hundred daemons to answer. */
const ANSWER_MS = 300;
/** Time for which a source that failed is not asked, ms; for a relay it doubles with each failure in a row up to the longest. */
const AVOIDED_MS = { first: 3000, most: 24_000 } as const;

/**
 * Time for which a daemon that knows nothing yet asks the relays before it asks the store, and the pause between, ms. All
 * daemons may start together, and the relays among them are up within some tenths of a second: each that does not wait
 * reads everything from the store, four calls of a large list in place of one.
 */
const START = { withinMs: 700, pauseMs: 200 } as const;

/** What reading needs. */
export interface RelayedParts {
  readonly store: PublishedStore;
  /** Addresses of the relays, the first to be asked first. */
  readonly relays: readonly string[];
  /** Whether the store is asked before the relays: those who are relays themselves do. */
  readonly isRelay: boolean;
  readonly ask: AskRelay;
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly pace: RelayedPace;
  /** Whether a newer configuration is wanted; the first one is in any case. */
  readonly wantsConfig: () => boolean;
  readonly log: Log;
  /** Waits, ms; a test may bring its own time. */
  readonly pause: (ms: number) => Promise<void>;
}

/** Where something may be read. */
interface Candidate {
  /** Address of a relay; undefined for the store. */
  readonly relay: string | undefined;
  failures: number;
  avoidedUntilMs: number;
}

/** What was read last, and where. */
interface Held {
  readonly from: Candidate;
  readonly life: string;
  readonly sequence: number;
}

function fault(kind: ReadFault['kind'], detail: string): Result<never, ReadFault> {
  return Err({ kind, detail });
}

/** Reads from the first source of several that has fresh news. */
export class RelayedSource implements PublishedSource {
  private readonly candidates: readonly Candidate[];
  private held: Held | undefined;

  constructor(private readonly parts: RelayedParts) {
    const relays = parts.relays.map((relay) => candidateOf(relay));
    const store = candidateOf(undefined);
    this.candidates = parts.isRelay ? [store, ...relays] : [...relays, store];
  }

  /** Whether what is held comes from the store itself. */
  get isDirect(): boolean {
    return this.held?.from.relay === undefined;
  }

  /** Reads everything from the first source that has it. */
  async readAll(): Promise<Result<PublishedRead, ReadFault>> {
    const first = this.held || this.parts.isRelay ? undefined : await this.readAtStart();
    if (first) return first;
    let last = fault('missing', 'no source was asked');
    for (const from of this.inTurn()) {
      const read =
        from.relay === undefined
          ? await this.readStore(from)
          : await this.readRelay(from, from.relay);
      if (read.ok) {
        this.noteGood(from);
        return read;
      }
      last = read as Result<never, ReadFault>;
      this.noteBad(from, last.val as ReadFault);
    }
    return last;
  }

  /** Reads everything from a relay that may have yet to start; undefined when none of them answers in time. */
  private async readAtStart(): Promise<Result<PublishedRead, ReadFault> | undefined> {
    const relays = this.candidates.filter((candidate) => candidate.relay !== undefined);
    const untilMs = this.parts.clock.nowMs() + START.withinMs;
    while (relays.length > 0 && this.parts.clock.nowMs() < untilMs) {
      for (const from of relays) {
        const read = await this.readRelay(from, from.relay as string);
        if (read.ok) return read;
      }
      await this.parts.pause(START.pauseMs);
    }
    return undefined;
  }

  /** Changes since what was read last; where they cannot be had there, everything is to be read anew elsewhere. */
  async watch(revision: number, waitMs: number): Promise<Result<Watched, ReadFault>> {
    const { held } = this;
    const best = this.inTurn()[0];
    if (!held || best !== held.from) return Ok({ kind: 'forgotten' });
    const watched =
      held.from.relay === undefined
        ? await this.parts.store.watch(revision, waitMs)
        : await this.watchRelay(held, held.from.relay, waitMs);
    if (watched.ok) {
      this.noteGood(held.from);
      return watched;
    }
    this.noteBad(held.from, watched.val as ReadFault);
    const isAlone = this.inTurn()[0] === held.from;
    return isAlone ? watched : Ok({ kind: 'forgotten' });
  }

  /** Sources to be asked, in their order. The store is asked in any case, when no other is left. */
  private inTurn(): Candidate[] {
    const nowMs = this.parts.clock.nowMs();
    const open = this.candidates.filter((candidate) => candidate.avoidedUntilMs <= nowMs);
    if (open.some((candidate) => candidate.relay === undefined)) return open;
    return [...open, ...this.candidates.filter((candidate) => candidate.relay === undefined)];
  }

  private noteGood(from: Candidate): void {
    from.failures = 0;
  }

  private noteBad(from: Candidate, { kind, detail }: ReadFault): void {
    // A store that was away has to be asked again soon: relays hear of changes from it alone.
    const growth = from.relay === undefined ? 1 : 2 ** from.failures;
    const avoidedMs = Math.min(AVOIDED_MS.most, AVOIDED_MS.first * growth);
    from.failures += 1;
    from.avoidedUntilMs = this.parts.clock.nowMs() + avoidedMs;
    const source = from.relay ?? 'store';
    this.parts.log.info('published.avoided', { source, kind, detail, forMs: avoidedMs });
  }

  private async readStore(from: Candidate): Promise<Result<PublishedRead, ReadFault>> {
    const read = await this.parts.store.readAll();
    if (read.ok) this.held = { from, life: '', sequence: 0 };
    return read;
  }

  private async readRelay(
    from: Candidate,
    address: string,
  ): Promise<Result<PublishedRead, ReadFault>> {
    const asked = await this.ask(address, { life: '', sequence: 0, waitMs: 0 });
    if (asked.err) return asked;
    const news = asked.val;
    const config = await this.configFor(news);
    if (config.err) return config;
    this.held = { from, life: news.life, sequence: news.sequence };
    return Ok({
      ...config.val,
      endpoints: news.written.map(endpointFrom),
      revision: 0,
      provedAfterMs: provedAfterMs(news),
    });
  }

  private async watchRelay(
    held: Held,
    address: string,
    waitMs: number,
  ): Promise<Result<Watched, ReadFault>> {
    const { life, sequence } = held;
    const asked = await this.ask(address, { life, sequence, waitMs });
    if (asked.err) return asked;
    const news = asked.val;
    if (news.isWhole) return fault('missing', `${address} no longer knows what was told`);
    const config = await this.configFor(news);
    if (config.err) return config;
    this.held = { ...held, sequence: news.sequence };
    return Ok({
      kind: 'changes',
      ...config.val,
      endpoints: changesOf(news),
      revision: 0,
      provedAfterMs: provedAfterMs(news),
    });
  }

  private async ask(
    address: string,
    { life, sequence, waitMs }: Pick<PublishedAsk, 'life' | 'sequence' | 'waitMs'>,
  ): Promise<Result<PublishedNews, ReadFault>> {
    const { ask, pace, state } = this.parts;
    const heldMs = Math.min(waitMs, pace.waitMs);
    const version = pace.wantsProof ? state.config?.version : undefined;
    try {
      const news = await ask(
        address,
        {
          life,
          sequence,
          waitMs: heldMs,
          wantsProof: pace.wantsProof,
          ...(version !== undefined && { configVersion: version }),
        },
        heldMs + ANSWER_MS,
      );
      if (news.configVersion === undefined)
        return fault('stale', `${address} has read no configuration yet`);
      // Relays that heard from each other would all wait for news that nobody asks the store for.
      if (this.parts.isRelay && !news.isDirect)
        return fault('stale', `${address} hears from another relay itself`);
      if (news.provedAgoMs < STALE_MS) return Ok(news);
      return fault('stale', `${address} had its last proof ${Math.round(news.provedAgoMs)} ms ago`);
    } catch (err) {
      return fault('reset', `${address}: ${String(err)}`);
    }
  }

  /** The configuration beside some news: of the store where the relay has a newer one, which is too large to pass on. */
  private async configFor(news: PublishedNews): Promise<Result<ConfigRead, ReadFault>> {
    const own = this.parts.state.config?.version;
    const theirs = news.configVersion;
    if (own !== undefined && theirs !== undefined && theirs < own)
      return fault('stale', `the relay has version ${theirs}, ${own} is in force here`);
    const same: ConfigNews = { kind: 'same' };
    if (own === theirs || (own !== undefined && !this.parts.wantsConfig()))
      return Ok({ config: same, invalid: [] });
    return this.parts.store.readConfig();
  }
}

function candidateOf(relay: string | undefined): Candidate {
  return { relay, failures: 0, avoidedUntilMs: Number.NEGATIVE_INFINITY };
}

/** The relay held the question for so long after it was asked, and had its proof so long before it answered. */
function provedAfterMs({ waitedMs, provedAgoMs }: PublishedNews): number {
  return waitedMs - provedAgoMs;
}

function changesOf(news: PublishedNews): EndpointChange[] {
  return [
    ...news.written.map((told) => ({ kind: 'written' as const, endpoint: endpointFrom(told) })),
    ...news.removed.map((id) => ({ kind: 'removed' as const, id: asId<EndpointId>(id) })),
  ];
}
