/** Puts together what the ranks of a group tell. */
import type { RankReply } from '../core/groups/index.js';
import type { Placement, Popularity } from '../core/placement/index.js';

/** Replies of all ranks of one group, in order of rank. */
export type GroupReplies = readonly RankReply[];

/**
 * Orders replies by rank; undefined unless they are whole: each rank once, of one forming of the group.
 * @example orderReplies(replies, 12)?.[0]?.rank // 0
 */
export function orderReplies(
  replies: readonly (RankReply | undefined)[],
  ranks: number,
): GroupReplies | undefined {
  const byRank = new Map<number, RankReply>();
  for (const reply of replies) if (reply?.rank !== undefined) byRank.set(reply.rank, reply);
  if (ranks === 0 || byRank.size !== ranks) return undefined;
  const ordered = Array.from({ length: ranks }, (_, rank) => byRank.get(rank));
  if (!ordered.every((reply) => reply !== undefined)) return undefined;
  return new Set(ordered.map((reply) => reply.groupEpoch)).size === 1 ? ordered : undefined;
}

/**
 * The map in use, from what each rank holds; undefined while ranks are seen in different maps.
 * @example placementOf(replies)?.[layer]?.[rank]
 */
export function placementOf(replies: GroupReplies): Placement | undefined {
  if (new Set(replies.map((reply) => reply.mapId)).size !== 1) return undefined;
  const layers = replies[0]?.placed?.length ?? 0;
  return Array.from({ length: layers }, (_, layer) =>
    replies.map((reply) => reply.placed?.[layer] ?? []),
  );
}

/** Turns the ranks' totals into what was chosen since the last look. */
export class PickedDeltas {
  private last = new Map<number, number[][]>();
  private groupEpoch: number | undefined;

  /**
   * Tokens by layer and expert since the last call; none for a rank that is seen for the first time.
   * @example deltas.take(replies)
   */
  take(replies: GroupReplies): Popularity {
    const epoch = replies[0]?.groupEpoch;
    if (epoch !== this.groupEpoch) this.last.clear();
    this.groupEpoch = epoch;
    const sums: number[][] = [];
    replies.forEach((reply, rank) => {
      const before = this.last.get(rank);
      const now = reply.picked ?? [];
      this.last.set(rank, now);
      if (before) now.forEach((layer, l) => addDelta((sums[l] ??= []), layer, before[l] ?? []));
    });
    return sums;
  }
}

function addDelta(sums: number[], now: readonly number[], before: readonly number[]): void {
  now.forEach((count, expert) => {
    // A total that fell is that of an engine that was started anew.
    const delta = Math.max(0, count - (before[expert] ?? 0));
    sums[expert] = (sums[expert] ?? 0) + delta;
  });
}
