/** Counts how many of the requests that arrive have a suspected part in their prompt. */
import { MIN_SIGHTINGS } from './consts.js';
import { plainName, serviceOfPart, type TraitId } from './traits.js';

interface Sighting {
  readonly service: string;
  /** Requests for the service before the count began. */
  readonly since: number;
  /** Requests with the part. */
  seen: number;
}

/** Shares of suspected parts among the requests of one entry. */
export class Sightings {
  private readonly requests = new Map<string, number>();
  private readonly byPart = new Map<TraitId, Sighting>();

  /** Begins to count a trait, if it is a part of a prompt. */
  add(id: TraitId): void {
    const service = serviceOfPart(id);
    if (service === undefined || this.byPart.has(id)) return;
    this.byPart.set(id, { service, since: this.requests.get(service) ?? 0, seen: 0 });
  }

  remove(id: TraitId): void {
    this.byPart.delete(id);
  }

  /** Counts a request for a service that arrived. */
  count(service: string, traits: readonly TraitId[]): void {
    const name = plainName(service);
    this.requests.set(name, (this.requests.get(name) ?? 0) + 1);
    for (const id of traits) {
      const sighting = this.byPart.get(id);
      if (sighting) sighting.seen += 1;
    }
  }

  /** Share of the requests for its service that have a part; undefined while too few have arrived. */
  shareOf(id: TraitId): number | undefined {
    const sighting = this.byPart.get(id);
    if (!sighting) return undefined;
    const requests = (this.requests.get(sighting.service) ?? 0) - sighting.since;
    return requests < MIN_SIGHTINGS ? undefined : sighting.seen / requests;
  }

  /** Requests with a part since the count began. */
  seenOf(id: TraitId): number {
    return this.byPart.get(id)?.seen ?? 0;
  }
}
