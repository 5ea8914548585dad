/**
 * Tokens that a relay grants for requests to endpoints that named a rate limit.
 *
 * Every relay of an endpoint grants a fixed part of its limit and knows nothing of the others, so the limit holds through
 * restarts, partitions and lost messages: a relay that is out of reach leaves its part unused.
 */
import type { Clock } from '../clock/index.js';
import { asId, type EndpointId } from '../ids/index.js';
import type { TokenGrant, TokenRequest } from '../../generated/messages.types.js';
import { ASKERS_MS, ASKS_PER_TOKEN } from './consts.js';
import type { KnownLimits } from './known-limits.js';
import { LimitBucket } from './limit-bucket.js';
import { shardShare } from './limit-share.js';

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
  readonly bucket: LimitBucket;
  /** When each entry asked last, ms. */
  readonly askers: Map<string, number>;
}

const MS_PER_S = 1000;

/** Grants the tokens of one relay. */
export class TokenGrants {
  private readonly byId = new Map<EndpointId, Granted>();
  private mostAskers = 1;

  constructor(private readonly parts: TokenGrantsParts) {}

  /**
   * Takes a token for an entry, which tells what it knows of the limit.
   * @example grants.take({ from: 'entry-1', limit }).isGranted
   */
  take({ from, limit }: TokenRequest): TokenGrant {
    const { clock, limits, shards } = this.parts;
    limits.take([limit]);
    const process = { id: asId<EndpointId>(limit.endpoint), startedAtMs: limit.startedAtMs };
    const limitNow = limits.of(process);
    if (!limitNow) return this.granted(process.id);
    const nowMs = clock.nowMs();
    const { bucket, askers } = this.at(process);
    this.noteAsker(askers, from, nowMs);
    const share = shardShare(limitNow, shards);
    const nextAtMs = bucket.opensAtMs(share, nowMs);
    if (nextAtMs <= nowMs) {
      bucket.take(share, nowMs);
      return this.granted(process.id);
    }
    const retryMs = Math.max(nextAtMs - nowMs, this.spacingMs(askers.size, share.perS));
    return { ...this.granted(process.id), isGranted: false, retryMs: Math.ceil(retryMs) };
  }

  private granted(id: EndpointId): TokenGrant {
    const limit = this.parts.limits.describe(id);
    return { isGranted: true, peers: this.mostAskers, ...(limit && { limit }) };
  }

  /** Time between two requests of one entry, ms, at which all of them together ask for a few times the tokens there are. */
  private spacingMs(askers: number, perS: number): number {
    const meanMs = (askers * MS_PER_S) / (perS * ASKS_PER_TOKEN);
    return meanMs * (0.5 + this.parts.random());
  }

  private at({ id, startedAtMs }: { id: EndpointId; startedAtMs: number }): Granted {
    const known = this.byId.get(id);
    if (known?.startedAtMs === startedAtMs) return known;
    // Starts empty: tokens granted before a restart of the relay are not known.
    const made = { startedAtMs, bucket: new LimitBucket(() => 0), askers: new Map() };
    this.byId.set(id, made);
    return made;
  }

  private noteAsker(askers: Map<string, number>, from: string, nowMs: number): void {
    askers.delete(from);
    askers.set(from, nowMs);
    for (const [asker, atMs] of askers) {
      if (nowMs - atMs <= ASKERS_MS) break;
      askers.delete(asker);
    }
    this.mostAskers = Math.max(this.mostAskers, askers.size);
  }

  /** Drops endpoints without a limit. */
  forget(): void {
    for (const [id, { startedAtMs }] of this.byId)
      if (!this.parts.limits.of({ id, startedAtMs })) this.byId.delete(id);
  }
}
