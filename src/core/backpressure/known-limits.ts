/**
 * The rate limits that endpoints named, merged from what all entries observed. A limit is described
 * by the time at which it was last named and the send time of the last request answered without it.
 * Both only grow, so updates may be merged in any order and more than once.
 */
import { randomInt } from 'node:crypto';
import type { Clock } from '../clock/index.js';
import { asId, type EndpointId } from '../ids/index.js';
import type { EndpointProcess } from '../published/types.js';
import type { LimitObservation } from '../../generated/messages.types.js';
import { ANNOUNCE_MS, RELEASE_MS, UNLISTED_MS } from './consts.js';

const MAX_FIRST_ID = 2 ** 47;

/** One answer of an endpoint, as some entry saw it. */
interface Observation {
  /** The same at every entry that receives it. */
  readonly id: number;
  readonly atMs: number;
}

/** What is known about the limit of one endpoint. */
interface LimitRecord {
  readonly startedAtMs: number;
  limitPerS: number;
  /** When the limit was last named. */
  namedAtMs: number;
  namedId: number;
  /** Send time of the last request that was answered without a limit. */
  endedAtMs: number;
  endedId: number;
  /** When the limit was last announced to others. */
  announcedAtMs: number;
  /** When this entry first found the limit ended. */
  releasedAtMs: number | undefined;
  /** Version at which this last changed. */
  version: number;
}

/** A limit as of now. */
export interface CurrentLimit {
  readonly limitPerS: number;
  /** Time since it ended, ms; undefined while it is in effect. */
  readonly releasedMs: number | undefined;
}

/** A limit that was first named, changed or ended. */
export interface LimitChange {
  readonly endpoint: EndpointId;
  /** Requests/s that the endpoint accepts; undefined if the limit ended. */
  readonly limitPerS: number | undefined;
}

/** The limits known to one entry. Times are those of its clock, ms. */
export class KnownLimits {
  private readonly byId = new Map<EndpointId, LimitRecord>();
  /** Endpoints whose limits this entry has yet to announce. */
  private readonly pending = new Set<EndpointId>();
  private changes = 0;
  /**
   * Ids of this entry's observations; starts at random, since they are compared with those of
   * others.
   */
  private lastId = randomInt(MAX_FIRST_ID);

  /** @param onChange called when a limit is named, changes or ends */
  constructor(
    private readonly clock: Pick<Clock, 'nowMs'>,
    private readonly onChange: (change: LimitChange) => void = () => undefined,
  ) {}

  /** Rises with each change. */
  get version(): number {
    return this.changes;
  }

  /** Whether no limit is known. */
  get isEmpty(): boolean {
    return this.byId.size === 0;
  }

  /**
   * The limit of an endpoint; undefined if it has none.
   * @example const limit = limits.of(endpoint);
   */
  of({ id, startedAtMs }: EndpointProcess): CurrentLimit | undefined {
    const known = this.byId.get(id);
    if (!known || known.startedAtMs !== startedAtMs) return undefined;
    const nowMs = this.clock.nowMs();
    const { limitPerS } = known;
    if (known.namedAtMs > known.endedAtMs) return { limitPerS, releasedMs: undefined };
    known.releasedAtMs ??= nowMs;
    const releasedMs = nowMs - known.releasedAtMs;
    return releasedMs < RELEASE_MS ? { limitPerS, releasedMs } : undefined;
  }

  /** Notes that an endpoint named a limit in an answer; true if it must be announced. */
  noteNamed(process: EndpointProcess, limitPerS: number): boolean {
    const isNew = this.takeNamed(process, limitPerS, this.observe(this.clock.nowMs()));
    if (isNew) this.pending.add(process.id);
    return isNew;
  }

  /** Notes an answer without a limit to a request sent at a time; true if it ends one. */
  noteUnnamed(process: EndpointProcess, sentAtMs: number): boolean {
    const isNew = this.takeEnded(process, this.observe(sentAtMs));
    if (isNew) this.pending.add(process.id);
    return isNew;
  }

  private observe(atMs: number): Observation {
    this.lastId += 1;
    return { id: this.lastId, atMs };
  }

  private takeNamed(
    process: EndpointProcess,
    limitPerS: number,
    { id, atMs }: Observation,
  ): boolean {
    const known = this.at(process);
    if (!known || atMs <= known.namedAtMs) return false;
    const isUnchanged = known.namedAtMs > known.endedAtMs && known.limitPerS === limitPerS;
    known.limitPerS = limitPerS;
    known.namedAtMs = atMs;
    known.namedId = id;
    if (known.namedAtMs <= known.endedAtMs) return false;
    known.releasedAtMs = undefined;
    if (isUnchanged && atMs - known.announcedAtMs < ANNOUNCE_MS) return false;
    known.announcedAtMs = atMs;
    this.change(known);
    if (!isUnchanged) this.onChange({ endpoint: process.id, limitPerS });
    return true;
  }

