/**
 * One round of a group's coordinator: takes promises, finishes what an earlier coordinator left open,
 * and switches every rank to a new map at one step.
 *
 * No rank enters the armed step before it hears the decision, and a decision to confirm is made only
 * when every rank is armed. Whoever takes over with a higher epoch first has every rank's promise to
 * refuse lower epochs, looks a second time that none of them was forgotten, and then: if any rank has
 * confirmed it confirms all, else it aborts all.
 */
import { DECISION_TRIES, EPOCH_STRIDE } from './consts.js';
import { packChange, packMap, unpackMap } from './packing.js';
import type {
  CallRank,
  CallRanks,
  ChooseMap,
  ExpertMap,
  RankOrder,
  RankReply,
  SwitchEnd,
} from './types.js';

/** One group as its coordinator addresses it. */
export interface Coordination {
  readonly group: string;
  readonly ranks: number;
  readonly callRanks: CallRanks;
  /** The map in use as ranks may hold it, so that the next one is told as a change of it; else it is told whole. */
  readonly base?: ExpertMap | undefined;
  /** The map that this coordinator holds already. */
  readonly known: ExpertMap | undefined;
  /** Whether promises bring the tokens counted since the last one. */
  readonly wantsCounts: boolean;
  /**
   * Steps between arming and the switch: what an arm and a confirm round take, with room. Asked for when the
   * copies are made: steps may take four times as long by then as when the round began, and a margin counted in
   * the shorter ones kept a new map waiting for 0.4 s.
   */
  readonly marginSteps: () => number;
}

/**
 * An epoch above everything seen, that no other coordinator can take.
 * @example nextEpoch(2051, 3) // 3075
 */
export function nextEpoch(highest: number, rank: number): number {
  return (Math.floor(highest / EPOCH_STRIDE) + 1) * EPOCH_STRIDE + rank;
}

/**
 * Reaches ranks by a call to each.
 * @example const c: Coordination = { ...group, callRanks: callEachRank((rank, order) => gates[rank].serve(order)) };
 */
export function callEachRank(call: CallRank): CallRanks {
  return (order, ranks) =>
    Promise.all(
      ranks.map(({ rank, incarnation }) =>
        call(rank, { ...order, ...(incarnation && { incarnation }) }).catch(() => undefined),
      ),
    );
}

function allRanks(c: Coordination): number[] {
  return Array.from({ length: c.ranks }, (_, rank) => rank);
}

/** Sends an order to ranks, made for the incarnations that promised; undefined stands for one that was not reached. */
function callRanks(
  c: Coordination,
  order: RankOrder,
  promises: readonly RankReply[] = [],
  ranks: readonly number[] = allRanks(c),
): Promise<(RankReply | undefined)[]> {
  const called = ranks.map((rank) => ({ rank, incarnation: promises[rank]?.incarnation }));
  return c.callRanks(order, called);
}

function allDone(replies: readonly (RankReply | undefined)[]): replies is RankReply[] {
  return replies.every((r) => r?.done === true);
}

function blockedBy(replies: readonly (RankReply | undefined)[], during: string): SwitchEnd {
  const silent = replies.flatMap((r, rank) =>
    r?.done ? [] : [`${rank}${r?.detail ? ` (${r.detail})` : ''}`],
  );
  const highest = Math.max(0, ...replies.map((r) => r?.promised ?? 0));
  return { kind: 'blocked', detail: `${during}: ranks ${silent.join(', ')}`, highest };
}

/** Brings one decision to every rank; each rank that has armed waits for it. */
async function decide(
  c: Coordination,
  kind: 'confirm' | 'abort',
  epoch: number,
  target: number,
  promises: readonly RankReply[],
): Promise<SwitchEnd | undefined> {
  let replies: (RankReply | undefined)[] = [];
  for (let tries = 0; tries < DECISION_TRIES; tries += 1) {
    replies = await callRanks(c, { group: c.group, kind, epoch, target }, promises);
    if (allDone(replies)) return undefined;
  }
  return blockedBy(replies, kind);
}

/**
 * Finishes a switch that an earlier coordinator left open; undefined when nothing is open now.
 *
 * The promises are checked again first. An agent that restarted since has forgotten its promise and
 * may have given one to the earlier coordinator, which could then still confirm what is aborted here.
 * When all promises stand at the second look, there was one moment at which all of them stood, and
 * what the ranks show now cannot change under a lower epoch any more.
 */
