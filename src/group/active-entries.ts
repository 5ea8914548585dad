/**
 * Tracks the entries that recently requested the group digest from an agent; their number tells
 * each entry its share of the group.
 */
import type { Demand, EntryDemand } from '../generated/messages.types.js';

/**
 * Time an entry counts as active after a request, ms: each entry sends one to some agent every 150
 * ms.
 */
const ACTIVE_WINDOW_MS = 1500;

/** Entries by the time of their last request, monotonic ms. */
export class ActiveEntries {
  private readonly lastRequestAtMs = new Map<string, number>();
  /** Latest demand of each entry that no coordinator has polled yet. */
  private readonly demands = new Map<string, { readonly demand: Demand; readonly atMs: number }>();

  /** Records a request from an entry, with its demand if it reports one. */
  record(entry: string, nowMs: number, demand?: Demand): void {
    this.lastRequestAtMs.set(entry, nowMs);
    if (demand) this.demands.set(entry, { demand, atMs: nowMs });
  }

  /**
   * Returns the demands reported since the last call: each goes to the coordinator once, to spare its link.
   * @example const reply = { ...other, demands: activeEntries.takeDemands(clock.nowMs()) };
   */
  takeDemands(nowMs: number): EntryDemand[] {
    const taken = [...this.demands].filter(([, { atMs }]) => nowMs - atMs <= ACTIVE_WINDOW_MS);
    this.demands.clear();
    return taken.map(([from, { demand, atMs }]) => ({
      from,
      agoMs: Math.max(0, Math.round(nowMs - atMs)),
      demand,
    }));
  }

  /**
   * Returns the active entries and removes the expired ones.
   * @example activeEntries.recent(clock.nowMs()).length
   */
  recent(nowMs: number): string[] {
    for (const [entry, atMs] of this.lastRequestAtMs)
      if (nowMs - atMs > ACTIVE_WINDOW_MS) this.lastRequestAtMs.delete(entry);
    return [...this.lastRequestAtMs.keys()];
  }
}
