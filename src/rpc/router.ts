/** The tRPC router that every daemon serves to the others. */
import { initTRPC, TRPCError } from '@trpc/server';
import type { FeedUpdate } from '../core/config-feed/index.js';
import type {
  BackpressureUpdate,
  ForwardedOrder,
  ForwardedReplies,
  CrashUpdate,
  FeedWatchRequest,
  GroupDigestRequest,
  GroupDigest,
  HelloReply,
  PublishedRequest,
  PublishedUpdate,
  RankOrder,
  RankReply,
  RateLimitTokenReply,
  RateLimitTokenRequest,
} from '../generated/messages.types.js';
import {
  isBackpressureUpdate,
  isForwardedOrder,
  isCrashUpdate,
  isFeedWatchRequest,
  isGroupDigestRequest,
  isPublishedRequest,
  isRankOrder,
  isRateLimitTokenRequest,
} from '../generated/messages.validator.js';

/** Handlers of the calls from other daemons; each role implements some of them. */
export interface RpcHandlers {
  hello?(): HelloReply;
  feedWatch?(input: FeedWatchRequest): Promise<FeedUpdate | undefined>;
  rank?(order: RankOrder): Promise<RankReply>;
  /** Forwards an order to other members of the group. */
  branch?(order: ForwardedOrder): Promise<ForwardedReplies>;
  /** The published state as this daemon knows it; long poll, held until there is an update. */
  published?(ask: PublishedRequest): Promise<PublishedUpdate>;
  /** Merges another entry's observations of requests that crash endpoints. */
  crashes?(news: CrashUpdate): void;
  /** Merges the backpressure signals that another entry received from endpoints. */
  asks?(news: BackpressureUpdate): void;
  /** Grants a token for a request to an endpoint with a rate limit. */
  token?(request: RateLimitTokenRequest): RateLimitTokenReply;
  /** The group's last known state; undefined before the first poll. */
  group?(ask: GroupDigestRequest): GroupDigest | undefined;
}

const trpc = initTRPC.create();

/** Makes a tRPC input parser from a generated validator. */
function inputParser<T>(check: (data: unknown) => data is T): (data: unknown) => T {
  return (data) => {
    if (check(data)) return data;
    throw new TRPCError({
      code: 'BAD_REQUEST',
      message: 'The message does not fit its schema: run daemons of one version.',
    });
  };
}

function requireHandler<T>(handler: T | undefined): T {
  if (handler) return handler;
  throw new TRPCError({
    code: 'NOT_IMPLEMENTED',
    message: 'This daemon does not serve the call: send it to one in the role that does.',
  });
}

/**
 * Builds the router from a daemon's handlers.
 * @example createHTTPHandler({ router: buildRouter(handlers), basePath: RPC_PATH })
 */
// The return type is inferred: DaemonRouter names it, and clients derive their types from it.
export function buildRouter(handlers: RpcHandlers) {
  return trpc.router({
    hello: trpc.procedure.query(() => requireHandler(handlers.hello)()),
    feedWatch: trpc.procedure
      .input(inputParser(isFeedWatchRequest))
      .query(({ input }) => requireHandler(handlers.feedWatch)(input)),
    group: trpc.procedure
      .input(inputParser(isGroupDigestRequest))
      .query(({ input }) => requireHandler(handlers.group)(input)),
    rank: trpc.procedure
      .input(inputParser(isRankOrder))
      .mutation(({ input }) => requireHandler(handlers.rank)(input)),
    published: trpc.procedure
      .input(inputParser(isPublishedRequest))
      .query(({ input }) => requireHandler(handlers.published)(input)),
    crashes: trpc.procedure
      .input(inputParser(isCrashUpdate))
      .mutation(({ input }) => requireHandler(handlers.crashes)(input)),
    asks: trpc.procedure
      .input(inputParser(isBackpressureUpdate))
      .mutation(({ input }) => requireHandler(handlers.asks)(input)),
    token: trpc.procedure
      .input(inputParser(isRateLimitTokenRequest))
      .mutation(({ input }) => requireHandler(handlers.token)(input)),
    branch: trpc.procedure
      .input(inputParser(isForwardedOrder))
      .mutation(({ input }) => requireHandler(handlers.branch)(input)),
  });
}

/** Type of the RPC interface between daemons. */
export type DaemonRouter = ReturnType<typeof buildRouter>;
