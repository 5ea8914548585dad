/** Turns an engine's totals into what was counted since a coordinator looked last. */

import { setNewest } from './newest.js';

/** What totals count from: each life of an engine, and each forming of its group, begins anew. */
export interface CountOrigin {
  readonly groupEpoch?: number | undefined;
  /** When the engine's process started, Unix ms. */
  readonly engineStartedAtMs?: number | undefined;
}

interface Last {
  readonly totals: readonly (readonly number[])[];
  readonly origin: CountOrigin;
}

function isSame(a: CountOrigin, b: CountOrigin): boolean {
  return a.groupEpoch === b.groupEpoch && a.engineStartedAtMs === b.engineStartedAtMs;
}

/** Coordinators that are remembered; there is one, and a second while they take turns. */
const MOST_ASKERS = 4;

/** Totals as each coordinator saw them last. */
export class CountDeltas {
  private readonly lastByAsker = new Map<string, Last>();

  /**
   * Tokens by layer and expert since the asker's last call; undefined at the first one, and after the
   * group was formed anew or the engine started again.
   * @example deltas.take('10.1.0.4:7000', { groupEpoch: 1 }, [[12, 4]])
   */
  take(
    asker: string,
    origin: CountOrigin,
    totals: readonly (readonly number[])[],
  ): number[][] | undefined {
    const last = this.lastByAsker.get(asker);
    const { groupEpoch, engineStartedAtMs } = origin;
    const next = { totals, origin: { groupEpoch, engineStartedAtMs } };
    setNewest(this.lastByAsker, asker, next, MOST_ASKERS);
    if (!last || !isSame(last.origin, origin)) return undefined;
    return totals.map((layer, l) =>
      // A total that fell is that of an engine that was started anew.
      layer.map((total, expert) => Math.max(0, total - (last.totals[l]?.[expert] ?? 0))),
    );
  }
}
