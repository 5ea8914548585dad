/** Urgency of a request: first by the priority of its organisation, then by that of its route. */

/** Lowest priority told apart; larger values count as this one. */
export const MAX_PRIORITY = 9;

function priorityLevel(priority: number): number {
  return Math.min(MAX_PRIORITY, Math.max(0, Math.round(priority)));
}

/**
 * The urgency of a request, 0 to 99; lower is more urgent. Without an organisation, or with one that publishes no
 * priority, the route's takes its place.
 * @example urgencyOf(undefined, 2) // 22
 * @example urgencyOf(1, 2) // 12
 */
export function urgencyOf(organisationPriority: number | undefined, routePriority: number): number {
  const route = priorityLevel(routePriority);
  const organisation =
    organisationPriority === undefined ? route : priorityLevel(organisationPriority);
  return organisation * (MAX_PRIORITY + 1) + route;
}
