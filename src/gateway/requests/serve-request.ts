/** Serves one request: waits for a slot, runs the attempts, and returns a single outcome. */
import { pickService } from '../../core/published/index.js';
import { acquireSlot } from './acquire-slot.js';
import { refuseCrashingRequest, runAttempts } from './attempts.js';
import type { GatewayContext } from '../context.js';
import type { GatewayRequest } from '../types.js';
import {
  refuseWith,
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
