/** Where a request's next attempt may go. */
import type { EndpointId } from '../core/ids/index.js';
import type { PublishedEndpoint } from '../core/published/index.js';
import { MAX_TOKEN_WAIT_MS } from './consts.js';
import type { EndpointState } from './endpoints.js';
import type { GroupTurns } from './service-groups.js';
import type { Work } from './work.js';

const NONE: ReadonlySet<EndpointId> = new Set();

/**
 * The best endpoint for the next attempt, in the group where the request has its place; undefined where none may be asked.
 * Those in `denied` are left out.
 */
export function chooseEndpoint(work: Work, denied = NONE): EndpointState | undefined {
  const { ctx, place, service, tried } = work;
  const isInPlace = (endpoint: PublishedEndpoint): boolean =>
    !place || (service.groups?.isIn(endpoint, place.id) ?? true);
  return ctx.endpoints.choose(
    service.id,
    tried,
    (endpoint) => !denied.has(endpoint.id) && isInPlace(endpoint),
  );
}

/**
 * The best endpoint for the next attempt, with a token of its rate limit; undefined where none can be had soon, or the caller
 * left meanwhile.
 */
export async function acquireEndpoint(work: Work): Promise<EndpointState | undefined> {
  const { ctx, request } = work;
  const denied = new Set<EndpointId>();
  const untilMs = ctx.ageClock.nowMs() + MAX_TOKEN_WAIT_MS;
  do {
    const target = chooseEndpoint(work, denied);
    if (!target) return undefined;
    const hasToken = await target.gate.acquire();
    if (request.gone.aborted) return undefined;
    // A backoff or the probe of another request may have begun meanwhile.
    if (hasToken && target.gate.mayProbe(ctx.ageClock.nowMs())) return target;
    denied.add(target.endpoint.id);
    if (!hasToken) noteDenied(work, target);
  } while (ctx.ageClock.nowMs() < untilMs);
  return undefined;
}

function noteDenied(work: Work, { endpoint, gate }: EndpointState): void {
  const { ctx, request, service } = work;
  work.isRateLimited = true;
  const untilMs = Math.round(gate.opening(ctx.ageClock.nowMs()).atMs - ctx.ageClock.nowMs());
  ctx.metrics.count('rate_limit_denied_total', { service: service.id });
  ctx.log.info('rate-limit.denied', { request: request.id, endpoint: endpoint.id, untilMs });
}

/** Another group than the request's own; undefined where none serves. */
export function chooseOtherGroup({ ctx, place, service, tried }: Work): GroupTurns | undefined {
  const next = place && service.groups?.choose(tried, place.id);
  return next?.turns.outage.isOut(ctx.ageClock.nowMs()) ? undefined : next;
}

/**
 * Whether another attempt has somewhere to go: a stream that is slow and has nowhere would be cut for nothing.
 * @example if (isSlow && hasElsewhere(work)) move();
 */
export function hasElsewhere(work: Work): boolean {
  return chooseEndpoint(work) !== undefined || chooseOtherGroup(work) !== undefined;
}
