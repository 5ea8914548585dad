/**
 * A rate limiter whose tokens are granted by relays, each of which holds a fixed part of every
 * limit.
 */
import type { Clock } from '../clock/index.js';
import { errorText } from '../errors/index.js';
import type { InstanceId } from '../ids/index.js';
import type { Log } from '../logging/index.js';
import { rendezvousOrder } from '../membership/rendezvous.js';
import { hostOf } from '../published/address.js';
import type { EndpointProcess } from '../published/types.js';
import type { RateLimitTokenReply, RateLimitTokenRequest } from '../../generated/messages.types.js';
import {
  ASSUMED_PEERS,
  MAX_PENDING,
  MAX_SHARDS,
  MIN_RETRY_MS,
  PENDING_RETRY_MS,
  UNREACHABLE_RETRY_MS,
} from './consts.js';
import type { KnownLimits, CurrentLimit } from './known-limits.js';
import { isolatedShare } from './limit-share.js';
import type { RateLimiter } from './rate-limiter.js';
import { TokenBucket } from './token-bucket.js';

/** How a token was obtained, or why none was. */
export type TokenResult = 'granted' | 'denied' | 'unreachable' | 'local';

/** Dependencies of the limiters. */
export interface RelayLimiterDeps {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly random: () => number;
  readonly own: InstanceId;
  readonly limits: KnownLimits;
  /** Addresses of all relays, this entry among them if it is one; the same at every entry. */
  readonly relays: readonly string[];
  /** Requests a token from a relay; rejects if it does not answer in time. */
  readonly ask: (relay: string, request: RateLimitTokenRequest) => Promise<RateLimitTokenReply>;
  /** Number of entries known from other sources; 0 if none. */
  readonly countKnown: () => number;
  readonly log: Pick<Log, 'info'>;
  /** Called with the result of each token request. */
  readonly onResult: (result: TokenResult) => void;
}

/** Number of relays that grant tokens of one endpoint. */
export function shardCount(relays: number): number {
  return Math.min(MAX_SHARDS, relays);
}

/** One relay of an endpoint. */
interface Shard {
  readonly relay: string;
  /** Earliest time of the next token request, ms. */
  nextAtMs: number;
  /**
   * Rate at which it last denied a token, requests/s; the next request may be sent at once when the
   * limit rises.
   */
  deniedPerS: number;
  isReachable: boolean;
}

/** The rate to compare with that of a denial; an ended limit is above all others. */
function ratePerS({ limitPerS, releasedMs }: CurrentLimit): number {
  return releasedMs === undefined ? limitPerS : Number.POSITIVE_INFINITY;
}

function askAtMs({ nextAtMs, deniedPerS }: Shard, limit: CurrentLimit): number {
  return ratePerS(limit) > deniedPerS ? Number.NEGATIVE_INFINITY : nextAtMs;
}

/** The limiters of one entry. */
export class RelayLimiters {
  /** The largest number of entries that a relay reported. */
  private peers = 0;

  constructor(private readonly deps: RelayLimiterDeps) {}

  /**
   * The limiter of one process of an endpoint.
   * @example new EndpointGate(limiters.of(endpoint))
   */
  of(process: EndpointProcess): RateLimiter {
    return new RelayLimiter(this.deps, process, this);
  }

  /** Number of entries assumed to share the limits. */
  get peersAssumed(): number {
    return Math.max(ASSUMED_PEERS, this.deps.countKnown(), this.peers);
  }

  /** Notes the number of entries that a relay reported. */
  notePeers(count: number): void {
    this.peers = Math.max(this.peers, count);
  }
}

class RelayLimiter implements RateLimiter {
  private readonly shards: readonly Shard[];
  /** This entry's own tokens while no relay can be reached. */
  private readonly local: TokenBucket;
  private isIsolated = false;
  private pending = 0;

