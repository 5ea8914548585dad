/** A rate limiter whose tokens are granted by relays, each of which holds a fixed part of every limit. */
import type { Clock } from '../clock/index.js';
import { errorText } from '../errors/index.js';
import type { InstanceId } from '../ids/index.js';
import type { Log } from '../logging/index.js';
import { rendezvousOrder } from '../membership/rendezvous.js';
import { hostOf } from '../published/address.js';
import type { EndpointProcess } from '../published/types.js';
import type { TokenGrant, TokenRequest } from '../../generated/messages.types.js';
import {
  ASSUMED_PEERS,
  MAX_PENDING,
  MAX_SHARDS,
  MIN_RETRY_MS,
  PENDING_RETRY_MS,
  UNREACHABLE_RETRY_MS,
} from './consts.js';
import type { KnownLimits, LimitNow } from './known-limits.js';
import { isolatedShare } from './limit-share.js';
import type { RateLimiter } from './rate-limiter.js';
import { TokenBucket } from './token-bucket.js';

/** How a token was had, or why none was. */
export type TokenResult = 'granted' | 'denied' | 'unreachable' | 'local';

/** What limiting needs. */
export interface RelayLimiterParts {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly random: () => number;
  readonly own: InstanceId;
  readonly limits: KnownLimits;
  /** Addresses of all relays, this entry among them if it is one; the same at every entry. */
  readonly relays: readonly string[];
  /** Asks a relay for a token; rejects if it does not answer in time. */
  readonly ask: (relay: string, request: TokenRequest) => Promise<TokenGrant>;
  /** Entries that are known by other means; 0 for none. */
  readonly countKnown: () => number;
  readonly log: Pick<Log, 'info'>;
  /** Counts each token, or the lack of one. */
  readonly onResult: (result: TokenResult) => void;
}

/** Relays that grant tokens of one endpoint. */
export function shardCount(relays: number): number {
  return Math.min(MAX_SHARDS, relays);
}

/** One relay of an endpoint. */
interface Shard {
  readonly relay: string;
  /** When it may be asked next, ms. */
  nextAtMs: number;
  /** Rate at which it last denied a token, requests/s; it may be asked at once when the limit rises. */
  deniedPerS: number;
  isReachable: boolean;
}

/** The rate that a relay's denial is compared by; a limit that has ended is above all others. */
function ratePerS({ limitPerS, releasedMs }: LimitNow): number {
  return releasedMs === undefined ? limitPerS : Number.POSITIVE_INFINITY;
}

function askAtMs({ nextAtMs, deniedPerS }: Shard, limit: LimitNow): number {
  return ratePerS(limit) > deniedPerS ? Number.NEGATIVE_INFINITY : nextAtMs;
}

/** The limiters of one entry. */
export class RelayLimiters {
  /** The largest number of entries that a relay told of. */
  private peers = 0;

  constructor(private readonly parts: RelayLimiterParts) {}

  /**
   * The limiter of one process of an endpoint.
   * @example new EndpointGate(limiters.of(endpoint))
   */
  of(process: EndpointProcess): RateLimiter {
    return new RelayLimiter(this.parts, process, this);
  }

  /** Entries that may be sending beside this one. */
  get peersAssumed(): number {
    return Math.max(ASSUMED_PEERS, this.parts.countKnown(), this.peers);
  }

  /** Notes how many entries a relay told of. */
  notePeers(count: number): void {
    this.peers = Math.max(this.peers, count);
  }
}

class RelayLimiter implements RateLimiter {
  private readonly shards: readonly Shard[];
  /** Tokens of this entry's own while no relay can be reached. */
  private readonly local: TokenBucket;
  private isIsolated = false;
  private pending = 0;

