/** Puts together what the ranks of a group tell. */
import { setNewest, unpackCounts, type RankReply } from '../core/groups/index.js';
import type { Placement, Popularity } from '../core/placement/index.js';

/** Replies of all ranks of one group, in order of rank. */
export type GroupReplies = readonly RankReply[];

/**
 * Whether something of one group may belong to another: what has not been told may be either.
 * @example mayBelong('g-1', undefined) // true
 */
export function mayBeSameGroup(own: string | undefined, other: string | undefined): boolean {
  return own === undefined || other === undefined || own === other;
}

/**
 * Orders replies by rank; undefined unless they are whole: each rank once, of one forming of the group.
 * Engines that know how many ranks there are count for more than the list, which may name only some of
 * them while they start; where none says, each of those asked is one.
 * @example orderReplies(replies, 12)?.[0]?.rank // 0
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
 * Addresses of the agents that gave ordered replies, in order of rank; `replies` are in that of `addresses`.
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
 * The id of the map that all ranks use; undefined while they are seen in different ones.
 * @example mapIdOf(replies) // '4096'
 */
export function mapIdOf(replies: GroupReplies): string | undefined {
  const ids = new Set(replies.map((reply) => reply.mapId));
  return ids.size === 1 ? replies[0]?.mapId : undefined;
}

/**
 * The map in use, from what each rank holds; undefined where a rank did not tell.
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
 * Tokens by layer and expert that the replies tell together; undefined when none tells any.
 * @example countsOf(replies)?.[layer]?.[expert]
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

/** Streams that run or wait at the engine of one rank. */
export function loadOf(reply: RankReply): number {
  return (reply.running ?? 0) + (reply.queued ?? 0);
}

/**
 * Streams that run or wait at the engines of some ranks together.
 * @example runningOf(replies) // 48
 */
export function totalLoad(replies: readonly RankReply[]): number {
  return replies.reduce((sum, reply) => sum + loadOf(reply), 0);
}

/** Maps kept; one is in use and one may be on its way. */
const MAX_MAPS = 4;

/** Maps that a coordinator made or was told, by id. An id never stands for another map. */
export class KnownMaps {
  private readonly byId = new Map<string, Placement>();

  /** Ids of the maps held. */
  get ids(): string[] {
    return [...this.byId.keys()];
  }

  /** Notes a map. */
  add(id: string, placement: Placement): void {
    setNewest(this.byId, id, placement, MAX_MAPS);
  }

  /**
   * The map in use; undefined while ranks are seen in different ones, or nobody has told it.
   * @example maps.inUse(replies)?.[layer]?.[rank]
   */
  inUse(replies: GroupReplies): Placement | undefined {
    const id = mapIdOf(replies);
    if (id === undefined) return undefined;
    const known = this.byId.get(id);
    if (known && known[0]?.length === replies.length) return known;
    const reported = placementOf(replies);
    if (reported) this.add(id, reported);
    // What is held does not fit these ranks: it has to be told again.
    else this.byId.delete(id);
    return reported;
  }
}