  constructor(
    private readonly deps: RelayLimiterDeps,
    private readonly process: EndpointProcess,
    private readonly limiters: RelayLimiters,
  ) {
    const { relays, random, own } = deps;
    // By host, since daemons may reach the same relay at different ports.
    const granters = rendezvousOrder(process.id, relays, hostOf).slice(0, MAX_SHARDS);
    this.shards = rendezvousOrder(own, granters, hostOf).map((relay) => ({
      relay,
      nextAtMs: Number.NEGATIVE_INFINITY,
      deniedPerS: Number.POSITIVE_INFINITY,
      isReachable: true,
    }));
    this.local = new TokenBucket(random);
    this.isIsolated = this.shards.length === 0;
  }

  nextTokenAtMs(nowMs: number): number {
    const { limits } = this.deps;
    const limit = limits.isEmpty ? undefined : limits.of(this.process);
    if (!limit) return nowMs;
    if (this.pending >= MAX_PENDING) return nowMs + PENDING_RETRY_MS;
    const shardAtMs = Math.min(...this.shards.map((shard) => askAtMs(shard, limit)));
    return Math.min(shardAtMs, this.localAtMs(limit, nowMs));
  }

  async acquire(): Promise<boolean> {
    const { clock, limits } = this.deps;
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
    const { own, limits } = this.deps;
    const limit = limits.describe(this.process.id);
    if (!limit) return true;
    try {
      const grant = await this.deps.ask(shard.relay, { from: own, limit });
      this.take(shard, grant);
      return grant.isGranted;
    } catch (err) {
      this.noteUnreachable(shard, errorText(err));
      return false;
    }
  }

  private noteUnreachable(shard: Shard, err: string): void {
    const { random, log, onResult } = this.deps;
    shard.isReachable = false;
    this.pause(shard, UNREACHABLE_RETRY_MS * (1 + random()));
    this.noteReach();
    onResult('unreachable');
    log.info('rate-limit.unreachable', { endpoint: this.process.id, relay: shard.relay, err });
  }

  private pause(shard: Shard, forMs: number): void {
    const { clock, limits } = this.deps;
    const limit = limits.of(this.process);
    shard.nextAtMs = clock.nowMs() + forMs;
    shard.deniedPerS = limit ? ratePerS(limit) : Number.POSITIVE_INFINITY;
  }

  private take(shard: Shard, { isGranted, retryMs = 0, peers, limit }: RateLimitTokenReply): void {
    const { limits, onResult } = this.deps;
    if (limit) limits.merge([limit]);
    this.limiters.notePeers(peers);
    shard.isReachable = true;
    this.noteReach();
    if (!isGranted) this.pause(shard, Math.max(MIN_RETRY_MS, retryMs));
    onResult(isGranted ? 'granted' : 'denied');
  }

  /** Updates whether any relay can be reached; the local bucket gains no tokens while one can. */
  private noteReach(): void {
    const isIsolated = !this.shards.some(({ isReachable }) => isReachable);
    if (isIsolated === this.isIsolated) return;
    this.isIsolated = isIsolated;
    if (isIsolated) this.local.resume(this.deps.clock.nowMs());
    const peers = this.limiters.peersAssumed;
    this.deps.log.info('rate-limit.reach', { endpoint: this.process.id, isIsolated, peers });
  }

  private localAtMs(limit: CurrentLimit, nowMs: number): number {
    if (!this.isIsolated) return Number.POSITIVE_INFINITY;
    return this.local.nextTokenAtMs(isolatedShare(limit, this.limiters.peersAssumed), nowMs);
  }

  private takeLocal(): boolean {
    const nowMs = this.deps.clock.nowMs();
    const limit = this.deps.limits.of(this.process);
    if (!limit) return true;
    if (this.localAtMs(limit, nowMs) > nowMs) return false;
    this.local.consume(isolatedShare(limit, this.limiters.peersAssumed), nowMs);
    this.deps.onResult('local');
    return true;
  }
}
