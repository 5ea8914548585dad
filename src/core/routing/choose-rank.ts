/**
 * Chooses the rank of a request: of two random ranks among those with the fewest streams of this entry, the one
 * with less expected work.
 *
 * Own streams are known exactly, so spreading them evenly needs no message; the group's count tells which of two
 * otherwise equal ranks others have loaded. Of all ranks the one with the least counted load must not be chosen:
 * all entries know the same count, and would send everything there until the next one.
 */
import type { Random } from '../clock/index.js';

/** Ranks of a worse tier are used only if no better one is left. */
export const RANK_TIER = {
  usable: 0,
  /** All slots are taken, or it rejected a request a moment ago: requests queue there. */
  full: 1,
  /** Slows down its whole group. */
  slow: 2,
  ejected: 3,
} as const;

/** Tier of a rank. */
export type RankTier = (typeof RANK_TIER)[keyof typeof RANK_TIER];

/** One rank that a request may be sent to. */
export interface RankCandidate {
  readonly tier: RankTier;
  /** Whether it is in another data centre than the entry. */
  readonly isFar: boolean;
  /** Requests of this entry there. */
  readonly own: number;
  /** Expected work there, in streams. */
  readonly work: number;
  /** Multiple of the work of a rank of normal speed without failures. */
  readonly weight: number;
  /** Sequence number of the last request sent there. */
  readonly lastUsed: number;
}

/**
 * Extra load, in streams, assumed for a rank in another data centre, as bytes between data centres have a price.
 * Differences of up to two streams between two ranks are mostly chance.
 */
const FAR_EXTRA_STREAMS = 3;
/** Decrease of that extra load with each stream by which the mean of the near ranks exceeds that of the far ones. */
const FAR_MARGIN_SLOPE = 2;
/** Difference of the means, in streams, that is chance with a single near rank. */
const MEAN_NOISE = 4;
/** Part of the ranks with the fewest own streams that is compared, and the least number of them. */
const COMPARED_SHARE = 1 / 3;
const MIN_COMPARED = 2;
/** Difference in expected streams below which two ranks count as equal: counts are up to 3 s old. */
const CLEAR_DIFFERENCE = 1;
/** Ranks whose weighted own load differs by less count as equal, so that one old failure excludes no rank. */
const EQUAL_OWN_LOAD = 0.5;

function ownLoad({ own, weight }: RankCandidate): number {
  return (own + 1) * weight;
}

function totalLoad({ work, weight }: RankCandidate): number {
  return (work + 1) * weight;
}

/** Two different random items; the first one twice if there is no other. */
function twoRandom<T>(items: readonly T[], random: Random): [T | undefined, T | undefined] {
  const first = Math.floor(random() * items.length);
  const offset = 1 + Math.floor(random() * (items.length - 1));
  return [items[first], items[(first + offset) % items.length]];
}

/**
 * Compares two random ranks of the least recently used third among those with the fewest own streams; the less
 * recently used one is taken unless the other has clearly less work.
 */
function betterOfTwo<T extends RankCandidate>(ranks: readonly T[], random: Random): T | undefined {
  let least = Number.POSITIVE_INFINITY;
  for (const rank of ranks) least = Math.min(least, ownLoad(rank));
  const equal = ranks.filter((rank) => ownLoad(rank) < least + EQUAL_OWN_LOAD);
  equal.sort((a, b) => a.lastUsed - b.lastUsed);
  const oldest = equal.slice(0, Math.max(MIN_COMPARED, Math.ceil(equal.length * COMPARED_SHARE)));
  const [one, other] = twoRandom(oldest, random);
  if (!one || !other) return one;
  const [older, newer] = one.lastUsed <= other.lastUsed ? [one, other] : [other, one];
  return totalLoad(newer) + CLEAR_DIFFERENCE <= totalLoad(older) ? newer : older;
}

function meanWork(ranks: readonly RankCandidate[]): number {
  return ranks.reduce((sum, { work }) => sum + work, 0) / ranks.length;
}

/**
 * Streams by which a rank in another data centre must be better. Differences between two ranks are mostly chance;
 * one between the means of both data centres lasts, and lowers the margin by what exceeds chance.
 */
function farMargin(near: readonly RankCandidate[], far: readonly RankCandidate[]): number {
  const excess = meanWork(near) - meanWork(far) - MEAN_NOISE / Math.sqrt(near.length);
  return FAR_EXTRA_STREAMS - FAR_MARGIN_SLOPE * Math.max(0, excess);
}

/**
 * Chooses the rank for one more request; undefined without candidates.
 * @example const rank = chooseRank(candidates, Math.random);
 */
export function chooseRank<T extends RankCandidate>(
  candidates: readonly T[],
  random: Random,
): T | undefined {
  let tier: RankTier = RANK_TIER.ejected;
  for (const candidate of candidates) if (candidate.tier < tier) tier = candidate.tier;
  const usable = candidates.filter((rank) => rank.tier === tier);
  const nearRanks = usable.filter((rank) => !rank.isFar);
  const farRanks = usable.filter((rank) => rank.isFar);
  const near = betterOfTwo(nearRanks, random);
  const far = betterOfTwo(farRanks, random);
  if (!near || !far) return near ?? far;
  const margin = farMargin(nearRanks, farRanks) * far.weight;
  return totalLoad(far) + margin <= totalLoad(near) ? far : near;
}
