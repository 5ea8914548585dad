/** Serves one request: waits for a slot, runs the attempts, and returns a single outcome. */
import { pickService } from '../../core/published/index.js';
import { queueTerms } from '../../core/limits/index.js';
import { refuseCrashingRequest, runAttempts } from './attempts.js';
import { BUSY_RETRY_S, DEFAULT_DEADLINE_MS, OUTAGE_RETRY_S } from '../consts.js';
import type { GatewayContext } from '../context.js';
import type { ServiceGroups } from '../groups/service-groups.js';
import type { GatewayRequest } from '../types.js';
import {
  failureOutcome,
  remainingMs,
  refuseWith,
  randomRetryAfterS,
  type RequestOutcome,
  type RequestSummary,
  type ActiveRequest,
} from './active-request.js';

/**
 * Serves a request whose route and organisation are known.
 * @example const outcome = await serveRequest(ctx, request, summary);
 */
export async function serveRequest(
  ctx: GatewayContext,
  request: GatewayRequest,
  summary: RequestSummary,
): Promise<RequestOutcome> {
  const id = pickService(request.route, ctx.random);
  if (id === undefined) return refuseWith('no-endpoint', 'the route names no service', 1);
  const service = ctx.serviceOf(id);
  summary.service = id;
  const active: ActiveRequest = {
    ctx,
    request,
    service,
    summary,
    tried: new Set(),
    progress: {
      lastEventId: request.head.resumeAfter,
      events: 0,
      lastEventAtMs: 0,
      longestPauseMs: 0,
    },
    mayHaveRun: false,
    lastFault: undefined,
    isRateLimited: false,
    group: undefined,
  };
  // A crashing request must not hold a slot that another request could use.
  if (ctx.crashes.isRefused(request)) return refuseCrashingRequest(active);
  if (!service.groups) return runAttempts(active);
  const refusal = await acquireSlot(active, service.groups);
  if (refusal) return refusal;
  try {
    return await runAttempts(active);
  } finally {
    active.group?.slotQueue.queue.release();
    summary.events = active.progress.events;
    summary.longestPauseMs = active.progress.longestPauseMs;
  }
}

/** Acquires one of this entry's slots in a group; returns a refusal if none is free in time. */
async function acquireSlot(
  active: ActiveRequest,
  groups: ServiceGroups,
): Promise<RequestOutcome | undefined> {
  const { ctx, request, summary } = active;
  const group = groups.choose(active.tried);
  if (!group) return failureOutcome(active);
  const { slotQueue } = group;
  const { route, gone } = request;
  if (route.gapMs !== undefined) slotQueue.setAllowedPause(route.gapMs);
  const queuedAtMs = ctx.ageClock.nowMs();
  const deadlineMs = request.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const isReturning = groups.returningCallers.isReturning(route.id, deadlineMs, queuedAtMs);
  summary.isReturning = isReturning;
  if (slotQueue.outage.shouldRefuse(queuedAtMs)) {
    groups.returningCallers.recordRefusal(queuedAtMs);
    return refuseWith(
      'outage',
      'no endpoint of the service is available',
      randomRetryAfterS(ctx, OUTAGE_RETRY_S),
    );
  }
  const priority = request.organisation?.priority ?? route.priority;
  const terms = queueTerms({
    isReturning,
    priority,
    targetMs: route.targetMs,
    leftMs: remainingMs(active),
  });
  const isAdmitted = await slotQueue.queue.acquire(terms.order, terms.waitMs, gone);
  summary.queuedMs = ctx.ageClock.nowMs() - queuedAtMs;
  if (isAdmitted) {
    active.group = group;
    return undefined;
  }
  if (gone.aborted) return { kind: 'gone' };
  groups.returningCallers.recordRefusal(ctx.ageClock.nowMs());
  return refuseWith('busy', slotQueue.describe(), randomRetryAfterS(ctx, BUSY_RETRY_S));
}
