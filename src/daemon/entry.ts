/** Role entry: the gateway with the caller API, configured by the published documents. */
import {
  createCallerApi,
  DecisionRecord,
  OrganisationLimits,
  toPublishedConfig,
  toPublishedEndpoints,
} from '../caller-api/index.js';
import { KnownLimits, ShareLimiter, type LimitPeers } from '../core/backpressure/index.js';
import { SuspensionClock } from '../core/clock/index.js';
import { asId } from '../core/ids/index.js';
import { PublishedState, type CallerLimits } from '../core/published/index.js';
import { createContext, createGateway, shareOf, type Gateway } from '../gateway/index.js';
import type { DaemonContext } from '../runtime/index.js';
import { BYTES_PER_MB } from './context.js';

/** Retries per window of all entries together, beyond the retry share, so that quiet services have some. */
const RETRY_BUDGET_EXTRA = 480;
/** Window of the retry budget, ms: over it the extra retries and the share of requests are counted. */
const RETRY_BUDGET_WINDOW_MS = 10_000;
/** Idle timeout of a caller's connection, ms: longer than the clients' own timeouts. */
const CALLER_IDLE_TIMEOUT_MS = 65_000;
/** How often the state of removed endpoints is deleted, ms. */
const PRUNE_INTERVAL_MS = 2000;

/** The components of a running entry. */
export interface Entry {
  readonly gateway: Gateway;
  readonly decisions: DecisionRecord;
  close(): void;
}

function callerLimits(ctx: DaemonContext): CallerLimits {
  const { headerBytes, bodyBytes, bodyMs } = ctx.settings.limits;
  return { headerBytes, bodyBytes, headerMs: bodyMs, idleMs: CALLER_IDLE_TIMEOUT_MS };
}

/**
 * The live entries in the instance list share the rate limits that endpoints announce. Each entry
 * knows only the limits it received itself.
 */
function limitPeers(ctx: DaemonContext): LimitPeers {
  const entries = ctx.view().all.filter((i) => i.role === 'entry' && i.state === 'live');
  const entryNames = entries.map((i) => i.instance).sort();
  const index = entryNames.indexOf(ctx.self);
  return { index: index < 0 ? undefined : index, count: Math.max(1, entryNames.length) };
}

/** Applies each document and list that the feed accepts to the gateway's state. */
function applyFeedChanges(ctx: DaemonContext, state: PublishedState): void {
  ctx.store.onChange(() => {
    const doc = ctx.store.config;
    if (!doc) return;
    state.offerConfig(toPublishedConfig(doc, callerLimits(ctx)), ctx.clock.nowMs());
    state.offerList(toPublishedEndpoints(ctx.view(), doc.body), false);
  });
}

/**
 * Starts the gateway of an entry; its server does not listen yet.
 * @example const entry = startEntry(ctx); entry.gateway.server.listen(port);
 */
export function startEntry(ctx: DaemonContext): Entry {
  const { settings, clock, metrics } = ctx;
  const decisions = new DecisionRecord();
  const state = new PublishedState();
  const body = () => ctx.store.config?.body;
  let sequence = 0;
  const callerApi = createCallerApi({
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
      maxOpenRequests: settings.limits.streamsPerOrganisation,
    }),
  });
  const ageClock = new SuspensionClock(clock);
  const limits = new KnownLimits(ageClock);
  const shareInput = { state, limits, limitPeers: () => limitPeers(ctx) };
  const gatewayCtx = createContext({
    settings: {
      // The feed never withdraws a document, and its keys need no freshness check.
      keyFreshnessMs: Number.POSITIVE_INFINITY,
      configApplyMs: Number.POSITIVE_INFINITY,
      bodyMs: settings.limits.bodyMs,
      parserHeaderBytes: settings.limits.headerBytes,
      memoryBytes: settings.limits.memoryMb * BYTES_PER_MB,
      descriptors: settings.limits.descriptors,
      hasAdmissionLevel: settings.limits.admissionLevel,
      retryExtra: RETRY_BUDGET_EXTRA,
      retryWindowMs: RETRY_BUDGET_WINDOW_MS,
    },
    retryShare: () => body()?.policy.retryShare ?? 0,
    clients: ctx.clients,
    callers: callerApi,
    state,
    clock,
    ageClock,
    // Daemons with this API have no relays, so each entry keeps its observations to itself.
    broadcastCrashes: () => undefined,
    broadcastLeaving: () => undefined,
    limits,
    limiterOf: (endpoint) =>
      new ShareLimiter(ageClock, ctx.random, () => shareOf(shareInput, endpoint)),
    random: ctx.random,
    log: decisions.recordFrom(ctx.log),
    metrics,
    dataCentre: asId(settings.dataCentre),
    statusOf: () => undefined,
    knownEntries: () => 0,
    groupLoad: () => undefined,
    groupOf: () => undefined,
  });
  applyFeedChanges(ctx, state);
  const pruneTimer = setInterval(() => {
    gatewayCtx.endpoints.prune();
    limits.forget((id) => state.list.has(id));
  }, PRUNE_INTERVAL_MS);
  pruneTimer.unref();
  return {
    gateway: createGateway(gatewayCtx),
    decisions,
    close: () => {
      clearInterval(pruneTimer);
      gatewayCtx.endpoints.close();
    },
  };
}
