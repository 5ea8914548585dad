/**
 * Converts the cumulative token counts of an engine to increments since a coordinator's last poll.
 */

import { setAndEvictOldest } from './evict-oldest.js';

/**
 * Origin of the totals: they restart at 0 with each engine process and each formation of its group.
 */
export interface CountOrigin {
  readonly groupEpoch?: number | undefined;
  /** Start time of the engine process, Unix ms. */
  readonly engineStartedAtMs?: number | undefined;
}

interface LastReading {
  readonly totals: readonly (readonly number[])[];
  readonly origin: CountOrigin;
}

function isSameOrigin(a: CountOrigin, b: CountOrigin): boolean {
  return a.groupEpoch === b.groupEpoch && a.engineStartedAtMs === b.engineStartedAtMs;
}

/** Maximum number of coordinators tracked; normally one, and a second one during a handover. */
const MAX_COORDINATORS = 4;

/** Keeps the totals that each coordinator received last. */
export class CountDeltas {
  private readonly lastByCoordinator = new Map<string, LastReading>();

  /**
   * Returns the tokens by layer and expert since the previous call for this coordinator; undefined
   * on the first call, and after the group re-formed or the engine restarted.
   * @example deltas.takeDelta('10.1.0.4:7000', { groupEpoch: 1 }, [[12, 4]])
   */
  takeDelta(
    coordinator: string,
    origin: CountOrigin,
    totals: readonly (readonly number[])[],
  ): number[][] | undefined {
    const last = this.lastByCoordinator.get(coordinator);
    const { groupEpoch, engineStartedAtMs } = origin;
    const next = { totals, origin: { groupEpoch, engineStartedAtMs } };
    setAndEvictOldest(this.lastByCoordinator, coordinator, next, MAX_COORDINATORS);
    if (!last || !isSameOrigin(last.origin, origin)) return undefined;
    return totals.map((layer, l) =>
      // A total decreases only when the engine restarted without reporting it.
      layer.map((total, expert) => Math.max(0, total - (last.totals[l]?.[expert] ?? 0))),
    );
  }
}