  constructor(
    private readonly parts: RelayLimiterParts,
    private readonly process: EndpointProcess,
    private readonly limiters: RelayLimiters,
  ) {
    const { relays, random, own } = parts;
    // By host: daemons may reach the same relay at different ports.
    const granting = rendezvousOrder(process.id, relays, hostOf).slice(0, MAX_SHARDS);
    this.shards = rendezvousOrder(own, granting, hostOf).map((relay) => ({
      relay,
      nextAtMs: Number.NEGATIVE_INFINITY,
      deniedPerS: Number.POSITIVE_INFINITY,
      isReachable: true,
    }));
    this.local = new TokenBucket(random);
    this.isIsolated = this.shards.length === 0;
  }

  nextTokenAtMs(nowMs: number): number {
    const { limits } = this.parts;
    const limit = limits.isEmpty ? undefined : limits.of(this.process);
    if (!limit) return nowMs;
    if (this.pending >= MAX_PENDING) return nowMs + PENDING_RETRY_MS;
    const shardAtMs = Math.min(...this.shards.map((shard) => askAtMs(shard, limit)));
    return Math.min(shardAtMs, this.localAtMs(limit, nowMs));
  }

  async acquire(): Promise<boolean> {
    const { clock, limits } = this.parts;
    const limit = limits.isEmpty ? undefined : limits.of(this.process);
    if (!limit) return true;
    this.pending += 1;
    try {
      for (const shard of this.shards)
        if (askAtMs(shard, limit) <= clock.nowMs() && (await this.ask(shard))) return true;
    } finally {
      this.pending -= 1;
    }
    return this.takeLocal();
  }

  private async ask(shard: Shard): Promise<boolean> {
    const { own, limits } = this.parts;
    const limit = limits.describe(this.process.id);
    if (!limit) return true;
    try {
      const grant = await this.parts.ask(shard.relay, { from: own, limit });
      this.take(shard, grant);
      return grant.isGranted;
    } catch (err) {
      this.noteUnreachable(shard, errorText(err));
      return false;
    }
  }

  private noteUnreachable(shard: Shard, err: string): void {
    const { random, log, onResult } = this.parts;
    shard.isReachable = false;
    this.pause(shard, UNREACHABLE_RETRY_MS * (1 + random()));
    this.noteReach();
    onResult('unreachable');
    log.info('rate-limit.unreachable', { endpoint: this.process.id, relay: shard.relay, err });
  }

  private pause(shard: Shard, forMs: number): void {
    const { clock, limits } = this.parts;
    const limit = limits.of(this.process);
    shard.nextAtMs = clock.nowMs() + forMs;
    shard.deniedPerS = limit ? ratePerS(limit) : Number.POSITIVE_INFINITY;
  }

  private take(shard: Shard, { isGranted, retryMs = 0, peers, limit }: TokenGrant): void {
    const { limits, onResult } = this.parts;
    if (limit) limits.merge([limit]);
    this.limiters.notePeers(peers);
    shard.isReachable = true;
    this.noteReach();
    if (!isGranted) this.pause(shard, Math.max(MIN_RETRY_MS, retryMs));
    onResult(isGranted ? 'granted' : 'denied');
  }

  /** Notes whether any relay can be reached; the local bucket gains nothing while one can. */
  private noteReach(): void {
    const isIsolated = !this.shards.some(({ isReachable }) => isReachable);
    if (isIsolated === this.isIsolated) return;
    this.isIsolated = isIsolated;
    if (isIsolated) this.local.resume(this.parts.clock.nowMs());
    const peers = this.limiters.peersAssumed;
    this.parts.log.info('rate-limit.reach', { endpoint: this.process.id, isIsolated, peers });
  }

  private localAtMs(limit: LimitNow, nowMs: number): number {
    if (!this.isIsolated) return Number.POSITIVE_INFINITY;
    return this.local.nextTokenAtMs(isolatedShare(limit, this.limiters.peersAssumed), nowMs);
  }

  private takeLocal(): boolean {
    const nowMs = this.parts.clock.nowMs();
    const limit = this.parts.limits.of(this.process);
    if (!limit) return true;
    if (this.localAtMs(limit, nowMs) > nowMs) return false;
    this.local.consume(isolatedShare(limit, this.limiters.peersAssumed), nowMs);
    this.parts.onResult('local');
    return true;
  }
}
