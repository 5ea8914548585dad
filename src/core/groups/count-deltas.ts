/** Turns an engine's totals into what was counted since a coordinator looked last. */

interface Last {
  readonly totals: readonly (readonly number[])[];
  readonly groupEpoch: number | undefined;
}

/** Coordinators that are remembered; there is one, and a second while they take turns. */
const MOST_ASKERS = 4;

/** Totals as each coordinator saw them last. */
export class CountDeltas {
  private readonly lastByAsker = new Map<string, Last>();

  /**
   * Tokens by layer and expert since the asker's last call; undefined at the first one, and after the
   * group was formed anew.
   * @example deltas.take('10.1.0.4:7000', 1, [[12, 4]])
   */
  take(
    asker: string,
    groupEpoch: number | undefined,
    totals: readonly (readonly number[])[],
  ): number[][] | undefined {
    const last = this.lastByAsker.get(asker);
    this.lastByAsker.delete(asker);
    this.lastByAsker.set(asker, { totals, groupEpoch });
    if (this.lastByAsker.size > MOST_ASKERS)
      this.lastByAsker.delete(this.lastByAsker.keys().next().value as string);
    if (!last || last.groupEpoch !== groupEpoch) return undefined;
    return totals.map((layer, l) =>
      // A total that fell is that of an engine that was started anew.
      layer.map((total, expert) => Math.max(0, total - (last.totals[l]?.[expert] ?? 0))),
    );
  }
}
