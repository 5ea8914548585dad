/** What entries tell one another of the limits that endpoints name, by way of the relays. */
import type { Clock } from '../clock/index.js';
import type { EndpointId } from '../ids/index.js';
import type { AsksTold, ToldLimit } from '../../generated/messages.types.js';
import { KnownLimits, type LimitChange } from './known-limits.js';

/** What the exchange needs. */
export interface AskExchangeParts {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Whether an endpoint is on the list. */
  readonly isListed: (id: EndpointId) => boolean;
  readonly onChange?: (change: LimitChange) => void;
}

/** Version of a relay of which nothing was heard. */
export const NOTHING_HEARD = 0;

/** One entry's part in it. */
export class AskExchange {
  readonly limits: KnownLimits;

  constructor(private readonly parts: AskExchangeParts) {
    this.limits = new KnownLimits(parts.clock, parts.onChange);
  }

  /** Whether a relay knows of limits what an asker has not heard. */
  hasNews(heard: number): boolean {
    return this.limits.version > heard;
  }

  /** What a relay tells an asker; undefined where there is nothing to tell. */
  newsFor(heard: number): AsksTold | undefined {
    if (this.limits.isEmpty) return undefined;
    return { heard: this.limits.version, limits: this.limits.newsSince(heard) };
  }

  /** Takes what a relay told. */
  takeTold({ limits }: AsksTold): void {
    this.limits.take(limits);
  }

  /** Takes what another entry told; whether any of it is news for those who ask here. */
  takeNews({ limits }: { readonly limits: readonly ToldLimit[] }): boolean {
    return this.limits.take(limits);
  }

  /** Endpoints of whose limits this entry has learnt something since the last call. */
  takeChanged(): EndpointId[] {
    this.limits.forget(this.parts.isListed);
    return this.limits.takeUntold();
  }
}
