/**
 * The participant side of the two-phase map switch: serializes orders to the engine of one rank. It
 * refuses epochs below its promise, and orders addressed to another incarnation of the agent, since
 * a restarted agent has lost its promises.
 */
import type { Incarnation } from '../ids/index.js';
import { CountDeltas } from './count-deltas.js';
import { setAndEvictOldest } from './evict-oldest.js';
import { packCounts, packMap, unpackMapChange, unpackMap } from './packing.js';
import type { ExpertMap, RankOrder, RankReply } from './types.js';

/** State of a rank as reported by its engine. */
export interface EngineState {
  readonly step: number;
  readonly map: ExpertMap;
  readonly armed: RankReply['armed'];
  readonly lastConfirmed: number;
  /** Epoch of the most recent map whose experts the engine has loaded, whether in use or not. */
  readonly preparedEpoch?: number;
  /** Name of the group, as reported by the engine. */
  readonly group?: string;
  /** Index of this rank in the group, as reported by the engine. */
  readonly rank?: number;
  /** Number of ranks in the group, as reported by the engine. */
  readonly ranks?: number;
  /** Slowdown factor of the engine; 1 is its normal speed. */
  readonly pace?: number;
  readonly running?: number;
  readonly queued?: number;
  /** Number of times the group was formed, if the engine reports it. */
  readonly groupEpoch?: number;
  /** Start time of the engine process, Unix ms, if the engine reports it. */
  readonly engineStartedAtMs?: number;
  /** Experts held by this rank, by layer, if the engine knows only its own part of the map. */
  readonly placed?: number[][];
  /**
   * Cumulative tokens of this rank's own requests since the engine started, by layer and expert.
   */
  readonly picked?: number[][];
}

/** Optional parts of an engine read; each costs an extra call or extra bytes. */
export interface ReadOptions {
  /** Token counts, by layer and slot or by layer and expert. */
  readonly counts: boolean;
  /** Experts held by the rank, unless its map is one of `knownMapIds`. */
  readonly placed: boolean;
  readonly knownMapIds: readonly string[];
}

/**
 * Factor by which the promised epoch grows when the engine's fence is higher. The engine does not
 * report its fence, so doubling finds an epoch above it in a few rounds without state from earlier
 * incarnations.
 */
const FENCED_EPOCH_FACTOR = 2;

/** Maps kept as bases for map changes: at least the one in use and one being prepared. */
const MAX_KEPT_MAPS = 3;

const STATE_ONLY: ReadOptions = { counts: false, placed: false, knownMapIds: [] };

/** Client of the engine that runs a rank. */
export interface RankEngine {
  /** Reads the current state and the requested optional parts. */
  read(options: ReadOptions): Promise<EngineState & { readonly counts?: number[][] }>;
  /** Sends an order with its epoch as fencing token. */
  order(order: EngineOrder): Promise<OrderOutcome>;
}

/**
 * Outcome of an order to the engine; `fenced` when the engine has seen a higher fence, or an equal
 * one from an earlier incarnation.
 */
export type OrderOutcome = 'done' | 'refused' | 'fenced';

/** Order to the engine. */
export type EngineOrder =
  | { readonly kind: 'fence'; readonly epoch: number }
  | { readonly kind: 'load'; readonly epoch: number; readonly map: ExpertMap }
  | { readonly kind: 'arm'; readonly epoch: number; readonly map: ExpertMap; readonly step: number }
  | { readonly kind: 'confirm' | 'abort'; readonly epoch: number; readonly target: number };

/** Executes the orders of coordinators for one rank. */
export class SwitchParticipant {
  private promisedEpoch = 0;
  private prepared: ExpertMap | undefined;
  /** Maps prepared by this rank, by id. An id is never reused for a different map. */
  private readonly mapsById = new Map<string, ExpertMap>();
  private readonly deltas = new CountDeltas();
  private queue: Promise<unknown> = Promise.resolve();

  /** @param rank returns the index of this rank in its group, used to select its counts */
  constructor(
    private readonly incarnation: Incarnation,
    private readonly engine: RankEngine,
    private readonly rank: () => number,
  ) {}

  /** Epoch that counts as promised by this incarnation; lower epochs are refused. */
  get epoch(): number {
    return this.promisedEpoch;
  }

  /**
   * Executes an order after all earlier ones; polls are not queued.
   * @example await participant.serve({ group, kind: 'promise', epoch: 1024 })
   */
  serve(order: RankOrder): Promise<RankReply> {
    // A poll changes no state and must not wait behind a long copy.
    if (order.kind === 'look') return this.poll(order);
    const served = this.queue.then(() => this.serveNow(order));
    this.queue = served.catch(() => undefined);
    return served;
  }

