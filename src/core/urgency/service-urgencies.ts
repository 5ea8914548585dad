/** The urgencies that requests to one service can have, by its routes and the organisations. */
import type { OrganisationId } from '../ids/index.js';
import type { PublishedConfig, Route, ServiceId } from '../published/index.js';
import { MAX_PRIORITY, urgencyOf } from './urgency.js';

/** Urgencies of one service. */
export interface ServiceUrgencies {
  /** Whether requests of an organisation can have an urgency. */
  readonly mayHave: (organisation: string, urgency: number) => boolean;
}

/** Published priorities of the organisations, by id. */
function organisationPriorities(config: PublishedConfig): Map<OrganisationId, number | undefined> {
  const organisations = [...(config.organisationsByKey?.values() ?? [])];
  return new Map(organisations.map(({ id, priority }) => [id, priority]));
}

function routesTo(config: PublishedConfig, service: ServiceId): Route[] {
  const routes = [...config.routesByHost.values()].flat();
  return routes.filter((route) => route.shares.some((share) => share.service === service));
}

/**
 * The urgencies of a service; undefined if all of its requests are equally urgent.
 * @example urgenciesOf(config, service)?.mayHave('org-1', 12)
 */
export function urgenciesOf(
  config: PublishedConfig,
  service: ServiceId,
): ServiceUrgencies | undefined {
  const priorities = organisationPriorities(config);
  const distinct = new Set([...priorities.values(), ...(priorities.size === 0 ? [undefined] : [])]);
  const urgencies = new Set<number>();
  for (const route of routesTo(config, service))
    for (const priority of route.isPublic ? [undefined] : distinct)
      urgencies.add(urgencyOf(priority, route.priority));
  if (urgencies.size < 2) return undefined;
  const mayHave = (organisation: string, urgency: number): boolean => {
    const priority = priorities.get(organisation as OrganisationId);
    const routePriority = urgency % (MAX_PRIORITY + 1);
    return urgencyOf(priority, routePriority) === urgency;
  };
  return { mayHave };
}
