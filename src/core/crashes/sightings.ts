/** Counts how many of the requests that arrive have a suspected trait. */
import { MIN_SIGHTINGS } from './consts.js';
import { plainName, serviceOf, type TraitId } from './traits.js';

interface Sighting {
  /** Undefined for a whole request, whose share is not asked for. */
  readonly service: string | undefined;
  /** Requests for the service before the count began. */
  readonly since: number;
  /** Requests with the trait. */
  seen: number;
}

/** Shares of suspected traits among the requests of one entry. */
export class Sightings {
  private readonly requests = new Map<string, number>();
  private readonly byTrait = new Map<TraitId, Sighting>();

  /** Begins to count a trait. */
  add(id: TraitId): void {
    if (this.byTrait.has(id)) return;
    const service = serviceOf(id);
    this.byTrait.set(id, { service, since: this.requestsOf(service), seen: 0 });
  }

  private requestsOf(service: string | undefined): number {
    return service === undefined ? 0 : (this.requests.get(service) ?? 0);
  }

  remove(id: TraitId): void {
    this.byTrait.delete(id);
  }

  /** Counts a request for a service that arrived. */
  count(service: string, traits: readonly TraitId[]): void {
    const name = plainName(service);
    this.requests.set(name, this.requestsOf(name) + 1);
    for (const id of traits) {
      const sighting = this.byTrait.get(id);
      if (sighting) sighting.seen += 1;
    }
  }

  /** Share of the requests for its service that may have a trait; undefined while too few have arrived. */
  shareOf(id: TraitId): number | undefined {
    const sighting = this.byTrait.get(id);
    if (!sighting) return undefined;
    const requests = this.requestsOf(sighting.service) - sighting.since;
    // Adds one: a common trait may be missing among few requests by chance.
    return requests < MIN_SIGHTINGS ? undefined : (sighting.seen + 1) / requests;
  }

  /** Requests with a trait since the count began. */
  seenOf(id: TraitId): number {
    return this.byTrait.get(id)?.seen ?? 0;
  }
}
