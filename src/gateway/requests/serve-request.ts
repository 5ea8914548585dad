/**
 * Serves one request: waits for a slot, runs the attempts, waits until the caller has read the response,
 * and returns a single outcome.
 */
import { pickService } from '../../core/published/index.js';
import { FINAL_RESPONSE_MARGIN_MS } from '../consts.js';
import { acquireSlot } from './acquire-slot.js';
import { refuseIfCrashing, runAttempts } from './attempts.js';
import type { GatewayContext } from '../context.js';
import type { GatewayRequest } from '../types.js';
import { ResponseWriter } from './response-writer.js';
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
    unsentAttempts: 0,
    mayHaveRun: false,
    lastFault: undefined,
    isRateLimited: false,
    opening: undefined,
    group: undefined,
    hasRetryClaim: false,
    writer: new ResponseWriter({
      res: request.res,
      budget: ctx.memory,
      nowMs: () => ctx.clock.nowMs(),
    }),
  };
  try {
    return await deliverRest(active, await runRequest(active));
  } finally {
    reportUnread(active);
    active.writer.close();
  }
}

/** Runs the request; its slot is free when the endpoint has finished, whatever the caller has read. */
async function runRequest(active: ActiveRequest): Promise<RequestOutcome> {
  const { service, summary } = active;
  // A crashing request must not hold a slot that another request could use.
  const crashRefusal = refuseIfCrashing(active);
  if (crashRefusal) return crashRefusal;
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

/** Waits until the caller has read the response, and returns the final outcome. */
async function deliverRest(
  { writer }: ActiveRequest,
  outcome: RequestOutcome,
): Promise<RequestOutcome> {
  if (outcome.kind === 'refused') return outcome;
  if (outcome.kind === 'answered' && (await writer.whenDone())) return outcome;
  if (writer.ended)
    return { kind: 'cut', detail: `the caller reads too slowly (${writer.ended.reason})` };
  return outcome.kind === 'answered' ? { kind: 'gone' } : outcome;
}

/** Reports a response that was ended before its caller had read it. */
function reportUnread({ ctx, request, writer }: ActiveRequest): void {
  const isTimedOut = request.remainingMs() <= FINAL_RESPONSE_MARGIN_MS;
  const ended = writer.ended ?? (isTimedOut ? writer.describeUnread() : undefined);
  if (!ended) return;
  ctx.metrics.count('unread_responses_ended_total', { reason: ended.reason });
  ctx.log.warn('response.unread', {
    request: request.id,
    reason: ended.reason,
    heldBytes: ended.heldBytes,
    oldestMs: ended.oldestMs === undefined ? undefined : Math.round(ended.oldestMs),
    usedBytes: ended.usedBytes,
    budgetBytes: ended.budgetBytes,
  });
}
