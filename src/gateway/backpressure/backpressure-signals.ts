/** Records backpressure signals of endpoints, from their responses and from other entries. */
import type { BackpressureSignals, SignalName } from '../../core/backpressure/index.js';
import { asId } from '../../core/ids/index.js';
import type { LogFields } from '../../core/logging/index.js';
import type { BackpressureUpdate } from '../../generated/messages.types.js';
import type { GatewayContext } from '../context.js';
import type { EndpointState } from '../endpoints/endpoint-state.js';
import type { ResponseHead } from '../types.js';
import type { ActiveRequest } from '../requests/active-request.js';

/** Status of a server that is not the endpoint that the request was addressed to. */
const STATUS_MISDIRECTED_REQUEST = 421;

/** Counts and logs headers that could not be parsed. */
function recordUnreadable(
  active: ActiveRequest,
  target: EndpointState,
  { unreadable }: BackpressureSignals,
): void {
  const { ctx, service } = active;
  for (const what of unreadable) {
    ctx.metrics.count('endpoint_asks_unreadable_total', { service: service.id, what });
    logSignal(active, target, 'endpoint.ask-unreadable', { what });
  }
}

function logSignal(
  { ctx, request }: ActiveRequest,
  { endpoint }: EndpointState,
  event: string,
  fields: LogFields,
): void {
  ctx.log.info(event, { request: request.id, endpoint: endpoint.id, ...fields });
}

function countSignal({ ctx, service }: ActiveRequest, what: SignalName): void {
  ctx.metrics.count('endpoint_asks_total', { service: service.id, what });
}

function recordBackoff(active: ActiveRequest, target: EndpointState, backoffMs: number): void {
  countSignal(active, 'rest');
  active.ctx.endpoints.noteBackoff(target, backoffMs);
  logSignal(active, target, 'endpoint.resting', { restMs: backoffMs });
}

/** An endpoint may announce that it is draining seconds before the published list does. */
function recordLeaving(active: ActiveRequest, target: EndpointState): void {
  const { ctx } = active;
  const { id, startedAtMs } = target.endpoint;
  countSignal(active, 'leaving');
  if (!ctx.state.noteLeaving(target.endpoint)) return;
  ctx.endpoints.cancelUnavailable();
  logSignal(active, target, 'endpoint.leaving', { source: 'answer' });
  ctx.broadcastLeaving({ endpoint: id, startedAtMs });
}

function recordLimit(active: ActiveRequest, target: EndpointState, limitPerS: number): void {
  countSignal(active, 'limit');
  if (active.ctx.limits.noteNamed(target.endpoint, limitPerS))
    logSignal(active, target, 'endpoint.limited', { limitPerS });
}

/** Ends a rate limit, unless the request was sent before the limit was set. */
function recordLimitEnd(active: ActiveRequest, target: EndpointState, sentAtMs: number): void {
  const { limits } = active.ctx;
  if (limits.isEmpty || !limits.noteUnnamed(target.endpoint, sentAtMs)) return;
  logSignal(active, target, 'endpoint.unlimited', {});
}

/**
 * Records the backpressure signals in the headers of a response.
 * @example recordSignals(active, target, head, sentAtMs);
 */
export function recordSignals(
  active: ActiveRequest,
  target: EndpointState,
  head: ResponseHead,
  sentAtMs: number,
): void {
  // 421: the address now belongs to another endpoint, whose headers must be ignored.
  if (head.status === STATUS_MISDIRECTED_REQUEST) return;
  active.ctx.endpoints.noteReached(target);
  const { backoffMs, isLeaving, limitPerS } = head.asks;
  recordUnreadable(active, target, head.asks);
  if (backoffMs !== undefined) recordBackoff(active, target, backoffMs);
  if (isLeaving) recordLeaving(active, target);
  if (limitPerS !== undefined) recordLimit(active, target, limitPerS);
  else recordLimitEnd(active, target, sentAtMs);
}

/**
 * Applies another entry's report of leaving endpoints; returns whether any of them was unknown.
 * @example if (applyLeaving(ctx, update)) forward(update);
 */
export function applyLeaving(
  { state, log, endpoints }: Pick<GatewayContext, 'state' | 'log' | 'endpoints'>,
  { from, leaving }: Pick<BackpressureUpdate, 'from' | 'leaving'>,
): boolean {
  const newFlags = leaving.map(({ endpoint, startedAtMs }) => {
    const isNew = state.noteLeaving({ id: asId(endpoint), startedAtMs });
    if (isNew) log.info('endpoint.leaving', { endpoint, source: from });
    return isNew;
  });
  if (!newFlags.includes(true)) return false;
  endpoints.cancelUnavailable();
  return true;
}
