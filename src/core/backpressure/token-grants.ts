/**
 * Tokens that a relay grants for requests to endpoints that named a rate limit.
 *
 * Each relay of an endpoint grants a fixed part of its limit independently of the others, so the
 * limit holds during restarts, partitions and message loss: the part of an unreachable relay
 * remains unused.
 */
import type { Clock } from '../clock/index.js';
import { asId, type EndpointId } from '../ids/index.js';
import type { RateLimitTokenReply, RateLimitTokenRequest } from '../../generated/messages.types.js';
import { REQUESTS_PER_TOKEN, COMPETITOR_MS, MAX_SPACING_MS } from './consts.js';
import type { KnownLimits } from './known-limits.js';
import { shardShare } from './limit-share.js';
import { TokenBucket } from './token-bucket.js';

/** Dependencies of granting. */
export interface TokenGrantsDeps {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly random: () => number;
  readonly limits: KnownLimits;
  /** Number of relays that grant tokens of one endpoint. */
  readonly shards: number;
}

/** Granting state of one process of an endpoint. */
interface Granted {
  readonly startedAtMs: number;
  readonly bucket: TokenBucket;
  /** Time of the last token request of each entry, ms; oldest first. */
  readonly competitors: Map<string, number>;
}

const MS_PER_S = 1000;

/** Grants the tokens of one relay. */
export class TokenGrants {
  private readonly byId = new Map<EndpointId, Granted>();
  private maxCompetitors = 1;

  constructor(private readonly deps: TokenGrantsDeps) {}

  /**
   * Grants or denies a token to an entry; the request carries the limit as known to the entry.
   * @example grants.take({ from: 'entry-1', limit }).isGranted
   */
  take({ from, limit }: RateLimitTokenRequest): RateLimitTokenReply {
    const { clock, limits, shards } = this.deps;
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

  private granted(id: EndpointId): RateLimitTokenReply {
    const limit = this.deps.limits.describe(id);
    return { isGranted: true, peers: this.maxCompetitors, ...(limit && { limit }) };
  }

  /**
   * Pause of one entry, ms, such that all competitors together request `REQUESTS_PER_TOKEN` times
   * the tokens available.
   */
  private spacingMs(competitors: number, perS: number): number {
    const meanMs = (competitors * MS_PER_S) / (perS * REQUESTS_PER_TOKEN);
    return meanMs * (0.5 + this.deps.random());
  }

  private at({ id, startedAtMs }: { id: EndpointId; startedAtMs: number }): Granted {
    const known = this.byId.get(id);
    if (known?.startedAtMs === startedAtMs) return known;
    // Starts empty, since tokens granted before a restart of the relay are not known.
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
      if (!this.deps.limits.of({ id, startedAtMs })) this.byId.delete(id);
  }
}
