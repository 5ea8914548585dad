/** Gossip of rate limits between entries, by way of the relays. */
import type { Clock } from '../clock/index.js';
import type { EndpointId } from '../ids/index.js';
import type { RateLimitDelta, LimitObservation } from '../../generated/messages.types.js';
import { KnownLimits, type LimitChange } from './known-limits.js';

/** Dependencies of the gossip. */
export interface RateLimitGossipDeps {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Whether an endpoint is on the list of endpoints. */
  readonly isListed: (id: EndpointId) => boolean;
  readonly onChange?: (change: LimitChange) => void;
}

/** The version before any other. */
export const NO_VERSION = 0;

/** One entry's view, and its messages. */
export class RateLimitGossip {
  readonly limits: KnownLimits;

  constructor(private readonly deps: RateLimitGossipDeps) {
    this.limits = new KnownLimits(deps.clock, deps.onChange);
  }

  /** Whether there are changes after a version. */
  hasChangesSince(version: number): boolean {
    return this.limits.version > version;
  }

  /** Changes after a version; undefined if no limit is known. */
  deltaSince(version: number): RateLimitDelta | undefined {
    if (this.limits.isEmpty) return undefined;
    return { heard: this.limits.version, limits: this.limits.changesSince(version) };
  }

  /** Merges the delta of a relay. */
  mergeFromRelay({ limits }: RateLimitDelta): void {
    this.limits.merge(limits);
  }

  /** Merges the update of another entry; true if anything changed. */
  mergeFromPeer({ limits }: { readonly limits: readonly LimitObservation[] }): boolean {
    return this.limits.merge(limits);
  }

  /** Endpoints whose limits are to be announced to the relays; each is returned once. */
  pendingUpdates(): EndpointId[] {
    this.limits.forget(this.deps.isListed);
    return this.limits.takePending();
  }
}
