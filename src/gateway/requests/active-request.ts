/** State of a request in flight: its attempts so far, and whether another one is allowed. */
import type { Opening } from '../../core/backpressure/index.js';
import type { EndpointId } from '../../core/ids/index.js';
import type { LogFields } from '../../core/logging/index.js';
import {
  BUSY_RETRY_S,
  FINAL_RESPONSE_MARGIN_MS,
  OUTAGE_RETRY_S,
  BACKOFF_RETRY_JITTER_S,
} from '../consts.js';
import type { GatewayContext } from '../context.js';
import type { EndpointState } from '../endpoints/endpoint-state.js';
import type { Refusal } from './refuse.js';
import type { StreamProgress } from './relay-stream.js';
import type { ResponseWriter } from './response-writer.js';
import type { GroupQueue } from '../groups/service-groups.js';
import type { ServiceState } from '../groups/service-state.js';
import type { AttemptFault, GatewayRequest } from '../types.js';

const MS_PER_S = 1000;

/** Faults after which the request is known not to have run. */
const NOT_RUN_FAULTS: ReadonlySet<AttemptFault['kind']> = new Set(['not-run', 'resting']);

/** Summary of one request, for its log line. */
export interface RequestSummary {
  service: string;
  /** Endpoints tried, in order, each with its status or fault. */
  tries: string[];
  queuedMs: number;
  /** Whether it is a retry by a caller that was refused before. */
  isReturning: boolean;
  firstMs: number | undefined;
  longestPauseMs: number | undefined;
  events: number;
}

/** Outcome of a request. A refusal has yet to be written to the caller. */
export type RequestOutcome =
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'gone' }
  /** The connection is closed inside a stream, so that the response cannot look complete. */
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** A request in flight. */
export interface ActiveRequest {
  readonly ctx: GatewayContext;
  readonly request: GatewayRequest;
  readonly service: ServiceState;
  readonly summary: RequestSummary;
  readonly tried: Set<EndpointId>;
  readonly progress: StreamProgress;
  /** Writes the response to the caller. */
  readonly writer: ResponseWriter;
  /** Attempts that ended before the request was sent; the route's maximum does not count them. */
  unsentAttempts: number;
  /** Whether any attempt may have run the request. */
  mayHaveRun: boolean;
  lastFault: AttemptFault | undefined;
  /** Whether a rate-limit token was denied for this request. */
  isRateLimited: boolean;
  /** First opening of the endpoints when none could be chosen. */
  opening: Opening | undefined;
  /** The group in which this request holds a slot. */
  group: GroupQueue | undefined;
  /** Whether the next attempt is paid for from the retry budget. */
  hasRetryClaim: boolean;
}

/** Number of endpoints that the request was sent to. */
export function sentAttempts({ tried, unsentAttempts }: ActiveRequest): number {
  return tried.size - unsentAttempts;
}

/** Time until the deadline, ms, less the time reserved for writing the final response. */
export function remainingMs(active: ActiveRequest): number {
  return active.request.remainingMs() - FINAL_RESPONSE_MARGIN_MS;
}

/** Random Retry-After within a range, s; spreads the retries of callers refused together. */
export function randomRetryAfterS(
  ctx: GatewayContext,
  range: typeof BUSY_RETRY_S | typeof OUTAGE_RETRY_S,
): number {
  return range.min + ctx.random() * (range.max - range.min);
}

/** Creates the outcome of a refused request. */
export function refuseWith(
  reason: Refusal['reason'],
  detail: string,
  retryAfterS?: number,
  close = false,
): RequestOutcome {
  return { kind: 'refused', refusal: { reason, detail, retryAfterS, close } };
}

/**
 * Refuses a request while the endpoints' own backpressure signals allow no attempt. During a
 * backoff, Retry-After is the end of the first backoff plus jitter. Under a rate limit other entries
 * may still have tokens, so the usual range is used.
 */
function refuseForBackpressure(active: ActiveRequest, opening: Opening): RequestOutcome {
  const { ctx } = active;
  const untilS = ctx.endpoints.remainingMs(opening) / MS_PER_S;
  if (opening.why === 'limit')
    return refuseWith(
      'limited',
      rateLimitDetail(active, untilS),
      randomRetryAfterS(ctx, BUSY_RETRY_S),
    );
  const detail = `all endpoints requested a backoff or a rate limit; the first is available in ${untilS.toFixed(2)} s`;
  return refuseWith('resting', detail, untilS + ctx.random() * BACKOFF_RETRY_JITTER_S);
}

