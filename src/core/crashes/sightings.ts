/** Counts how many of the requests that arrive have a suspected trait. */
import { MIN_SIGHTINGS } from './consts.js';
import { plainName, serviceOf, type TraitId } from './traits.js';

interface Sighting {
  readonly service: string;
  /** Requests for the service before the count began. */
  readonly since: number;
  /** Requests with the trait. */
  seen: number;
}

/** Shares of suspected traits among the requests of one entry. */
export class Sightings {
  private readonly requests = new Map<string, number>();
  private readonly byTrait = new Map<TraitId, Sighting>();

  /** Begins to count a trait; whole requests are rare in any case. */
  add(id: TraitId): void {
    const service = serviceOf(id);
    if (service === undefined || this.byTrait.has(id)) return;
    this.byTrait.set(id, { service, since: this.requests.get(service) ?? 0, seen: 0 });
  }

  remove(id: TraitId): void {
    this.byTrait.delete(id);
  }

  /** Counts a request for a service that arrived. */
  count(service: string, traits: readonly TraitId[]): void {
    const name = plainName(service);
    this.requests.set(name, (this.requests.get(name) ?? 0) + 1);
    for (const id of traits) {
      const sighting = this.byTrait.get(id);
      if (sighting) sighting.seen += 1;
    }
  }

  /** Share of the requests for its service that may have a trait; undefined while too few have arrived. */
  shareOf(id: TraitId): number | undefined {
    const sighting = this.byTrait.get(id);
    if (!sighting) return undefined;
    const requests = (this.requests.get(sighting.service) ?? 0) - sighting.since;
    // One more than was seen: of few requests, a common trait may be in none by chance.
    return requests < MIN_SIGHTINGS ? undefined : (sighting.seen + 1) / requests;
  }

  /** Requests with a trait since the count began. */
  seenOf(id: TraitId): number {
    return this.byTrait.get(id)?.seen ?? 0;
  }
}
