/** Types of the two-phase map switch. */
import type { RankOrder, RankReply } from '../../generated/messages.types.js';

export type { RankOrder, RankReply };

/** Assignment of experts to the ranks of a group. */
export interface ExpertMap {
  readonly id: string;
  /** Experts held, indexed by layer and rank. */
  readonly layers: readonly (readonly (readonly number[])[])[];
}

/** Sends one order to the agent of a rank; rejects when the agent does not reply in time. */
export type CallRank = (rank: number, order: RankOrder) => Promise<RankReply>;

/** A rank to send an order to, and the incarnation that the order is addressed to. */
export interface RankTarget {
  readonly rank: number;
  readonly incarnation: string | undefined;
}

/**
 * Sends one order to several ranks; the reply is undefined for a rank that did not reply in time.
 */
export type CallRanks = (
  order: RankOrder,
  ranks: readonly RankTarget[],
) => Promise<(RankReply | undefined)[]>;

/** Outcome of a switch round. */
export type SwitchOutcome =
  /** Every rank replied and no switch is left unfinished; this round brings in no new map. */
  | { readonly kind: 'kept' }
  /** Every rank has confirmed the new map. */
  | { readonly kind: 'switched'; readonly mapId: string; readonly step: number }
  /** The new map was aborted before any rank confirmed it. */
  | { readonly kind: 'aborted'; readonly detail: string }
  /** A rank did not reply, refused, or has promised a higher epoch; a later round continues. */
  | {
      readonly kind: 'blocked';
      readonly detail: string;
      readonly highest: number;
      /** Ranks that did not answer the decision of an open switch: they may hold the group. */
      readonly silent: readonly number[];
    };

/** State of the group as reported in the promises of all ranks. */
export interface GroupSnapshot {
  /** Epoch of this round. */
  readonly epoch: number;
  readonly mapId: string;
  readonly map: ExpertMap | undefined;
  readonly replies: readonly RankReply[];
}

/** Chooses the next map; undefined keeps the current one. */
export type ChooseMap = (view: GroupSnapshot) => ExpertMap | undefined;
