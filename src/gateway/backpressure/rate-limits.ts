/** Endpoint rate limits at one entry process: gossip of limits, tokens granted to others and tokens requested. */
import {
  LimitUpdates,
  RateLimitGossip,
  RelayLimiters,
  shardCount,
  TOKEN_TIMEOUT_MS,
  TokenGrants,
  type RateLimiter,
} from '../../core/backpressure/index.js';
import type { Clock } from '../../core/clock/index.js';
import { errorText } from '../../core/errors/index.js';
import type { Log } from '../../core/logging/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { PublishedEndpoint, PublishedState } from '../../core/published/index.js';
import type {
  BackpressureUpdate,
  RateLimitTokenReply,
  RateLimitTokenRequest,
} from '../../generated/messages.types.js';
import type { Peers } from '../../rpc/peers.js';
import type { InstanceSettings } from '../types.js';

/** Dependencies of `createRateLimits`. */
export interface RateLimitDeps {
  readonly settings: InstanceSettings;
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly peers: Peers;
  /** Address of this entry as a relay, if it has one. */
  readonly own: string | undefined;
  /** Addresses of the other relays. */
  readonly relays: readonly string[];
  readonly countKnown: () => number;
  /** Sends an update to a relay; rejects if it is not acknowledged in time. */
  readonly sendUpdate: (relay: string, update: BackpressureUpdate) => Promise<void>;
  /** Called on a change that daemons waiting for updates from this entry must receive. */
  readonly onChange: () => void;
}

/** The rate limits of one entry process. */
export interface RateLimits {
  readonly gossip: RateLimitGossip;
  limiterOf(endpoint: PublishedEndpoint): RateLimiter;
  /** Answers another entry's request for a token. */
  grant(request: RateLimitTokenRequest): RateLimitTokenReply;
  /** Merges another entry's update. */
  merge(update: BackpressureUpdate): void;
  /** Sends pending updates; call every few hundred ms. */
  flush(): void;
}

function createLimiters(
  { settings, clock, random, log, metrics, peers, own, countKnown }: RateLimitDeps,
  { limits }: RateLimitGossip,
  grants: TokenGrants,
): RelayLimiters {
  return new RelayLimiters({
    clock,
    random,
    log,
    limits,
    own: settings.instance,
    relays: settings.relays,
    ask: (relay, request) =>
      relay === own
        ? Promise.resolve(grants.take(request))
        : peers.at(relay).token.mutate(request, { signal: AbortSignal.timeout(TOKEN_TIMEOUT_MS) }),
    countKnown,
    onResult: (result) => metrics.count('rate_limit_tokens_total', { result }),
  });
}

function createUpdates(
  { settings, clock, log, relays, sendUpdate }: RateLimitDeps,
  { limits }: RateLimitGossip,
): LimitUpdates {
  return new LimitUpdates({
    clock,
    relays,
    describe: (id) => limits.describe(id),
    send: (relay, observations) =>
      sendUpdate(relay, { from: settings.instance, leaving: [], limits: observations }),
    onFailed: (relay, err) => log.info('asks.untold', { relay, detail: errorText(err) }),
  });
}

/**
 * Creates the gossip, token grants and limiters of one entry process.
 * @example const rateLimits = createRateLimits(deps); setInterval(() => rateLimits.flush(), 400);
 */
export function createRateLimits(deps: RateLimitDeps): RateLimits {
  const { settings, state, clock, random, log, metrics, onChange } = deps;
  const gossip = new RateLimitGossip({
    clock,
    isListed: (id) => state.list.has(id),
    onChange: (change) => log.info('rate-limit.changed', { ...change }),
  });
  const { limits } = gossip;
  const shards = shardCount(settings.relays.length);
  const grants = new TokenGrants({ clock, random, limits, shards });
  const limiters = createLimiters(deps, gossip, grants);
  const updates = createUpdates(deps, gossip);
  metrics.gauge('rate_limit_peers', () => limiters.peersAssumed);
  return {
    gossip,
    limiterOf: (endpoint) => limiters.of(endpoint),
    grant: (request) => {
      const { version } = limits;
      const grant = grants.take(request);
      if (gossip.hasChangesSince(version)) onChange();
      metrics.count('rate_limit_grants_total', { granted: String(grant.isGranted) });
      return grant;
    },
    merge: (update) => {
      if (gossip.mergeFromPeer(update)) onChange();
    },
    flush: () => {
      const changed = gossip.pendingUpdates();
      if (changed.length > 0) onChange();
      updates.flush(changed);
      grants.forget();
    },
  };
}
