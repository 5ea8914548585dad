/** The tRPC router that every daemon serves to the others. */
import { initTRPC, TRPCError } from '@trpc/server';
import type { FeedUpdate } from '../core/config-feed/index.js';
import type {
  AskNews,
  BranchOrder,
  BranchReply,
  CrashNews,
  FeedWatchInput,
  GroupAsk,
  GroupDigest,
  HelloAnswer,
  PublishedAsk,
  PublishedNews,
  RankOrder,
  RankReply,
  TokenGrant,
  TokenRequest,
} from '../generated/messages.types.js';
import {
  isAskNews,
  isBranchOrder,
  isCrashNews,
  isFeedWatchInput,
  isGroupAsk,
  isPublishedAsk,
  isRankOrder,
  isTokenRequest,
} from '../generated/messages.validator.js';

/** Handlers of the calls from other daemons; each role implements some of them. */
export interface DaemonCalls {
  hello?(): HelloAnswer;
  feedWatch?(input: FeedWatchInput): Promise<FeedUpdate | undefined>;
  rank?(order: RankOrder): Promise<RankReply>;
  /** Forwards an order to other members of the group. */
  branch?(order: BranchOrder): Promise<BranchReply>;
  /** The published state as this daemon knows it; long poll, held until there is an update. */
  published?(ask: PublishedAsk): Promise<PublishedNews>;
  /** Merges another entry's observations of requests that crash endpoints. */
  crashes?(news: CrashNews): void;
  /** Merges the backpressure signals that another entry received from endpoints. */
  asks?(news: AskNews): void;
  /** Grants a token for a request to an endpoint with a rate limit. */
  token?(request: TokenRequest): TokenGrant;
  /** The group's last known state; undefined before the first poll. */
  group?(ask: GroupAsk): GroupDigest | undefined;
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
export function buildRouter(handlers: DaemonCalls) {
  return trpc.router({
    hello: trpc.procedure.query(() => requireHandler(handlers.hello)()),
    feedWatch: trpc.procedure
      .input(inputParser(isFeedWatchInput))
      .query(({ input }) => requireHandler(handlers.feedWatch)(input)),
    group: trpc.procedure
      .input(inputParser(isGroupAsk))
      .query(({ input }) => requireHandler(handlers.group)(input)),
    rank: trpc.procedure
      .input(inputParser(isRankOrder))
      .mutation(({ input }) => requireHandler(handlers.rank)(input)),
    published: trpc.procedure
      .input(inputParser(isPublishedAsk))
      .query(({ input }) => requireHandler(handlers.published)(input)),
    crashes: trpc.procedure
      .input(inputParser(isCrashNews))
      .mutation(({ input }) => requireHandler(handlers.crashes)(input)),
    asks: trpc.procedure
      .input(inputParser(isAskNews))
      .mutation(({ input }) => requireHandler(handlers.asks)(input)),
    token: trpc.procedure
      .input(inputParser(isTokenRequest))
      .mutation(({ input }) => requireHandler(handlers.token)(input)),
    branch: trpc.procedure
      .input(inputParser(isBranchOrder))
      .mutation(({ input }) => requireHandler(handlers.branch)(input)),
  });
}

/** Type of the RPC interface between daemons. */
export type DaemonRouter = ReturnType<typeof buildRouter>;
