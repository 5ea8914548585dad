/** Chooses the endpoint of a request's next attempt. */
import type { EndpointId } from '../../core/ids/index.js';
import type { PublishedEndpoint } from '../../core/published/index.js';
import { MAX_TOKEN_WAIT_MS } from '../consts.js';
import type { EndpointState } from './endpoint-state.js';
import type { GroupQueue } from '../groups/service-groups.js';
import type { ActiveRequest } from '../requests/active-request.js';

const NO_ENDPOINTS: ReadonlySet<EndpointId> = new Set();

/**
 * The best endpoint for the next attempt, within the group in which the request holds a slot;
 * undefined if none is available. Endpoints in `denied` are skipped.
 */
export function chooseEndpoint(
  active: ActiveRequest,
  denied = NO_ENDPOINTS,
  nowMs = active.ctx.ageClock.nowMs(),
): EndpointState | undefined {
  const { ctx, group, service, tried } = active;
  const isInGroup = (endpoint: PublishedEndpoint): boolean =>
    !group || (service.groups?.contains(endpoint, group.id) ?? true);
  return ctx.endpoints.choose(
    service.id,
    tried,
    (endpoint) => !denied.has(endpoint.id) && isInGroup(endpoint),
    nowMs,
  );
}

/**
 * The best endpoint for the next attempt, with a token of its rate limit; undefined if no token is
 * available soon or the caller disconnects meanwhile.
 */
export async function acquireEndpoint(active: ActiveRequest): Promise<EndpointState | undefined> {
  const { ctx, request } = active;
  const denied = new Set<EndpointId>();
  const untilMs = ctx.ageClock.nowMs() + MAX_TOKEN_WAIT_MS;
  do {
    const nowMs = ctx.ageClock.nowMs();
    const target = chooseEndpoint(active, denied, nowMs);
    if (!target) {
      // As of the choice: an endpoint may open before the refusal looks for its reason.
      active.opening = ctx.endpoints.firstOpening(active.service.id, nowMs);
      return undefined;
    }
    const hasToken = await target.gate.acquire();
    if (request.gone.aborted) return undefined;
    // A backoff, the probe by another request or an evacuation may have begun meanwhile.
    const isAvailable = ctx.state.isAvailable(target.endpoint.id);
    if (hasToken && isAvailable && target.gate.mayProbe(ctx.ageClock.nowMs())) return target;
    denied.add(target.endpoint.id);
    if (!hasToken) recordTokenDenied(active, target);
  } while (ctx.ageClock.nowMs() < untilMs);
  return undefined;
}

function recordTokenDenied(active: ActiveRequest, { endpoint, gate }: EndpointState): void {
  const { ctx, request, service } = active;
  active.isRateLimited = true;
  const untilMs = Math.round(gate.opening(ctx.ageClock.nowMs()).atMs - ctx.ageClock.nowMs());
  ctx.metrics.count('rate_limit_denied_total', { service: service.id });
  ctx.log.info('rate-limit.denied', { request: request.id, endpoint: endpoint.id, untilMs });
}

/** A group other than the request's own; undefined if none is available. */
export function chooseOtherGroup({
  ctx,
  group,
  service,
  tried,
}: ActiveRequest): GroupQueue | undefined {
  const next = group && service.groups?.choose(tried, group.id);
  return next?.slotQueue.outage.isDown(ctx.ageClock.nowMs()) ? undefined : next;
}

/**
 * Whether a suitable other endpoint or another group is available: without one, ending an attempt gains nothing.
 * @example hasAlternative(active, (other) => !endpoints.isSlow(other))
 */
export function hasAlternative(
  active: ActiveRequest,
  isSuitable: (other: EndpointState) => boolean,
): boolean {
  const other = chooseEndpoint(active);
  return (other !== undefined && isSuitable(other)) || chooseOtherGroup(active) !== undefined;
}
