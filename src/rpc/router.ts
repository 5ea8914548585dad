/** The trpc router that every daemon serves to the others. */
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

/** What a daemon does for others; each role answers some of it. */
export interface DaemonCalls {
  hello?(): HelloAnswer;
  feedWatch?(input: FeedWatchInput): Promise<FeedUpdate | undefined>;
  rank?(order: RankOrder): Promise<RankReply>;
  /** Passes an order on to others of the group. */
  branch?(order: BranchOrder): Promise<BranchReply>;
  /** What is published, as this daemon knows it; held until there is news. */
  published?(ask: PublishedAsk): Promise<PublishedNews>;
  /** Takes what another entry saw of requests that crash endpoints. */
  crashes?(news: CrashNews): void;
  /** Takes what endpoints asked another entry for. */
  asks?(news: AskNews): void;
  /** Grants a token for a request to an endpoint with a rate limit. */
  token?(request: TokenRequest): TokenGrant;
  /** The group as last seen; undefined before the first look. */
  group?(ask: GroupAsk): GroupDigest | undefined;
}

const trpc = initTRPC.create();

/** A trpc input parser from a generated check. */
function checked<T>(check: (data: unknown) => data is T): (data: unknown) => T {
  return (data) => {
    if (check(data)) return data;
    throw new TRPCError({
      code: 'BAD_REQUEST',
      message: 'The message does not fit its schema: run daemons of one version.',
    });
  };
}

function required<T>(call: T | undefined): T {
  if (call) return call;
  throw new TRPCError({
    code: 'NOT_IMPLEMENTED',
    message: 'This daemon does not serve the call: send it to one in the role that does.',
  });
}

/**
 * Builds the router over a daemon's calls.
 * @example createHTTPHandler({ router: buildRouter(calls), basePath: RPC_PATH })
 */
// The return type is inferred: it is the type of the wire, and DaemonRouter names it.
export function buildRouter(calls: DaemonCalls) {
  return trpc.router({
    hello: trpc.procedure.query(() => required(calls.hello)()),
    feedWatch: trpc.procedure
      .input(checked(isFeedWatchInput))
      .query(({ input }) => required(calls.feedWatch)(input)),
    group: trpc.procedure
      .input(checked(isGroupAsk))
      .query(({ input }) => required(calls.group)(input)),
    rank: trpc.procedure
      .input(checked(isRankOrder))
      .mutation(({ input }) => required(calls.rank)(input)),
    published: trpc.procedure
      .input(checked(isPublishedAsk))
      .query(({ input }) => required(calls.published)(input)),
    crashes: trpc.procedure
      .input(checked(isCrashNews))
      .mutation(({ input }) => required(calls.crashes)(input)),
    asks: trpc.procedure
      .input(checked(isAskNews))
      .mutation(({ input }) => required(calls.asks)(input)),
    token: trpc.procedure
      .input(checked(isTokenRequest))
      .mutation(({ input }) => required(calls.token)(input)),
    branch: trpc.procedure
      .input(checked(isBranchOrder))
      .mutation(({ input }) => required(calls.branch)(input)),
  });
}

/** Type of the wire between daemons. */
export type DaemonRouter = ReturnType<typeof buildRouter>;
