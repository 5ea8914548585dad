/** Role entry: the gateway behind the product's own interface, fed by the operators' documents. */
import {
  createCallerApi,
  DecisionRecord,
  OrganisationLimits,
  publishedConfig,
  publishedEndpoints,
} from '../caller-api/index.js';
import { KnownLimits, ShareLimiter, type LimitPeers } from '../core/backpressure/index.js';
import { SuspensionClock } from '../core/clock/index.js';
import { asId } from '../core/ids/index.js';
import { PublishedState, type CallerLimits } from '../core/published/index.js';
import { createContext, createGateway, shareOf, type Gateway } from '../gateway/index.js';
import type { DaemonContext } from '../runtime/index.js';

/** Retries that all entries together may make beyond their share, so that a quiet service has some. */
const RETRY_EXTRA = 480;
/** Time within which these, and the share of the requests in it, may be taken, ms. */
const RETRY_WINDOW_MS = 10_000;
/** Time that a caller may leave a connection idle, ms: longer than clients' own. */
const IDLE_MS = 65_000;
/** How often endpoints that are gone are dropped, ms. */
const PRUNE_MS = 2000;

/** A started entry. */
export interface Entry {
  readonly gateway: Gateway;
  readonly decisions: DecisionRecord;
  close(): void;
}

function limitsOf(ctx: DaemonContext): CallerLimits {
  const { headerBytes, bodyBytes, bodyMs } = ctx.settings.limits;
  return { headerBytes, bodyBytes, headerMs: bodyMs, idleMs: IDLE_MS };
}

/** The live entries of the list share the limits that endpoints name; each keeps what it was told itself. */
function sharersOf(ctx: DaemonContext): LimitPeers {
  const entries = ctx.view().all.filter((i) => i.role === 'entry' && i.state === 'live');
  const names = entries.map((i) => i.instance).sort();
  const place = names.indexOf(ctx.self);
  return { index: place < 0 ? undefined : place, count: Math.max(1, names.length) };
}

/** Takes each document and list that the feed accepted into the gateway's state. */
function follow(ctx: DaemonContext, state: PublishedState): void {
  ctx.store.onChange(() => {
    const doc = ctx.store.config;
    if (!doc) return;
    state.offerConfig(publishedConfig(doc, limitsOf(ctx)), ctx.clock.nowMs());
    state.offerList(publishedEndpoints(ctx.view(), doc.body), false);
  });
}

/**
 * Starts the parts of an entry.
 * @example const entry = startEntry(ctx); entry.gateway.server.listen(port);
 */
export function startEntry(ctx: DaemonContext): Entry {
  const { settings, clock, metrics } = ctx;
  const decisions = new DecisionRecord();
  const state = new PublishedState();
  const body = () => ctx.store.config?.body;
  let sequence = 0;
  const callers = createCallerApi({
    body,
    nextRequestId: () => {
      sequence += 1;
      return `${ctx.self}/${ctx.incarnation}/r${sequence}`;
    },
    timeoutMs: settings.limits.defaultDeadlineMs,
    limits: new OrganisationLimits({
      clock,
      metrics,
      body,
      liveEntries: () => Math.max(1, ctx.view().liveEntries),
      mostOpen: settings.limits.streamsPerOrganisation,
    }),
  });
  const ageClock = new SuspensionClock(clock);
  const limits = new KnownLimits(ageClock);
  const sharing = { state, limits, sharers: () => sharersOf(ctx) };
  const gatewayCtx = createContext({
    settings: {
      // The feed takes no document back, and its keys need no proof of freshness.
      keyFreshnessMs: Number.POSITIVE_INFINITY,
      configApplyMs: Number.POSITIVE_INFINITY,
      bodyMs: settings.limits.bodyMs,
      parserHeaderBytes: settings.limits.headerBytes,
      retryExtra: RETRY_EXTRA,
      retryWindowMs: RETRY_WINDOW_MS,
    },
    retryShare: () => body()?.policy.retryShare ?? 0,
    callers,
    state,
    clock,
    ageClock,
    // Daemons of this interface have no relays; each keeps what it has seen itself.
    broadcastCrashes: () => undefined,
    broadcastLeaving: () => undefined,
    limits,
    limiterOf: (endpoint) =>
      new ShareLimiter(ageClock, ctx.random, () => shareOf(sharing, endpoint)),
    random: ctx.random,
    log: decisions.watch(ctx.log),
    metrics,
    dataCentre: asId(settings.dataCentre),
    statusOf: () => undefined,
    knownEntries: () => 0,
    groupLoad: () => undefined,
    groupOf: () => undefined,
  });
  follow(ctx, state);
  const pruning = setInterval(() => {
    gatewayCtx.endpoints.prune();
    limits.forget((id) => state.list.has(id));
  }, PRUNE_MS);
  pruning.unref();
  return {
    gateway: createGateway(gatewayCtx),
    decisions,
    close: () => {
      clearInterval(pruning);
      gatewayCtx.endpoints.close();
    },
  };
}
