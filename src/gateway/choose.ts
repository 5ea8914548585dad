/** Where a request's next attempt may go. */
import type { EndpointState } from './endpoints.js';
import type { GroupTurns } from './service-groups.js';
import type { Work } from './work.js';

/** The best endpoint for the next attempt, in the group where the request has its place; undefined where none may be asked. */
export function chooseEndpoint(work: Work): EndpointState | undefined {
  const { ctx, place, service, tried } = work;
  if (!place) return ctx.endpoints.choose(service.id, tried);
  return ctx.endpoints.choose(
    service.id,
    tried,
    (endpoint) => service.groups?.isIn(endpoint, place.id) ?? true,
  );
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
