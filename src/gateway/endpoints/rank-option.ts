/** Ranks of a group as candidates for one request: what is known of their load, and why one was chosen. */
import {
  RANK_TIER,
  SLOW_PACE,
  expectedWork,
  isKnownFull,
  type PassModel,
  type RankCandidate,
  type RankCount,
  type RankLoad,
  type RankTier,
} from '../../core/routing/index.js';
import type { EngineStatus } from '../groups/group-status.js';
import { failurePenalty, type EndpointState, type PlacementReason } from './endpoint-state.js';

/** Cost of a pass of engines that publish none: prompts being read are not counted. */
export const UNKNOWN_PASS: PassModel = { perRequestMs: 0, stepsPerPass: 1, promptTokensPerMs: 0 };

/** A rank that may be chosen, and the state behind it. */
export interface RankOption extends RankCandidate {
  readonly state: EndpointState;
}

/** What an option is made from. */
export interface RankFacts {
  readonly state: EndpointState;
  readonly status: EngineStatus;
  readonly model: PassModel;
  /** Part of its usual load that a cold endpoint is given, 0 to 1. */
  readonly coldWeight: number;
  readonly isFar: boolean;
  readonly nowMs: number;
}

/**
 * Whether an engine is known to slow down its group.
 * @example isSlowEngine({ ...status, pace: 12 }) // true
 */
export function isSlowEngine(status: EngineStatus | undefined): boolean {
  return status !== undefined && status.pace > SLOW_PACE;
}

/** Returns the count of a rank; undefined if it was made before the process started. */
function countOf(
  { history, firstSeenAtMs }: EndpointState,
  { load, meanLoad, countedAtMs }: EngineStatus,
  nowMs: number,
): RankCount | undefined {
  if (firstSeenAtMs > countedAtMs) return undefined;
  return { load, meanLoad, ageMs: nowMs - countedAtMs, ownThen: history.countAt(countedAtMs) };
}

function tierOf(
  state: EndpointState,
  status: EngineStatus,
  load: RankLoad,
  nowMs: number,
): RankTier {
  if (state.health.isEjected(nowMs)) return RANK_TIER.ejected;
  if (isSlowEngine(status)) return RANK_TIER.slow;
  const isFull = state.fullUntilMs > nowMs || isKnownFull(load, state.endpoint.slots);
  return isFull ? RANK_TIER.full : RANK_TIER.usable;
}

/**
 * Makes the option of one rank.
 * @example const options = ranks.map((rank) => rankOption(rank));
 */
export function rankOption({
  state,
  status,
  model,
  coldWeight,
  isFar,
  nowMs,
}: RankFacts): RankOption {
  const { running, unreadTokens } = state;
  const load: RankLoad = { own: running, unreadTokens, count: countOf(state, status, nowMs) };
  return {
    state,
    tier: tierOf(state, status, load, nowMs),
    isFar,
    own: running,
    work: expectedWork(load, model),
    weight: (status.pace * failurePenalty(state)) / coldWeight,
    lastUsed: state.lastSentSequence,
  };
}

/**
 * Why a rank was chosen among several.
 * @example placementReason(chosen, options, nowMs) // 'near'
 */
export function placementReason(
  chosen: RankOption,
  ranks: readonly RankOption[],
  nowMs: number,
): PlacementReason {
  if (chosen.tier !== RANK_TIER.usable) return 'last-resort';
  if (ranks.some((rank) => rank.state.fullUntilMs > nowMs)) return 'corrected';
  if (!chosen.isFar) return 'near';
  const hasNear = ranks.some((rank) => !rank.isFar && rank.tier === RANK_TIER.usable);
  return hasNear ? 'far' : 'spilled';
}
