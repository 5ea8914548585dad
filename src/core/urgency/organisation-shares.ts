/** Shares one class of requests among organisations: max-min fair, with a least service for each. */
import { MIN_ORGANISATION_SERVICE } from './consts.js';

/** Fraction of requests admitted, by organisation. */
export interface OrganisationShares {
  readonly byOrganisation: ReadonlyMap<string, number>;
  /** For all organisations not listed. */
  readonly others: number;
}

/** Steps of the bisection; each halves the error. */
const BISECTION_STEPS = 24;

/**
 * Shares a class of which a fraction is admitted. An organisation below its fair share is admitted in full, and none
 * falls under half of the mean. Organisations not listed are each at most as large as the smallest one that is.
 * @example shareByOrganisation(0.5, new Map([['large', 90], ['small', 10]]), 0).byOrganisation.get('small') // 1
 */
export function shareByOrganisation(
  fraction: number,
  demands: ReadonlyMap<string, number>,
  others: number,
): OrganisationShares {
  const even = { byOrganisation: new Map<string, number>(), others: fraction };
  if (fraction <= 0 || fraction >= 1 || demands.size === 0) return even;
  const sizes = [...demands.values()].filter((size) => size > 0);
  if (sizes.length === 0) return even;
  const smallest = Math.min(...sizes);
  const total = sizes.reduce((sum, size) => sum + size, others);
  const least = MIN_ORGANISATION_SERVICE * fraction;
  const served = (size: number, fairShare: number): number =>
    Math.max(least, Math.min(1, fairShare / size));
  const admitted = (fairShare: number): number =>
    sizes.reduce(
      (sum, size) => sum + size * served(size, fairShare),
      others * served(smallest, fairShare),
    );
  let low = 0;
  let high = Math.max(...sizes);
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (admitted(middle) > fraction * total) high = middle;
    else low = middle;
  }
  const byOrganisation = new Map(
    [...demands].map(([id, size]) => [id, size > 0 ? served(size, low) : 1] as const),
  );
  return { byOrganisation, others: served(smallest, low) };
}
