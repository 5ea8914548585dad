/** Serves one request: its turn, its attempts, its one final answer. */
import { pickService } from '../core/published/index.js';
import { turnTerms } from '../core/limits/index.js';
import { refuseCrashing, runAttempts } from './attempts.js';
import { BUSY_RETRY_S, DEFAULT_DEADLINE_MS, OUTAGE_RETRY_S } from './consts.js';
import type { GatewayContext } from './context.js';
import type { ServiceGroups } from './service-groups.js';
import type { GatewayRequest } from './types.js';
import {
  giveUp,
  leftMs,
  refused,
  retryS,
  type RequestEnd,
  type RequestNote,
  type Work,
} from './work.js';

/**
 * Serves a request whose route and organisation are known.
 * @example const end = await serveRequest(ctx, request, note);
 */
export async function serveRequest(
  ctx: GatewayContext,
  request: GatewayRequest,
  note: RequestNote,
): Promise<RequestEnd> {
  const id = pickService(request.route, ctx.random);
  if (id === undefined) return refused('no-endpoint', 'the route names no service', 1);
  const service = ctx.serviceOf(id);
  note.service = id;
  const work: Work = {
    ctx,
    request,
    service,
    note,
    tried: new Set(),
    progress: { lastId: request.head.resumeAfter, events: 0, lastAtMs: 0, longestPauseMs: 0 },
    mayHaveRun: false,
    lastFault: undefined,
    isRateLimited: false,
    place: undefined,
  };
  // It would wait for a place, and one who can be served would not get it.
  if (ctx.crashes.isRefused(request)) return refuseCrashing(work);
  if (!service.groups) return runAttempts(work);
  const refusal = await takeTurn(work, service.groups);
  if (refusal) return refusal;
  try {
    return await runAttempts(work);
  } finally {
    work.place?.turns.queue.release();
    note.events = work.progress.events;
    note.longestPauseMs = work.progress.longestPauseMs;
  }
}

/** Takes one of this entry's places at a group; its end when there is none in time, or no group serves. */
async function takeTurn(work: Work, groups: ServiceGroups): Promise<RequestEnd | undefined> {
  const { ctx, request, note } = work;
  const chosen = groups.choose(work.tried);
  if (!chosen) return giveUp(work);
  const { turns } = chosen;
  const { route, gone } = request;
  if (route.gapMs !== undefined) turns.allowPauses(route.gapMs);
  const askedAtMs = ctx.ageClock.nowMs();
  const waitsMs = request.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const isReturning = groups.callers.isReturning(route.id, waitsMs, askedAtMs);
  note.isReturning = isReturning;
  if (turns.outage.refuses(askedAtMs)) {
    groups.callers.noteRefused(askedAtMs);
    return refused('outage', 'no endpoint of the service serves', retryS(ctx, OUTAGE_RETRY_S));
  }
  const priority = request.organisation?.priority ?? route.priority;
  const terms = turnTerms({
    isReturning,
    priority,
    targetMs: route.targetMs,
    leftMs: leftMs(work),
  });
  const got = await turns.queue.take(terms.order, terms.waitMs, gone);
  note.queuedMs = ctx.ageClock.nowMs() - askedAtMs;
  if (got) {
    work.place = chosen;
    return undefined;
  }
  if (gone.aborted) return { kind: 'gone' };
  groups.callers.noteRefused(ctx.ageClock.nowMs());
  return refused('busy', turns.describe(), retryS(ctx, BUSY_RETRY_S));
}
