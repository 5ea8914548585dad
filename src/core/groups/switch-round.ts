/**
 * Coordinator side of a switch round: collects promises, completes a switch that an earlier
 * coordinator left unfinished, and switches every rank to a new map at the same step.
 *
 * No rank enters the armed step before it receives the decision, and the coordinator decides to
 * confirm only when every rank is armed. A coordinator that takes over with a higher epoch first
 * obtains every rank's promise to refuse lower epochs and rechecks that all promises still hold.
 * Then it confirms the switch on all ranks if any rank has confirmed it, and aborts it on all ranks
 * otherwise.
 */
import { MAX_DECISION_ATTEMPTS, EPOCH_STRIDE } from './consts.js';
import { packMapChange, packMap, unpackMap } from './packing.js';
import type {
  CallRank,
  CallRanks,
  ChooseMap,
  ExpertMap,
  RankOrder,
  RankReply,
  SwitchOutcome,
} from './types.js';

/** Group-specific inputs of a switch round. */
export interface SwitchContext {
  readonly group: string;
  readonly ranks: number;
  readonly callRanks: CallRanks;
  /**
   * Map in use that ranks may hold, so that the next map is sent as a change of it instead of
   * whole.
   */
  readonly base?: ExpertMap | undefined;
  /** Map that this coordinator already holds, so that ranks need not send it. */
  readonly known: ExpertMap | undefined;
  /**
   * Whether a decision is given up at the first attempt that ranks leave unanswered, since the
   * caller then reaches their engines by other means and the group stands still meanwhile.
   */
  readonly endsAtSilence?: boolean;
  /** Whether promises include the tokens counted since the previous promise. */
  readonly wantsCounts: boolean;
  /**
   * Returns the steps between arming and the switch: the duration of an arm and a confirm round,
   * plus a reserve. Called after the copies, because steps may take four times as long by then as
   * at the start of the round, and a margin based on the shorter steps delayed a new map by 0.4 s.
   */
  readonly marginSteps: () => number;
}

/**
 * Returns an epoch above the highest one seen that no coordinator on another rank can use.
 * @example nextEpoch(2051, 3) // 3075
 */
export function nextEpoch(highest: number, rank: number): number {
  return (Math.floor(highest / EPOCH_STRIDE) + 1) * EPOCH_STRIDE + rank;
}

/**
 * Sends an order to several ranks by a separate call to each; failed calls yield undefined.
 * @example const callRanks = callEachRank((rank, order) => participants[rank].serve(order));
 */
export function callEachRank(call: CallRank): CallRanks {
  return (order, ranks) =>
    Promise.all(
      ranks.map(({ rank, incarnation }) =>
        call(rank, { ...order, ...(incarnation && { incarnation }) }).catch(() => undefined),
      ),
    );
}

function allRanks(ctx: SwitchContext): number[] {
  return Array.from({ length: ctx.ranks }, (_, rank) => rank);
}

/**
 * Sends an order to the incarnations that promised; the reply is undefined for a rank not reached.
 */
function sendOrder(
  ctx: SwitchContext,
  order: RankOrder,
  promises: readonly RankReply[] = [],
  ranks: readonly number[] = allRanks(ctx),
): Promise<(RankReply | undefined)[]> {
  const targets = ranks.map((rank) => ({ rank, incarnation: promises[rank]?.incarnation }));
  return ctx.callRanks(order, targets);
}

function areAllDone(replies: readonly (RankReply | undefined)[]): replies is RankReply[] {
  return replies.every((r) => r?.done === true);
}

function blockedOutcome(
  replies: readonly (RankReply | undefined)[],
  phase: string,
  silent: readonly number[] = [],
): SwitchOutcome {
  const failedRanks = replies.flatMap((r, rank) =>
    r?.done ? [] : [`${rank}${r?.detail ? ` (${r.detail})` : ''}`],
  );
  const highest = Math.max(0, ...replies.map((r) => r?.promised ?? 0));
  const detail = `${phase} failed on ranks ${failedRanks.join(', ')}`;
  return { kind: 'blocked', detail, highest, silent };
}

/**
 * Delivers a decision to every rank, with retries: armed ranks do not proceed without it.
 */
async function deliverDecision(
  ctx: SwitchContext,
  kind: 'confirm' | 'abort',
  epoch: number,
  target: number,
  promises: readonly RankReply[],
): Promise<SwitchOutcome | undefined> {
  let replies: (RankReply | undefined)[] = [];
  for (let attempt = 0; attempt < MAX_DECISION_ATTEMPTS; attempt += 1) {
    replies = await sendOrder(ctx, { group: ctx.group, kind, epoch, target }, promises);
    if (areAllDone(replies)) return undefined;
    const silent = replies.flatMap((reply, rank) => (reply ? [] : [rank]));
    if (ctx.endsAtSilence && silent.length > 0) return blockedOutcome(replies, kind, silent);
  }
  return blockedOutcome(replies, kind);
}

