/** Combines the replies of the ranks of a group. */
import { setAndEvictOldest, unpackCounts, type RankReply } from '../core/groups/index.js';
import type { Placement, Popularity } from '../core/placement/index.js';

/** Replies of all ranks of one group, in order of rank. */
export type GroupReplies = readonly RankReply[];

/**
 * Whether two group names may denote the same group; an unknown name may be any group.
 * @example mayBeSameGroup('g-1', undefined) // true
 */
export function mayBeSameGroup(own: string | undefined, other: string | undefined): boolean {
  return own === undefined || other === undefined || own === other;
}

/**
 * Sorts replies by rank; undefined unless each rank replied once, all with the same group epoch. A
 * number of ranks reported by engines takes precedence over the list, which may name only some of
 * them during start-up; without one, every polled agent counts as a rank.
 * @example sortByRank(replies, 12)?.[0]?.rank // 0
 */
export function sortByRank(
  replies: readonly (RankReply | undefined)[],
  polledCount: number,
): GroupReplies | undefined {
  const byRank = new Map<number, RankReply>();
  for (const reply of replies) if (reply?.rank !== undefined) byRank.set(reply.rank, reply);
  const reportedRanks = replies.find((reply) => reply?.ranks !== undefined)?.ranks;
  const ranks = reportedRanks ?? polledCount;
  if (ranks === 0 || byRank.size !== ranks) return undefined;
  const ordered = Array.from({ length: ranks }, (_, rank) => byRank.get(rank));
  if (!ordered.every((reply) => reply !== undefined)) return undefined;
  return new Set(ordered.map((reply) => reply.groupEpoch)).size === 1 ? ordered : undefined;
}

/**
 * Addresses of the agents that sent the ordered replies, in order of rank; `replies` and
 * `addresses` correspond by index.
 * @example addressesOf(ordered, replies, addresses)[0] // the agent of rank 0
 */
export function addressesOf(
  ordered: GroupReplies,
  replies: readonly (RankReply | undefined)[],
  addresses: readonly string[],
): string[] {
  return ordered.map((reply) => addresses[replies.indexOf(reply)] as string);
}

/**
 * Id of the map that all ranks use; undefined while they report different maps.
 * @example mapIdOf(replies) // '4096'
 */
export function mapIdOf(replies: GroupReplies): string | undefined {
  const ids = new Set(replies.map((reply) => reply.mapId));
  return ids.size === 1 ? replies[0]?.mapId : undefined;
}

/**
 * The map in use, combined from the experts of each rank; undefined if a rank did not report them.
 * @example placementOf(replies)?.[layer]?.[rank]
 */
export function placementOf(replies: GroupReplies): Placement | undefined {
  if (!replies.every((reply) => reply.placed)) return undefined;
  const layers = replies[0]?.placed?.length ?? 0;
  return Array.from({ length: layers }, (_, layer) =>
    replies.map((reply) => reply.placed?.[layer] ?? []),
  );
}

/**
 * Sums token counts by layer and expert over all replies; undefined if none has counts.
 * @example sumCounts(replies)?.[layer]?.[expert]
 */
export function sumCounts(replies: readonly (RankReply | undefined)[]): Popularity | undefined {
  const reported = replies.flatMap((reply) =>
    reply?.counted ? [unpackCounts(reply.counted)] : [],
  );
  const [first, ...others] = reported;
  if (!first) return undefined;
  for (const counts of others)
    counts.forEach((layer, l) =>
      layer.forEach((count, expert) => addTo(first[l] ?? [], expert, count)),
    );
  return first;
}

function addTo(sums: number[], at: number, count: number): void {
  sums[at] = (sums[at] ?? 0) + count;
}

/** Streams in flight or queued at the engine of one rank. */
export function loadOf(reply: RankReply): number {
  return (reply.running ?? 0) + (reply.queued ?? 0);
}

/**
 * Streams in flight or queued at the engines of several ranks together.
 * @example totalLoad(replies) // 48
 */
export function totalLoad(replies: readonly RankReply[]): number {
  return replies.reduce((sum, reply) => sum + loadOf(reply), 0);
}

/** Maximum number of maps kept: one is in use and one may be about to be. */
const MAX_MAPS = 4;

/** Maps created or received by a coordinator, by id. An id is never reused for another map. */
export class KnownMaps {
  private readonly byId = new Map<string, Placement>();

  /** Ids of the maps held. */
  get ids(): string[] {
    return [...this.byId.keys()];
  }

  /** Adds a map, evicting the oldest beyond the limit. */
  add(id: string, placement: Placement): void {
    setAndEvictOldest(this.byId, id, placement, MAX_MAPS);
  }

  /**
   * The map in use; undefined while ranks report different maps, or if its contents are unknown.
   * @example maps.inUse(replies)?.[layer]?.[rank]
   */
  inUse(replies: GroupReplies): Placement | undefined {
    const id = mapIdOf(replies);
    if (id === undefined) return undefined;
    const known = this.byId.get(id);
    if (known && known[0]?.length === replies.length) return known;
    const reported = placementOf(replies);
    if (reported) this.add(id, reported);
    // The map held does not match these ranks: drop it so that ranks report it again.
    else this.byId.delete(id);
    return reported;
  }
}
