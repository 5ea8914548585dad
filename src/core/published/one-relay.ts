/** The published state as one relay tells it. A proof keeps the age that it had there, so that it never counts for younger. */
import { NO_VERSION, type RateLimitGossip } from '../backpressure/index.js';
import type { CrashEvidence } from '../crashes/index.js';
import { errorText, isGivenUp } from '../errors/index.js';
import { asId, type EndpointId } from '../ids/index.js';
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
  ReadTime,
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

/**
 * Time for an answer that carries a document, ms: a megabyte takes 0.3 s of the slowest link of an entry, 28 Mbit/s, and some
 * daemons may ask at once.
 */
const DOCUMENT_MS = 1500;

/** What reading from a relay needs. */
export interface OneRelayParts {
  readonly store: PublishedStore;
  /** Whether this daemon is a relay itself. */
  readonly isRelay: boolean;
  readonly ask: AskRelay;
  readonly state: PublishedState;
  readonly pace: RelayedPace;
  /** Whether a newer configuration is wanted; the first one is in any case. */
  readonly wantsConfig: () => boolean;
  /** Where what relays know of requests that crash endpoints is put together; left out where it is not wanted. */
  readonly crashes?: CrashEvidence;
  /** Where what relays know of the limits that endpoints named is put together; left out where it is not wanted. */
  readonly asks?: RateLimitGossip;
}

/** What a relay has told so far. */
type Told = Pick<PublishedAsk, 'life' | 'sequence'>;

/** What is asked for beside what was told. */
type Question = Told & Pick<PublishedAsk, 'wantsDocument'>;

const NOTHING: Told = { life: '', sequence: 0 };

/** What was heard of a relay, with the configuration that it tells of. */
interface Heard extends ConfigRead {
  readonly news: PublishedNews;
}

function fault(kind: ReadFault['kind'], detail: string): Result<never, ReadFault> {
  return Err({ kind, detail });
}

/** Reads from the relay at an address. */
export class OneRelay implements PublishedSource {
  private told = NOTHING;
  private newestTold: number | undefined;
  private crashesHeard = 0;
  private asksHeard = NO_VERSION;

  /** Its address is its name. */
  constructor(
    readonly name: string,
    private readonly parts: OneRelayParts,
  ) {}

  /** The newest version of the configuration that it told of. */
  get toldVersion(): number | undefined {
    return this.newestTold;
  }

  /** All that the relay holds. */
  async readAll(): Promise<Result<PublishedRead, ReadFault>> {
    const heard = await this.hear(NOTHING, 0);
    if (heard.err) return heard;
    const { news, ...read } = heard.val;
    return Ok({ ...read, endpoints: news.written.map(endpointFrom), revision: 0 });
  }

  /** What has changed since it told last, whatever the revision; a fault where it no longer knows what that was. */
  async watch(_revision: number, waitMs: number): Promise<Result<Watched, ReadFault>> {
    const heard = await this.hear(this.told, waitMs);
    if (heard.err) return heard;
    const { news, ...read } = heard.val;
    return Ok({ ...read, kind: 'changes', endpoints: changesOf(news), revision: 0 });
  }

  /** The configuration that the relay has, with its document. */
  async readConfig(): Promise<Result<ConfigRead, ReadFault>> {
    const asked = await this.ask({ ...this.told, wantsDocument: true }, 0);
    if (asked.err) return asked;
    const news = asked.val;
    const useless = this.uselessness(news);
    if (useless) return useless;
    if (news.document === undefined)
      return fault('missing', `${this.name} has no document to pass on`);
    const read = this.parts.store.decodeConfig(news.document);
    return Ok({ ...read, ...timeOf(news) });
  }

  private async hear(told: Told, waitMs: number): Promise<Result<Heard, ReadFault>> {
    const asked = await this.ask(told, Math.min(waitMs, this.parts.pace.waitMs));
    if (asked.err) return asked;
    const news = asked.val;
    const useless = this.uselessness(news) ?? this.gap(told, news);
    if (useless) return useless;
    this.told = { life: news.life, sequence: news.sequence };
    this.newestTold = news.configVersion;
    const config = this.configNews(news);
    return Ok({ config, invalid: [], news, ...timeOf(news) });
  }

