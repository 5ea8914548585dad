/** The attempts of one request: chooses endpoints and timeouts, and decides on retries. */
import { recordSignals } from '../backpressure/backpressure-signals.js';
import { sendAttempt } from './attempt.js';
import { claimContinuation, claimRetry } from './claim-retry.js';
import { acquireEndpoint, chooseOtherGroup } from '../endpoints/choose-endpoint.js';
import { OTHER_ENTRY_RETRY_S, RETRY_TIMEOUT_FACTOR, STREAM_IDLE_TIMEOUT_MS } from '../consts.js';
import { describeTrait } from '../../core/crashes/index.js';
import { BEGUN_EVENTS, deliverResponse, MIN_SERVER_ERROR_STATUS } from './deliver.js';
import type { EndpointState } from '../endpoints/endpoint-state.js';
import {
  failureOutcome,
  remainingMs,
  sentAttempts,
  recordFault,
  refuseUnlessRun,
  type RequestOutcome,
  type ActiveRequest,
} from './active-request.js';

/** Timeout of the response headers while the request can go on elsewhere, ms. */
function responseTimeoutMs(active: ActiveRequest): number {
  const { route } = active.request;
  const remaining = remainingMs(active);
  if (route.kind === 'once') return remaining;
  if (route.kind === 'stream') return Math.min(remaining, STREAM_IDLE_TIMEOUT_MS);
  // The last attempt may use all of the remaining time.
  const isLast = sentAttempts(active) >= route.maxAttempts;
  return isLast ? remaining : Math.min(remaining, route.targetMs * RETRY_TIMEOUT_FACTOR);
}

/** Runs one attempt. Returns undefined if the request may be retried. */
async function runAttempt(
  active: ActiveRequest,
  target: EndpointState,
): Promise<RequestOutcome | undefined> {
  const { ctx, request, progress } = active;
  active.tried.add(target.endpoint.id);
  const eventsBefore = progress.events;
  const tokens = request.head.promptTokens;
  const prompt = tokens === undefined ? undefined : { id: request.id, tokens };
  const sentAtMs = ctx.endpoints.noteSent(target, prompt);
  try {
    const response = await sendAttempt({
      callers: ctx.callers,
      request,
      target,
      resumeAfter: progress.lastEventId,
      responseTimeoutMs: responseTimeoutMs(active),
      remainingMs: () => remainingMs(active),
      mayEnd: (mayHaveRun) => claimContinuation(active, { mayHaveRun }),
      onHead: (head) => recordSignals(active, target, head, sentAtMs),
    });
    const run = { request, endpoint: target.endpoint, sentAtMs };
    if (response.err) {
      recordFault(active, target, response.val);
      await ctx.crashes.recordFault({ ...run, fault: response.val });
      return undefined;
    }
    const outcome = await deliverResponse(active, target, response.val, sentAtMs);
    if (outcome?.kind === 'answered' && outcome.status < MIN_SERVER_ERROR_STATUS)
      ctx.crashes.recordSuccess(request, target.endpoint, sentAtMs);
    const hasBegunWell = progress.events - eventsBefore >= BEGUN_EVENTS;
    if (!outcome && active.lastFault && !hasBegunWell)
      await ctx.crashes.recordFault({ ...run, fault: active.lastFault });
    return outcome;
  } finally {
    ctx.endpoints.noteEnded(target, sentAtMs, request.id);
  }
}

/**
 * Moves the request to another group after a fault, if one is available: ranks of a group fail
 * together. A stream that has begun takes a slot even if none is free, since it would be lost
 * otherwise.
 */
function switchGroup(active: ActiveRequest): void {
  const { group } = active;
  const next = chooseOtherGroup(active);
  if (!group || !next) return;
  if (!next.slotQueue.queue.tryAcquire(active.progress.events > 0)) return;
  group.slotQueue.queue.release();
  active.group = next;
}

/** Refuses a request that crashes endpoints; undefined if there is no reason to refuse it. */
export function refuseIfCrashing(active: ActiveRequest): RequestOutcome | undefined {
  const { ctx, request, service } = active;
  const trait = ctx.crashes.refusedTrait(request, service.id);
  if (trait === undefined) return undefined;
  ctx.crashes.recordRefusal(trait);
  const detail = `endpoints crashed as they began to run requests with the same ${describeTrait(trait)}`;
  return refuseUnlessRun(active, { reason: 'crashes-endpoints', detail });
}

/**
 * Tries one endpoint after the other, as the route and the retry budget allow.
 * @example const outcome = await runAttempts(active);
 */
export async function runAttempts(active: ActiveRequest): Promise<RequestOutcome> {
  const { ctx, request, service } = active;
  service.budget.deposit();
  for (;;) {
    const refusal = refuseIfCrashing(active);
    if (refusal) return refusal;
    const target = await acquireEndpoint(active);
    if (request.gone.aborted) return { kind: 'gone' };
    if (!target) return failureOutcome(active);
    // Endpoints may have crashed while the request waited for a token.
    const lateRefusal = refuseIfCrashing(active);
    if (lateRefusal) return lateRefusal;
    if (!request.route.isPublic && !ctx.areKeysConfirmed()) {
      // The freshness check may have expired while the request was queued or attempted.
      return refuseUnlessRun(active, {
        reason: 'proof-old',
        detail: 'the freshness check of the configuration expired before the request was sent',
        retryAfterS: OTHER_ENTRY_RETRY_S,
      });
    }
    const outcome = await runAttempt(active, target);
    if (outcome) return outcome;
    if (request.gone.aborted) return { kind: 'gone' };
    if (!claimRetry(active)) return failureOutcome(active);
    active.hasRetryClaim = false;
    switchGroup(active);
    ctx.metrics.count('retries_total', {
      service: service.id,
      reason: active.lastFault?.kind ?? 'none',
    });
  }
}
