/** What entries tell one another of the limits that endpoints name, by way of the relays. */
import type { Clock } from '../clock/index.js';
import { asId, type InstanceId } from '../ids/index.js';
import type { AskNews, AsksHeard, AsksTold, ToldLimit } from '../../generated/messages.types.js';
import { SHARER_MS } from './consts.js';
import { KnownLimits } from './known-limits.js';
import { KnownSharers } from './known-sharers.js';

/** What the exchange needs. */
export interface AskExchangeParts {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly random: () => number;
  readonly own: InstanceId;
  /** Entries that are known by other ways, at least; 0 for none. */
  readonly countKnown: () => number;
}

/** How often an entry that knows of a limit says that it shares it, ms: one that is not heard for four times as long does not. */
const SHARES_MS = SHARER_MS / 4;

/** Nothing of a relay. */
export const NOTHING_HEARD: AsksHeard = { limits: 0, sharers: 0 };

/** One entry's part in it. */
export class AskExchange {
  readonly limits: KnownLimits;
  readonly sharers: KnownSharers;
  private toldAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: AskExchangeParts) {
    this.limits = new KnownLimits(parts.clock, parts.random);
    this.sharers = new KnownSharers(parts);
  }

  /** Whether a relay knows of limits what an asker has not heard. */
  hasNews(heard: AsksHeard): boolean {
    return this.limits.version > heard.limits;
  }

  /** What a relay tells an asker; undefined where there is nothing to tell. */
  newsFor(heard: AsksHeard): AsksTold | undefined {
    if (this.limits.isEmpty) return undefined;
    const now = { limits: this.limits.version, sharers: this.sharers.version };
    return {
      heard: now,
      limits: this.limits.newsSince(heard.limits),
      ...(now.sharers !== heard.sharers && { sharers: [...this.sharers.names()] }),
    };
  }

  /** Takes what a relay told. */
  takeTold({ limits, sharers = [] }: AsksTold): void {
    this.limits.take(limits);
    for (const entry of sharers) this.sharers.note(asId<InstanceId>(entry));
  }

  /** Takes what another entry told; whether any of it is news for those who ask here. */
  takeNews({ from, limits }: AskNews): boolean {
    this.sharers.note(asId<InstanceId>(from));
    return this.limits.take(limits);
  }

  /**
   * What is to be told to the relays now; undefined where there is nothing. To be asked for each some hundred ms.
   * @example const limits = exchange.toTell(); if (limits) tell({ from, leaving: [], limits });
   */
  toTell(): ToldLimit[] | undefined {
    this.limits.forget();
    if (this.limits.isEmpty) return undefined;
    const nowMs = this.parts.clock.nowMs();
    this.sharers.note(this.parts.own);
    const untold = this.limits.takeUntold();
    if (untold.length === 0 && nowMs - this.toldAtMs < SHARES_MS) return undefined;
    this.toldAtMs = nowMs;
    return untold;
  }
}