  /**
   * Reads the engine state. The engine outlives its agents, so epochs that it reports were promised
   * by some incarnation of this agent and remain binding.
   */
  private async read(options: ReadOptions): ReturnType<RankEngine['read']> {
    const state = await this.engine.read(options);
    const observedEpochs = [state.lastConfirmed, state.armed?.epoch ?? 0, state.preparedEpoch ?? 0];
    this.promisedEpoch = Math.max(this.promisedEpoch, ...observedEpochs);
    return state;
  }

  private async serveNow(order: RankOrder): Promise<RankReply> {
    if (order.kind === 'promise') return this.promise(order);
    if (order.incarnation !== this.incarnation)
      return this.reply(false, 'order is for another incarnation of this rank');
    if (order.epoch !== this.promisedEpoch)
      return this.reply(false, `order does not match promised epoch ${this.promisedEpoch}`);
    if (order.kind === 'prepare') return this.prepare(order);
    return this.replyWithOutcome(await this.execute(order));
  }

  private async poll(order: RankOrder): Promise<RankReply> {
    const state = await this.read({
      counts: order.wantsCounts ?? false,
      placed: true,
      knownMapIds: order.knownMapIds ?? [],
    });
    const { placed, picked, pace, running, queued } = state;
    const delta = picked && this.deltas.takeDelta(order.from ?? '', state, picked);
    const counted = delta && packCounts(delta);
    return { ...this.describe(state, true), placed, counted, pace, running, queued };
  }

  private async promise(order: RankOrder): Promise<RankReply> {
    if (order.epoch <= this.promisedEpoch)
      return this.reply(false, `epoch ${this.promisedEpoch} is already promised`);
    const outcome = await this.engine.order({ kind: 'fence', epoch: order.epoch });
    if (outcome === 'fenced') this.promisedEpoch = order.epoch * FENCED_EPOCH_FACTOR;
    if (outcome !== 'done') return this.reply(false, `engine did not accept the fence: ${outcome}`);
    this.promisedEpoch = order.epoch;
    this.prepared = undefined;
    const state = await this.read({ ...STATE_ONLY, counts: order.wantsCounts ?? false });
    const held = state.map.layers.map((layer) => layer[this.rank()] ?? []);
    const counts = state.counts?.map((layer, l) =>
      (held[l] ?? []).map((expert) => layer[expert] ?? 0),
    );
    // An engine that knows only its own part of the map reports no layers.
    const shouldSendMap = state.map.layers.length > 0 && !order.knownMapIds?.includes(state.map.id);
    const map = shouldSendMap ? packMap(state.map) : undefined;
    return { ...this.describe(state, true), counts, ...(map ? { map } : {}) };
  }

  /** Decodes the map of a prepare order; undefined when its base is missing or it is malformed. */
  private buildMap({ map, change }: RankOrder): ExpertMap | undefined {
    if (map) return unpackMap(map);
    const base = change && this.mapsById.get(change.base);
    return base && unpackMapChange(base, change);
  }

  private async prepare(order: RankOrder): Promise<RankReply> {
    const map = this.buildMap(order);
    if (!map) {
      const reply = await this.reply(false, 'cannot build map: unknown base or malformed data');
      return { ...reply, lacksBase: true };
    }
    this.prepared = map;
    setAndEvictOldest(this.mapsById, map.id, map, MAX_KEPT_MAPS);
    return this.replyWithOutcome(
      await this.sendToEngine({ kind: 'load', epoch: order.epoch, map }),
    );
  }

  /** Sends an order to the engine and returns whether it was executed. */
  private async sendToEngine(order: EngineOrder): Promise<boolean> {
    return (await this.engine.order(order)) === 'done';
  }

  private async execute(order: RankOrder): Promise<boolean> {
    const { epoch } = order;
    // The incarnation and epoch checks have passed, so the promise holds; the reply carries the
    // state.
    if (order.kind === 'recheck') return true;
    if (order.kind === 'arm') {
      const { prepared } = this;
      if (!prepared || prepared.id !== order.mapId || order.step === undefined) return false;
      // Protects engines that do not check fences. Safe, since only this agent sends orders to the
      // engine.
      const state = await this.read(STATE_ONLY);
      if (state.armed || order.step <= state.step) return false;
      return this.sendToEngine({ kind: 'arm', epoch, map: prepared, step: order.step });
    }
    if (order.kind !== 'confirm' && order.kind !== 'abort') return false;
    if (order.target === undefined) return false;
    return this.sendToEngine({ kind: order.kind, epoch, target: order.target });
  }

  private replyWithOutcome(done: boolean): Promise<RankReply> {
    return this.reply(
      done,
      done ? undefined : 'order is invalid in the current state or was rejected by the engine',
    );
  }

  private async reply(done: boolean, detail: string | undefined): Promise<RankReply> {
    const state = await this.read(STATE_ONLY);
    return { ...this.describe(state, done), ...(detail ? { detail } : {}) };
  }

  private describe(state: EngineState, done: boolean): RankReply {
    return {
      done,
      incarnation: this.incarnation,
      promised: this.promisedEpoch,
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