/**
 * Completes a switch that an earlier coordinator left unfinished. Returns undefined when none is
 * left, so that the round can continue.
 *
 * Rechecks the promises first. An agent that restarted in the meantime has lost its promise and may
 * have made one to the earlier coordinator, which could then still confirm the switch that is
 * aborted here. If all promises hold at the recheck, there was a moment at which all of them held
 * at once, and the state that the ranks report can no longer change under a lower epoch.
 */
async function recover(
  ctx: SwitchContext,
  epoch: number,
  promises: readonly RankReply[],
): Promise<SwitchOutcome | undefined> {
  if (promises.every((p) => !p.armed)) return undefined;
  const rechecked = await sendOrder(ctx, { group: ctx.group, kind: 'recheck', epoch }, promises);
  if (!areAllDone(rechecked)) return blockedOutcome(rechecked, 'recheck');
  const targets = new Set(rechecked.flatMap((p) => (p.armed ? [p.armed.epoch] : [])));
  for (const target of targets) {
    const confirmed = rechecked.some(
      (p) => (p.armed?.epoch === target && p.armed.confirmed) || (p.lastConfirmed ?? 0) >= target,
    );
    const blocked = await deliverDecision(
      ctx,
      confirmed ? 'confirm' : 'abort',
      epoch,
      target,
      promises,
    );
    if (blocked) return blocked;
    if (confirmed) return { kind: 'kept' };
  }
  return undefined;
}

/**
 * Prepares a map on every rank: sends a change first, and the whole map to ranks without its base.
 */
async function prepareAll(
  ctx: SwitchContext,
  epoch: number,
  map: ExpertMap,
  promises: readonly RankReply[],
): Promise<(RankReply | undefined)[]> {
  const order: RankOrder = { group: ctx.group, kind: 'prepare', epoch };
  const sendWholeMap = (ranks: readonly number[]): Promise<(RankReply | undefined)[]> =>
    sendOrder(ctx, { ...order, map: packMap(map) }, promises, ranks);
  if (ctx.base === undefined || ctx.base.id !== promises[0]?.mapId)
    return sendWholeMap(allRanks(ctx));
  const replies = await sendOrder(
    ctx,
    { ...order, change: packMapChange(ctx.base, map) },
    promises,
  );
  const ranksWithoutBase = allRanks(ctx).filter((rank) => replies[rank]?.lacksBase);
  if (ranksWithoutBase.length === 0) return replies;
  const wholeMapReplies = await sendWholeMap(ranksWithoutBase);
  ranksWithoutBase.forEach((rank, i) => (replies[rank] = wholeMapReplies[i]));
  return replies;
}

async function armAll(
  ctx: SwitchContext,
  epoch: number,
  map: ExpertMap,
  promises: readonly RankReply[],
): Promise<SwitchOutcome> {
  const prepared = await prepareAll(ctx, epoch, map, promises);
  if (!areAllDone(prepared)) return blockedOutcome(prepared, 'prepare');
  const step = Math.max(...prepared.map((r) => r.step)) + ctx.marginSteps();
  const order: RankOrder = { group: ctx.group, kind: 'arm', epoch, mapId: map.id, step };
  const armed = await sendOrder(ctx, order, promises);
  if (!areAllDone(armed)) {
    const blocked = await deliverDecision(ctx, 'abort', epoch, epoch, promises);
    return blocked ?? { kind: 'aborted', detail: 'not every rank armed the new map' };
  }
  const blocked = await deliverDecision(ctx, 'confirm', epoch, epoch, promises);
  return blocked ?? { kind: 'switched', mapId: map.id, step };
}

/**
 * Runs one switch round under an epoch higher than all promised ones.
 * @example const outcome = await runSwitch(ctx, nextEpoch(highest, 0), chooseMap);
 */
export async function runSwitch(
  ctx: SwitchContext,
  epoch: number,
  chooseMap: ChooseMap,
): Promise<SwitchOutcome> {
  const promises = await sendOrder(ctx, {
    group: ctx.group,
    kind: 'promise',
    epoch,
    knownMapIds: ctx.known ? [ctx.known.id] : [],
    wantsCounts: ctx.wantsCounts,
  });
  if (!areAllDone(promises)) return blockedOutcome(promises, 'promise');
  const recovered = await recover(ctx, epoch, promises);
  if (recovered) return recovered;
  const mapId = promises[0]?.mapId ?? '';
  const packedMap = promises.find((p) => p.map?.id === mapId)?.map;
  const map = ctx.known?.id === mapId ? ctx.known : packedMap && unpackMap(packedMap);
  // If the group re-formed between two promises, the earlier promises are outdated.
  if (new Set(promises.map((p) => p.groupEpoch)).size > 1) return { kind: 'kept' };
  // Promises may straddle the step of a confirmed switch; the next round sees a single map.
  if (promises.some((p) => p.mapId !== mapId)) return { kind: 'kept' };
  const next = chooseMap({ epoch, mapId, map, replies: promises });
  return next ? armAll(ctx, epoch, next, promises) : { kind: 'kept' };
}
