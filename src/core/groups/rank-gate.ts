/**
 * A rank's side of the switch: one queue of orders before one engine. It refuses epochs below its
 * promise, and orders that were made for another incarnation of itself, since a restarted agent has
 * forgotten what it promised.
 */
import type { Incarnation } from '../ids/index.js';
import { CountDeltas } from './count-deltas.js';
import { setNewest } from './newest.js';
import { packCounts, packMap, unpackChange, unpackMap } from './packing.js';
import type { ExpertMap, RankOrder, RankReply } from './types.js';

/** State of the rank as its engine holds it. */
export interface EngineState {
  readonly step: number;
  readonly map: ExpertMap;
  readonly armed: RankReply['armed'];
  readonly lastConfirmed: number;
  /** Epoch that made the map whose experts the engine holds ready, in use or not. */
  readonly preparedEpoch?: number;
  /** Name of the group, as the engine tells it. */
  readonly group?: string;
  /** Place in the group, as the engine tells it. */
  readonly rank?: number;
  /** Ranks of the group, as the engine tells it. */
  readonly ranks?: number;
  /** How slow the engine is; 1 is its ordinary pace. */
  readonly pace?: number;
  readonly running?: number;
  readonly queued?: number;
  /** How often the group was formed, where engines count that. */
  readonly groupEpoch?: number;
  /** When the engine's process started, Unix ms, where engines tell it. */
  readonly engineStartedAtMs?: number;
  /** Experts that this rank holds, by layer, where the engine knows no more of the map. */
  readonly placed?: number[][];
  /** Tokens of this rank's own requests since the engine's start, by layer and expert. */
  readonly picked?: number[][];
}

/** What is read beside an engine's state; each costs a call or bytes. */
export interface ReadWants {
  /** Tokens counted, by layer and slot or by layer and expert. */
  readonly counts: boolean;
  /** What the rank holds, unless its map is one of `knownMapIds`. */
  readonly placed: boolean;
  readonly knownMapIds: readonly string[];
}

/**
 * Growth of what a rank refuses when its engine's fence is higher, which the engine does not tell: the next
 * rounds find an epoch above it in a few steps, with nothing remembered of the lives before.
 */
const FENCED_GROWTH = 2;

/** Maps kept to build the next ones from: one is in use and one may be on its way. */
const MOST_MAPS = 3;

const STATE_ONLY: ReadWants = { counts: false, placed: false, knownMapIds: [] };

/** The engine behind a rank. */
export interface RankEngine {
  /** Reads the truth, and what is wanted with it. */
  read(wants: ReadWants): Promise<EngineState & { readonly counts?: number[][] }>;
  /** Gives an order with its epoch as fence. */
  order(order: EngineOrder): Promise<OrderEnd>;
}

/** How an engine took an order; `fenced` when it has seen a fence that is higher, or as high in an earlier life. */
export type OrderEnd = 'done' | 'refused' | 'fenced';

/** One order to the engine. */
export type EngineOrder =
  | { readonly kind: 'fence'; readonly epoch: number }
  | { readonly kind: 'load'; readonly epoch: number; readonly map: ExpertMap }
  | { readonly kind: 'arm'; readonly epoch: number; readonly map: ExpertMap; readonly step: number }
  | { readonly kind: 'confirm' | 'abort'; readonly epoch: number; readonly target: number };

/** Serves the orders of coordinators for one rank. */
export class RankGate {
  private promised = 0;
  private prepared: ExpertMap | undefined;
  /** Maps that were prepared here, by id. An id never stands for another map. */
  private readonly maps = new Map<string, ExpertMap>();
  private readonly deltas = new CountDeltas();
  private queue: Promise<unknown> = Promise.resolve();

  /** @param rank index of this rank in its group, for its part of the counts */
  constructor(
    private readonly incarnation: Incarnation,
    private readonly engine: RankEngine,
    private readonly rank: () => number,
  ) {}

  /** The highest epoch promised by this incarnation. */
  get epoch(): number {
    return this.promised;
  }

  /**
   * Serves one order after all earlier ones.
   * @example await gate.serve({ group, kind: 'promise', epoch: 1024 })
   */
  serve(order: RankOrder): Promise<RankReply> {
    // A look changes nothing and must not wait for a copy that takes long.
    if (order.kind === 'look') return this.look(order);
    const served = this.queue.then(() => this.serveNow(order));
    this.queue = served.catch(() => undefined);
    return served;
  }

  /**
   * Reads the engine, which outlives its agents: what it shows was made under a promise of some life of
   * this agent, and stands for it.
   */
  private async read(wants: ReadWants): ReturnType<RankEngine['read']> {
    const state = await this.engine.read(wants);
    const shown = [state.lastConfirmed, state.armed?.epoch ?? 0, state.preparedEpoch ?? 0];
    this.promised = Math.max(this.promised, ...shown);
    return state;
  }

