/** The entries that share limits, as one of them knows them. */
import type { Clock } from '../clock/index.js';
import type { InstanceId } from '../ids/index.js';
import { SHARER_MS, SHARERS_SETTLE_MS, STRANGERS } from './consts.js';
import type { Sharers } from './limit-share.js';

/** What knowing them needs. */
export interface KnownSharersParts {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly own: InstanceId;
  /** Entries that are known by other ways, at least. */
  readonly countKnown: () => number;
}

/** Entries that share limits. Times are those of the entry's clock, ms. */
export class KnownSharers {
  private readonly heardAtMs = new Map<InstanceId, number>();
  private settlesAtMs = Number.POSITIVE_INFINITY;
  private changes = 0;
  private sorted: InstanceId[] | undefined;

  constructor(private readonly parts: KnownSharersParts) {}

  /** Rises whenever one is new or no longer counts. */
  get version(): number {
    this.forget();
    return this.changes;
  }

  /** Notes that an entry was heard of, and shares limits. */
  note(entry: InstanceId): void {
    const nowMs = this.parts.clock.nowMs();
    if (this.heardAtMs.size === 0) this.settlesAtMs = nowMs + SHARERS_SETTLE_MS;
    if (!this.heardAtMs.has(entry)) this.change();
    this.heardAtMs.set(entry, nowMs);
  }

  /** All that count, in an order that is the same everywhere. */
  names(): readonly InstanceId[] {
    this.forget();
    this.sorted ??= [...this.heardAtMs.keys()].sort();
    return this.sorted;
  }

  /**
   * This entry's place among them. While they may not all have been heard of, there may be as many as the larger deployments
   * have: each would take all of a limit for its own.
   */
  get sharers(): Sharers {
    const names = this.names();
    const place = names.indexOf(this.parts.own);
    const isSettled = this.parts.clock.nowMs() >= this.settlesAtMs && names.length > 1;
    if (isSettled && place >= 0) return { place, count: names.length };
    const known = this.parts.countKnown();
    return { place: undefined, count: Math.max(names.length, known > 0 ? known : STRANGERS) };
  }

  private forget(): void {
    const oldMs = this.parts.clock.nowMs() - SHARER_MS;
    for (const [entry, atMs] of this.heardAtMs)
      if (atMs < oldMs) {
        this.heardAtMs.delete(entry);
        this.change();
      }
  }

  private change(): void {
    this.changes += 1;
    this.sorted = undefined;
  }
}