  private takeEnded(process: EndpointProcess, { id, atMs }: Observation): boolean {
    const known = this.byId.get(process.id);
    if (!known || known.startedAtMs !== process.startedAtMs) return false;
    // A request sent before the limit was named may also have been answered before that.
    if (atMs <= known.namedAtMs || atMs <= known.endedAtMs) return false;
    const wasInEffect = known.namedAtMs > known.endedAtMs;
    known.endedAtMs = atMs;
    known.endedId = id;
    if (!wasInEffect) return false;
    this.change(known);
    this.onChange({ endpoint: process.id, limitPerS: undefined });
    return true;
  }

  /** The record of a process; undefined if a later process is known. */
  private at({ id, startedAtMs }: EndpointProcess): LimitRecord | undefined {
    const known = this.byId.get(id);
    if (known && known.startedAtMs > startedAtMs) return undefined;
    if (known?.startedAtMs === startedAtMs) return known;
    const never = Number.NEGATIVE_INFINITY;
    const made: LimitRecord = {
      startedAtMs,
      limitPerS: 0,
      namedAtMs: never,
      namedId: 0,
      endedAtMs: never,
      endedId: 0,
      announcedAtMs: never,
      releasedAtMs: undefined,
      version: 0,
    };
    this.byId.set(id, made);
    return made;
  }

  private change(known: LimitRecord): void {
    this.changes += 1;
    known.version = this.changes;
  }

  /** Endpoints whose limits are to be announced; each is returned once. */
  takePending(): EndpointId[] {
    const ids = [...this.pending];
    this.pending.clear();
    return ids;
  }

  /** Limits that changed since a version. */
  changesSince(version: number): LimitObservation[] {
    const ids = [...this.byId].filter(([, known]) => known.version > version).map(([id]) => id);
    return ids.map((id) => this.describe(id)).filter((limit) => limit !== undefined);
  }

  /** An endpoint's limit as a message; undefined if none is known. */
  describe(id: EndpointId): LimitObservation | undefined {
    const known = this.byId.get(id);
    if (!known) return undefined;
    const nowMs = this.clock.nowMs();
    const { startedAtMs, limitPerS, namedAtMs, namedId, endedAtMs, endedId } = known;
    return {
      endpoint: id,
      startedAtMs,
      limitPerS,
      namedAgoMs: Math.max(0, Math.round(nowMs - namedAtMs)),
      namedId,
      ...(endedAtMs > Number.NEGATIVE_INFINITY && {
        endedAgoMs: Math.max(0, Math.round(nowMs - endedAtMs)),
        endedId,
      }),
    };
  }

  /**
   * Merges limits from another entry; true if any of them changed.
   * @example if (limits.merge(update.limits)) relay.wake();
   */
  merge(limits: readonly LimitObservation[]): boolean {
    const before = this.changes;
    const nowMs = this.clock.nowMs();
    for (const limit of limits) {
      const process = { id: asId<EndpointId>(limit.endpoint), startedAtMs: limit.startedAtMs };
      const { namedAgoMs, namedId, endedAgoMs, endedId } = limit;
      const known = this.byId.get(process.id);
      // An observation returned by another entry would seem newer by its time in transit.
      const isSame = known?.startedAtMs === process.startedAtMs;
      if (!isSame || known.namedId !== namedId)
        this.takeNamed(process, limit.limitPerS, { id: namedId, atMs: nowMs - namedAgoMs });
      const isEndKnown = isSame && known.endedId === endedId;
      if (endedAgoMs !== undefined && endedId !== undefined && !isEndKnown)
        this.mergeEnd(process, { id: endedId, atMs: nowMs - endedAgoMs });
    }
    return this.changes > before;
  }

  private mergeEnd(process: EndpointProcess, end: Observation): void {
    const known = this.byId.get(process.id);
    const isOutdated = known && known.namedAtMs > known.endedAtMs && known.namedAtMs > end.atMs;
    // The sender does not know that the limit was named after that.
    if (isOutdated && known.startedAtMs === process.startedAtMs) this.pending.add(process.id);
    this.takeEnded(process, end);
  }

  /** Drops ended limits and those of endpoints that are no longer listed. */
  forget(isListed: (id: EndpointId) => boolean): void {
    const nowMs = this.clock.nowMs();
    for (const [id, { namedAtMs, endedAtMs }] of this.byId) {
      const isOver = endedAtMs >= namedAtMs || !isListed(id);
      if (isOver && nowMs - Math.max(namedAtMs, endedAtMs) > UNLISTED_MS) this.byId.delete(id);
    }
  }
}
