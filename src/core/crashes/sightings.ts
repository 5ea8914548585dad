/** Counts how many of the requests that arrive have a suspected trait. */
import { MIN_SIGHTINGS } from './consts.js';
import type { TraitId } from './traits.js';

interface Sighting {
  /** Requests with the trait. */
  seen: number;
  /** Service of these requests; empty before the first. */
  service: string;
  /** Requests for the service before the first with the trait. */
  since: number;
}

/** Shares of traits among the requests of one entry. */
export class Sightings {
  private readonly requests = new Map<string, number>();
  private readonly byTrait = new Map<TraitId, Sighting>();

  /** Begins to count a trait. */
  add(id: TraitId): void {
    if (!this.byTrait.has(id)) this.byTrait.set(id, { seen: 0, service: '', since: 0 });
  }

  remove(id: TraitId): void {
    this.byTrait.delete(id);
  }

  /** Counts a request for a service that arrived. */
  count(service: string, traits: readonly TraitId[]): void {
    const before = this.requests.get(service) ?? 0;
    this.requests.set(service, before + 1);
    for (const id of traits) {
      const sighting = this.byTrait.get(id);
      if (!sighting) continue;
      if (sighting.seen === 0) Object.assign(sighting, { service, since: before });
      sighting.seen += 1;
    }
  }

  /** Share of the requests that have a trait; undefined while too few have arrived. */
  shareOf(id: TraitId): number | undefined {
    const sighting = this.byTrait.get(id);
    if (!sighting) return undefined;
    const requests = (this.requests.get(sighting.service) ?? 0) - sighting.since;
    return requests < MIN_SIGHTINGS ? undefined : sighting.seen / requests;
  }

  /** Requests with a trait. */
  seenOf(id: TraitId): number {
    return this.byTrait.get(id)?.seen ?? 0;
  }
}