  private async ask(told: Question, waitMs: number): Promise<Result<PublishedNews, ReadFault>> {
    const { ask, pace, state, crashes, asks } = this.parts;
    const { wantsProof } = pace;
    const configVersion = wantsProof ? state.config?.version : undefined;
    const question: PublishedAsk = {
      ...told,
      waitMs,
      wantsProof,
      ...(configVersion !== undefined && { configVersion }),
      ...(crashes && { crashesHeard: this.crashesHeard }),
      ...(asks && { asksHeard: this.asksHeard }),
    };
    try {
      const answerMs = told.wantsDocument ? DOCUMENT_MS : ANSWER_MS;
      const news = await ask(this.name, question, waitMs + answerMs);
      this.takeCrashes(news);
      this.takeAsks(news);
      return Ok(news);
    } catch (err) {
      return fault(isGivenUp(err) ? 'timeout' : 'reset', `${this.name}: ${errorText(err)}`);
    }
  }

  /** What is known of crashes counts whatever else of the news is of no use. */
  private takeCrashes({ crashes, crashVersion = 0 }: PublishedNews): void {
    if (crashes) this.parts.crashes?.merge(crashes);
    this.crashesHeard = crashVersion;
  }

  /** The same of the limits that endpoints named. */
  private takeAsks({ asks }: PublishedNews): void {
    if (asks) this.parts.asks?.mergeFromRelay(asks);
    this.asksHeard = asks?.heard ?? NO_VERSION;
  }

  /** Why news is of no use here, as of its age or its way. */
  private uselessness(news: PublishedNews): Result<never, ReadFault> | undefined {
    const { name, parts } = this;
    const { configVersion: theirs, heardAgoMs, era } = news;
    if (theirs === undefined) return fault('stale', `${name} has read no configuration yet`);
    // Relays that heard from each other would all wait for news that nobody asks the store for.
    if (parts.isRelay && !news.isDirect)
      return fault('stale', `${name} hears from another relay itself`);
    if (heardAgoMs >= STALE_MS)
      return fault('stale', `${name} heard from the store ${Math.round(heardAgoMs)} ms ago`);
    // What it knows of the time after the store came back is nothing yet.
    if (era < parts.state.era)
      return fault('stale', `${name} is in era ${era} of the store, this is ${parts.state.era}`);
    const own = parts.state.config?.version;
    if (own !== undefined && theirs < own)
      return fault('stale', `${name} has version ${theirs}, ${own} is in force here`);
    return undefined;
  }

  /** Whoever asks for changes and is told all cannot tell what went meanwhile. */
  private gap(told: Told, news: PublishedNews): Result<never, ReadFault> | undefined {
    if (told === NOTHING || !news.isWhole) return undefined;
    return fault('missing', `${this.name} no longer knows what was told`);
  }

  /** What news tells of the configuration: the document itself is large, and is read on its own. */
  private configNews({ configVersion: theirs }: PublishedNews): ConfigNews {
    const own = this.parts.state.config?.version;
    const isWanted = own === undefined || (own !== theirs && this.parts.wantsConfig());
    return isWanted && theirs !== undefined ? { kind: 'pending' } : { kind: 'same' };
  }
}

/** A relay held the question for so long after it was asked, and had its proof so long before it answered. */
function timeOf({ waitedMs, provedAgoMs, heardAgoMs, era }: PublishedNews): ReadTime {
  return { era, provedAfterMs: waitedMs - provedAgoMs, heardAfterMs: waitedMs - heardAgoMs };
}

function changesOf(news: PublishedNews): EndpointChange[] {
  return [
    ...news.written.map((told) => ({ kind: 'written' as const, endpoint: endpointFrom(told) })),
    ...news.removed.map((id) => ({ kind: 'removed' as const, id: asId<EndpointId>(id) })),
  ];
}
