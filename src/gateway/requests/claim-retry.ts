/**
 * Decides whether a request gets another attempt, and pays for it from the retry budget. An attempt that may
 * still end well is ended only after the next one is paid for, so that the answer is the same before and after.
 */
import { MIN_ATTEMPT_TIME_MS } from '../consts.js';
import { hasAlternative } from '../endpoints/choose-endpoint.js';
import type { EndpointState } from '../endpoints/endpoint-state.js';
import { remainingMs, sentAttempts, type ActiveRequest } from './active-request.js';

/** Whether the route allows a request to run more than once. */
function mayRunAgain({ request: { route } }: ActiveRequest): boolean {
  return route.kind === 'repeatable' || (route.kind === 'stream' && route.resumable);
}

/** Whether the route and the remaining time allow another attempt. */
function mayRetry(active: ActiveRequest, mayHaveRun: boolean): boolean {
  const { maxAttempts } = active.request.route;
  if (sentAttempts(active) >= maxAttempts || remainingMs(active) < MIN_ATTEMPT_TIME_MS)
    return false;
  return !mayHaveRun || mayRunAgain(active);
}

/** Whether a request would still be admitted if it came now. */
function isStillAdmitted({ ctx, request, service }: ActiveRequest): boolean {
  if (ctx.crashes.refusedTrait(request, service.id) !== undefined) return false;
  return request.route.isPublic || ctx.areKeysConfirmed();
}

function payForRetry(active: ActiveRequest): boolean {
  active.hasRetryClaim = active.service.budget.withdraw();
  return active.hasRetryClaim;
}

/**
 * Claims another attempt after one that failed; false if the route, the time or the retry budget allows none.
 * @example if (!claimRetry(active)) return failureOutcome(active);
 */
export function claimRetry(active: ActiveRequest): boolean {
  if (active.hasRetryClaim) return true;
  if (!mayRetry(active, active.mayHaveRun)) return false;
  if (payForRetry(active)) return true;
  active.ctx.metrics.count('retries_denied_total', { service: active.service.id });
  return false;
}

/** What `claimContinuation` takes for granted unless it is told otherwise. */
interface ContinuationOptions {
  /** Whether the attempt in progress may have run the request; true by default. */
  readonly mayHaveRun?: boolean;
  /** Which other endpoints are worth the change; all by default. */
  readonly isSuitable?: (other: EndpointState) => boolean;
}

/**
 * Claims another attempt instead of the one in progress; false if the request could not go on elsewhere.
 * @example if (claimContinuation(active)) response.close();
 */
export function claimContinuation(
  active: ActiveRequest,
  { mayHaveRun = true, isSuitable = () => true }: ContinuationOptions = {},
): boolean {
  if (active.hasRetryClaim) return true;
  if (!mayRetry(active, active.mayHaveRun || mayHaveRun) || !isStillAdmitted(active)) return false;
  return hasAlternative(active, isSuitable) && payForRetry(active);
}
