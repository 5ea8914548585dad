/**
 * A rank's side of the switch: one queue of orders before one engine. It refuses epochs below its
 * promise, and orders that were made for another incarnation of itself, since a restarted agent has
 * forgotten what it promised.
 */
import type { Incarnation } from '../ids/index.js';
import { CountDeltas } from './count-deltas.js';
import { packCounts, packMap, unpackMap } from './packing.js';
import type { ExpertMap, RankOrder, RankReply } from './types.js';

/** State of the rank as its engine holds it. */
export interface EngineState {
  readonly step: number;
  readonly map: ExpertMap;
  readonly armed: RankReply['armed'];
  readonly lastConfirmed: number;
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

const STATE_ONLY: ReadWants = { counts: false, placed: false, knownMapIds: [] };

/** The engine behind a rank. */
export interface RankEngine {
  /** Reads the truth, and what is wanted with it. */
  read(wants: ReadWants): Promise<EngineState & { readonly counts?: number[][] }>;
  /** Gives an order with its epoch as fence; false when the engine refuses it. */
  order(order: EngineOrder): Promise<boolean>;
}

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

  private async serveNow(order: RankOrder): Promise<RankReply> {
    if (order.kind === 'promise') return this.promise(order);
    if (order.incarnation !== this.incarnation)
      return this.reply(false, 'made for another incarnation');
    if (order.epoch !== this.promised)
      return this.reply(false, `epoch ${this.promised} is promised`);
    const done = await this.act(order);
    return this.reply(done, done ? undefined : 'the engine refused');
  }

  private async look(order: RankOrder): Promise<RankReply> {
    const state = await this.engine.read({
      counts: order.wantsCounts ?? false,
      placed: true,
      knownMapIds: order.knownMapIds ?? [],
    });
    const { placed, picked, pace, running, queued } = state;
    const since = picked && this.deltas.take(order.from ?? '', state.groupEpoch, picked);
    const counted = since && packCounts(since);
    return { ...this.describe(state, true), placed, counted, pace, running, queued };
  }

  private async promise(order: RankOrder): Promise<RankReply> {
    if (order.epoch <= this.promised)
      return this.reply(false, `epoch ${this.promised} is promised`);
    if (!(await this.engine.order({ kind: 'fence', epoch: order.epoch })))
      return this.reply(false, 'the engine holds a higher fence');
    this.promised = order.epoch;
    this.prepared = undefined;
    const state = await this.engine.read({ ...STATE_ONLY, counts: order.wantsCounts ?? false });
    const held = state.map.layers.map((layer) => layer[this.rank()] ?? []);
    const counts = state.counts?.map((layer, l) =>
      (held[l] ?? []).map((expert) => layer[expert] ?? 0),
    );
    // An engine that tells no more than its own part of the map has nothing to tell here.
    const isTold = state.map.layers.length > 0 && !order.knownMapIds?.includes(state.map.id);
    const map = isTold ? packMap(state.map) : undefined;
    return { ...this.describe(state, true), counts, ...(map ? { map } : {}) };
  }

  private async act(order: RankOrder): Promise<boolean> {
    const { engine } = this;
    const { epoch } = order;
    // The promise stands in this incarnation: the reply's state is the answer.
    if (order.kind === 'recheck') return true;
    if (order.kind === 'prepare') {
      const map = order.map && unpackMap(order.map);
      if (!map) return false;
      this.prepared = map;
      return engine.order({ kind: 'load', epoch, map });
    }
    if (order.kind === 'arm') {
      const { prepared } = this;
      if (!prepared || prepared.id !== order.mapId || order.step === undefined) return false;
      // An engine that checks no fences is protected by looking first: nobody else gives it orders.
      const state = await engine.read(STATE_ONLY);
      if (state.armed || order.step <= state.step) return false;
      return engine.order({ kind: 'arm', epoch, map: prepared, step: order.step });
    }
    if (order.kind === 'promise' || order.kind === 'look' || order.target === undefined)
      return false;
    return engine.order({ kind: order.kind, epoch, target: order.target });
  }

  private async reply(done: boolean, detail: string | undefined): Promise<RankReply> {
    const state = await this.engine.read(STATE_ONLY);
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
      ...(state.rank === undefined ? {} : { rank: state.rank }),
      ...(state.ranks === undefined ? {} : { ranks: state.ranks }),
      ...(state.groupEpoch === undefined ? {} : { groupEpoch: state.groupEpoch }),
      ...(state.armed ? { armed: state.armed } : {}),
    };
  }
}