function refuseEvacuated({ ctx, service }: ActiveRequest): RequestOutcome {
  const names = [...ctx.state.evacuated].sort().join(', ');
  const detail = `all endpoints of service "${service.id}" are in evacuated data centres (${names})`;
  return refuseWith('evacuated', detail, randomRetryAfterS(ctx, OUTAGE_RETRY_S));
}

function rateLimitDetail({ ctx, service }: ActiveRequest, untilS: number): string {
  const count = [...ctx.state.availableEndpoints(service.id)].length;
  const reached = `rate limit reached on all ${count} endpoints of service "${service.id}"`;
  if (untilS === Number.POSITIVE_INFINITY) return `${reached}; other entries have the tokens`;
  return `${reached}; next token in ${untilS.toFixed(2)} s`;
}

/** The outcome of a request for which no further attempt is allowed. */
export function failureOutcome(active: ActiveRequest): RequestOutcome {
  const detail = active.lastFault?.detail ?? 'no endpoint is available';
  if (active.progress.events > 0) return { kind: 'cut', detail };
  if (active.mayHaveRun) {
    const reason = active.lastFault?.kind === 'silent' ? 'time-over' : 'answer-lost';
    return { kind: 'refused', refusal: { reason, detail } };
  }
  // A retry that is not expected would be mistaken for a new caller with a short deadline.
  active.service.groups?.returningCallers.recordRefusal(active.ctx.ageClock.nowMs());
  const opening = active.opening ?? active.ctx.endpoints.firstOpening(active.service.id);
  if (!opening && active.ctx.state.isEvacuated(active.service.id)) return refuseEvacuated(active);
  if (opening?.why) return refuseForBackpressure(active, opening);
  if (opening && active.isRateLimited)
    return refuseForBackpressure(active, { ...opening, why: 'limit' });
  const reason = active.tried.size === 0 ? 'no-endpoint' : 'not-run';
  // A group that accepted no request will hardly accept one a moment later.
  const retryAfterS = randomRetryAfterS(
    active.ctx,
    active.service.groups ? OUTAGE_RETRY_S : BUSY_RETRY_S,
  );
  return { kind: 'refused', refusal: { reason, detail, retryAfterS } };
}

/**
 * Refuses a request in flight, which claims that it has not run; after an attempt that may have run it, the
 * outcome of that attempt is reported instead.
 */
export function refuseUnlessRun(active: ActiveRequest, refusal: Refusal): RequestOutcome {
  return active.mayHaveRun ? failureOutcome(active) : { kind: 'refused', refusal };
}

/** Log fields of the response on which a fault rests. */
function evidenceFields({ evidence }: AttemptFault): LogFields {
  if (!evidence) return {};
  return {
    status: evidence.status,
    answers: evidence.responseId ?? 'none',
    connectionMs: evidence.connectionMs,
    connectionRequests: evidence.connectionRequests,
  };
}

/** Records an attempt that produced no response. */
export function recordFault(
  active: ActiveRequest,
  target: EndpointState,
  fault: AttemptFault,
): void {
  active.lastFault = fault;
  if (!NOT_RUN_FAULTS.has(fault.kind)) active.mayHaveRun = true;
  if ('isUnsent' in fault && fault.isUnsent) active.unsentAttempts += 1;
  active.summary.tries.push(`${target.endpoint.id}:${fault.kind}`);
  if (fault.kind === 'broke' && fault.overLimit)
    active.ctx.endpoints.noteMisbehaviour(target, fault.overLimit, fault.detail);
  // An attempt that the caller or this entry aborted is no evidence against the endpoint.
  if (active.request.gone.aborted || fault.kind === 'slow') return;
  // An endpoint that requests a backoff is alive, and names the time of the next attempt itself.
  if (fault.kind === 'not-run') active.ctx.endpoints.noteRejected(target);
  if (fault.kind !== 'resting') {
    active.group?.slotQueue.outage.noteFailure(active.ctx.ageClock.nowMs());
    active.ctx.endpoints.noteFailure(target, fault.detail);
    if (fault.kind === 'not-run' && fault.isUnreachable)
      active.ctx.endpoints.noteUnreachable(target);
  }
  active.ctx.metrics.count('attempt_faults_total', {
    service: active.service.id,
    kind: fault.kind,
  });
  if (fault.kind === 'broke' && fault.rejected)
    active.ctx.metrics.count('responses_rejected_total', {
      service: active.service.id,
      reason: fault.rejected,
    });
  active.ctx.log.evidence('attempt.fault', {
    request: active.request.id,
    endpoint: target.endpoint.id,
    kind: fault.kind,
    detail: fault.detail,
    running: target.running,
    sent: !('isUnsent' in fault && fault.isUnsent),
    ...evidenceFields(fault),
  });
}
