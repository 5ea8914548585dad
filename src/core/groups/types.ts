/** Types of the map switch. */
import type { RankOrder, RankReply } from '../../generated/messages.types.js';

export type { RankOrder, RankReply };

/** Which experts each rank of a group holds. */
export interface ExpertMap {
  readonly id: string;
  /** Experts by layer and rank. */
  readonly layers: readonly (readonly (readonly number[])[])[];
}

/** Sends one order to one rank's agent; rejects when it cannot be reached in time. */
export type CallRank = (rank: number, order: RankOrder) => Promise<RankReply>;

/** A rank that is called, and the incarnation of it that is meant. */
export interface CalledRank {
  readonly rank: number;
  readonly incarnation: string | undefined;
}

/** Sends one order to some ranks; undefined stands for one that was not reached in time. */
export type CallRanks = (
  order: RankOrder,
  ranks: readonly CalledRank[],
) => Promise<(RankReply | undefined)[]>;

/** How a switch round ended. */
export type SwitchEnd =
  /** Every rank is reached and none of them has anything open; the map stays. */
  | { readonly kind: 'kept' }
  /** Every rank has confirmed the new map. */
  | { readonly kind: 'switched'; readonly mapId: string; readonly step: number }
  /** The new map was given up before any rank confirmed it. */
  | { readonly kind: 'aborted'; readonly detail: string }
  /** A rank could not be reached or has promised a higher epoch: a later round goes on. */
  | { readonly kind: 'blocked'; readonly detail: string; readonly highest: number };

/** What a coordinator knows of the ranks after their promises. */
export interface GroupView {
  /** Epoch of the round. */
  readonly epoch: number;
  readonly mapId: string;
  readonly map: ExpertMap | undefined;
  readonly replies: readonly RankReply[];
}

/** Chooses the next map; undefined keeps the present one. */
export type ChooseMap = (view: GroupView) => ExpertMap | undefined;