async function recover(
  c: Coordination,
  epoch: number,
  promises: readonly RankReply[],
): Promise<SwitchEnd | undefined> {
  if (promises.every((p) => !p.armed)) return undefined;
  const seen = await callRanks(c, { group: c.group, kind: 'recheck', epoch }, promises);
  if (!allDone(seen)) return blockedBy(seen, 'recheck');
  const targets = new Set(seen.flatMap((p) => (p.armed ? [p.armed.epoch] : [])));
  for (const target of targets) {
    const confirmed = seen.some(
      (p) => (p.armed?.epoch === target && p.armed.confirmed) || (p.lastConfirmed ?? 0) >= target,
    );
    const blocked = await decide(c, confirmed ? 'confirm' : 'abort', epoch, target, promises);
    if (blocked) return blocked;
    if (confirmed) return { kind: 'kept' };
  }
  return undefined;
}

/** Has every rank prepare a map: as a change where the one in use is held, whole where that does not do. */
async function prepareAll(
  c: Coordination,
  epoch: number,
  map: ExpertMap,
  promises: readonly RankReply[],
): Promise<(RankReply | undefined)[]> {
  const order: RankOrder = { group: c.group, kind: 'prepare', epoch };
  const whole = (ranks: readonly number[]): Promise<(RankReply | undefined)[]> =>
    callRanks(c, { ...order, map: packMap(map) }, promises, ranks);
  if (c.base === undefined || c.base.id !== promises[0]?.mapId) return whole(allRanks(c));
  const replies = await callRanks(c, { ...order, change: packChange(c.base, map) }, promises);
  const lacking = allRanks(c).filter((rank) => replies[rank]?.lacksBase);
  if (lacking.length === 0) return replies;
  const second = await whole(lacking);
  lacking.forEach((rank, i) => (replies[rank] = second[i]));
  return replies;
}

async function armAll(
  c: Coordination,
  epoch: number,
  map: ExpertMap,
  promises: readonly RankReply[],
): Promise<SwitchEnd> {
  const prepared = await prepareAll(c, epoch, map, promises);
  if (!allDone(prepared)) return blockedBy(prepared, 'prepare');
  const step = Math.max(...prepared.map((r) => r.step)) + c.marginSteps();
  const order: RankOrder = { group: c.group, kind: 'arm', epoch, mapId: map.id, step };
  const armed = await callRanks(c, order, promises);
  if (!allDone(armed)) {
    const blocked = await decide(c, 'abort', epoch, epoch, promises);
    return blocked ?? { kind: 'aborted', detail: 'a rank did not arm' };
  }
  const blocked = await decide(c, 'confirm', epoch, epoch, promises);
  return blocked ?? { kind: 'switched', mapId: map.id, step };
}

/**
 * Runs one round with an epoch.
 * @example const end = await runSwitch(coordination, nextEpoch(highest, 0), chooseMap);
 */
export async function runSwitch(
  c: Coordination,
  epoch: number,
  chooseMap: ChooseMap,
): Promise<SwitchEnd> {
  const promises = await callRanks(c, {
    group: c.group,
    kind: 'promise',
    epoch,
    knownMapIds: c.known ? [c.known.id] : [],
    wantsCounts: c.wantsCounts,
  });
  if (!allDone(promises)) return blockedBy(promises, 'promise');
  const recovered = await recover(c, epoch, promises);
  if (recovered) return recovered;
  const mapId = promises[0]?.mapId ?? '';
  const told = promises.find((p) => p.map?.id === mapId)?.map;
  const map = c.known?.id === mapId ? c.known : told && unpackMap(told);
  // A group that was formed anew between two promises has forgotten what the first ones told.
  if (new Set(promises.map((p) => p.groupEpoch)).size > 1) return { kind: 'kept' };
  // Ranks may be seen a step apart around a confirmed switch; the next round finds them together.
  if (promises.some((p) => p.mapId !== mapId)) return { kind: 'kept' };
  const next = chooseMap({ epoch, mapId, map, replies: promises });
  return next ? armAll(c, epoch, next, promises) : { kind: 'kept' };
}
