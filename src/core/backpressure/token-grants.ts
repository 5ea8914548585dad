/**
 * Tokens that a relay grants for requests to endpoints that named a rate limit.
 *
 * Every relay of an endpoint grants a fixed part of its limit and knows nothing of the others, so the limit holds through
 * restarts, partitions and lost messages: a relay that is out of reach leaves its part unused.
 */
import type { Clock } from '../clock/index.js';
import { asId, type EndpointId } from '../ids/index.js';
import type { TokenGrant, TokenRequest } from '../../generated/messages.types.js';
import { ASKS_PER_TOKEN, COMPETITOR_MS, MAX_SPACING_MS } from './consts.js';
import type { KnownLimits } from './known-limits.js';
import { shardShare } from './limit-share.js';
import { TokenBucket } from './token-bucket.js';

/** What granting needs. */
export interface TokenGrantsParts {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly random: () => number;
  readonly limits: KnownLimits;
  /** Relays that grant tokens of one endpoint. */
  readonly shards: number;
}

/** One process of an endpoint. */
interface Granted {
  readonly startedAtMs: number;
  readonly bucket: TokenBucket;
  /** When each entry last asked, ms; the longest ago first. */
  readonly competitors: Map<string, number>;
}

const MS_PER_S = 1000;

/** Grants the tokens of one relay. */
export class TokenGrants {
  private readonly byId = new Map<EndpointId, Granted>();
  private maxCompetitors = 1;

  constructor(private readonly parts: TokenGrantsParts) {}

  /**
   * Takes a token for an entry; the request carries what the entry knows of the limit.
   * @example grants.take({ from: 'entry-1', limit }).isGranted
   */
  take({ from, limit }: TokenRequest): TokenGrant {
    const { clock, limits, shards } = this.parts;
    limits.merge([limit]);
    const process = { id: asId<EndpointId>(limit.endpoint), startedAtMs: limit.startedAtMs };
    const limitNow = limits.of(process);
    if (!limitNow) return this.granted(process.id);
    const nowMs = clock.nowMs();
    const { bucket, competitors } = this.at(process);
    this.noteCompetitor(competitors, from, nowMs);
    const share = shardShare(limitNow, shards);
    const nextAtMs = bucket.nextTokenAtMs(share, nowMs);
    if (nextAtMs <= nowMs) {
      bucket.consume(share, nowMs);
      return this.granted(process.id);
    }
    const spacingMs = Math.min(MAX_SPACING_MS, this.spacingMs(competitors.size, share.perS));
    const retryMs = Math.max(nextAtMs - nowMs, spacingMs);
    return { ...this.granted(process.id), isGranted: false, retryMs: Math.ceil(retryMs) };
  }

  private granted(id: EndpointId): TokenGrant {
    const limit = this.parts.limits.describe(id);
    return { isGranted: true, peers: this.maxCompetitors, ...(limit && { limit }) };
  }

  /** Pause of one entry, ms, with which all of them together ask for a few times the tokens there are. */
  private spacingMs(competitors: number, perS: number): number {
    const meanMs = (competitors * MS_PER_S) / (perS * ASKS_PER_TOKEN);
    return meanMs * (0.5 + this.parts.random());
  }

  private at({ id, startedAtMs }: { id: EndpointId; startedAtMs: number }): Granted {
    const known = this.byId.get(id);
    if (known?.startedAtMs === startedAtMs) return known;
    // Starts empty: tokens granted before a restart of the relay are not known.
    const made = { startedAtMs, bucket: new TokenBucket(() => 0), competitors: new Map() };
    this.byId.set(id, made);
    return made;
  }

  private noteCompetitor(competitors: Map<string, number>, from: string, nowMs: number): void {
    competitors.delete(from);
    competitors.set(from, nowMs);
    for (const [entry, atMs] of competitors) {
      if (nowMs - atMs <= COMPETITOR_MS) break;
      competitors.delete(entry);
    }
    this.maxCompetitors = Math.max(this.maxCompetitors, competitors.size);
  }

  /** Drops endpoints without a limit. */
  forget(): void {
    for (const [id, { startedAtMs }] of this.byId)
      if (!this.parts.limits.of({ id, startedAtMs })) this.byId.delete(id);
  }
}