  private async serveNow(order: RankOrder): Promise<RankReply> {
    if (order.kind === 'promise') return this.promise(order);
    if (order.incarnation !== this.incarnation)
      return this.reply(false, 'made for another incarnation');
    if (order.epoch !== this.promised)
      return this.reply(false, `epoch ${this.promised} is promised`);
    if (order.kind === 'prepare') return this.prepare(order);
    return this.replyTo(await this.act(order));
  }

  private async look(order: RankOrder): Promise<RankReply> {
    const state = await this.read({
      counts: order.wantsCounts ?? false,
      placed: true,
      knownMapIds: order.knownMapIds ?? [],
    });
    const { placed, picked, pace, running, queued } = state;
    const since = picked && this.deltas.take(order.from ?? '', state, picked);
    const counted = since && packCounts(since);
    return { ...this.describe(state, true), placed, counted, pace, running, queued };
  }

  private async promise(order: RankOrder): Promise<RankReply> {
    if (order.epoch <= this.promised)
      return this.reply(false, `epoch ${this.promised} is promised`);
    const end = await this.engine.order({ kind: 'fence', epoch: order.epoch });
    if (end === 'fenced') this.promised = order.epoch * FENCED_GROWTH;
    if (end !== 'done') return this.reply(false, `the engine's fence: ${end}`);
    this.promised = order.epoch;
    this.prepared = undefined;
    const state = await this.read({ ...STATE_ONLY, counts: order.wantsCounts ?? false });
    const held = state.map.layers.map((layer) => layer[this.rank()] ?? []);
    const counts = state.counts?.map((layer, l) =>
      (held[l] ?? []).map((expert) => layer[expert] ?? 0),
    );
    // An engine that tells no more than its own part of the map has nothing to tell here.
    const isTold = state.map.layers.length > 0 && !order.knownMapIds?.includes(state.map.id);
    const map = isTold ? packMap(state.map) : undefined;
    return { ...this.describe(state, true), counts, ...(map ? { map } : {}) };
  }

  /** The map of an order to prepare; undefined where it cannot be built. */
  private mapOf({ map, change }: RankOrder): ExpertMap | undefined {
    if (map) return unpackMap(map);
    const base = change && this.maps.get(change.base);
    return base && unpackChange(base, change);
  }

  private async prepare(order: RankOrder): Promise<RankReply> {
    const map = this.mapOf(order);
    if (!map) {
      const reply = await this.reply(false, 'the map cannot be built here');
      return { ...reply, lacksBase: true };
    }
    this.prepared = map;
    setNewest(this.maps, map.id, map, MOST_MAPS);
    return this.replyTo(await this.give({ kind: 'load', epoch: order.epoch, map }));
  }

  /** Gives the engine an order; whether it was carried out. */
  private async give(order: EngineOrder): Promise<boolean> {
    return (await this.engine.order(order)) === 'done';
  }

  private async act(order: RankOrder): Promise<boolean> {
    const { epoch } = order;
    // The promise stands in this incarnation: the reply's state is the answer.
    if (order.kind === 'recheck') return true;
    if (order.kind === 'arm') {
      const { prepared } = this;
      if (!prepared || prepared.id !== order.mapId || order.step === undefined) return false;
      // An engine that checks no fences is protected by looking first: nobody else gives it orders.
      const state = await this.read(STATE_ONLY);
      if (state.armed || order.step <= state.step) return false;
      return this.give({ kind: 'arm', epoch, map: prepared, step: order.step });
    }
    if (order.kind !== 'confirm' && order.kind !== 'abort') return false;
    if (order.target === undefined) return false;
    return this.give({ kind: order.kind, epoch, target: order.target });
  }

  private replyTo(done: boolean): Promise<RankReply> {
    return this.reply(done, done ? undefined : 'the engine refused');
  }

  private async reply(done: boolean, detail: string | undefined): Promise<RankReply> {
    const state = await this.read(STATE_ONLY);
    return { ...this.describe(state, done), ...(detail ? { detail } : {}) };
  }

  private describe(state: EngineState, done: boolean): RankReply {
    return {
      done,
      incarnation: this.incarnation,
      promised: this.promised,
      step: state.step,
      mapId: state.map.id,
      lastConfirmed: state.lastConfirmed,
      ...(state.group === undefined ? {} : { group: state.group }),
      ...(state.rank === undefined ? {} : { rank: state.rank }),
      ...(state.ranks === undefined ? {} : { ranks: state.ranks }),
      ...(state.groupEpoch === undefined ? {} : { groupEpoch: state.groupEpoch }),
      ...(state.armed ? { armed: state.armed } : {}),
    };
  }
}
