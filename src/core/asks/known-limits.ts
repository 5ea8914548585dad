/**
 * The limits that endpoints named, as entries put them together. What is known of one is the time at which it was named last and
 * the time from which it was seen not to be named any more; both only grow, so that they may be told in any order and more than
 * once, without a coordinator.
 */
import type { Clock } from '../clock/index.js';
import { asId, type EndpointId } from '../ids/index.js';
import type { EndpointProcess } from '../published/types.js';
import type { ToldLimit } from '../../generated/messages.types.js';
import { RELEASE_MS, TELL_AGAIN_MS, UNLISTED_MS } from './consts.js';

/** What is known of one endpoint. */
interface Known {
  readonly startedAtMs: number;
  limitPerS: number;
  /** When it was named last. */
  namedAtMs: number;
  /** When a request was sent that was answered without it. */
  endedAtMs: number;
  /** When others were last told that it stands. */
  toldAtMs: number;
  /** When it was found to be over here. */
  releasedAtMs: number | undefined;
  /** Version at which this last changed. */
  version: number;
}

/** A limit at one moment. */
export interface LimitNow {
  readonly limitPerS: number;
  /** Time since it was over, ms; undefined while it stands. */
  readonly releasedMs: number | undefined;
}

/** A limit that was named, changed or ended. */
export interface LimitChange {
  readonly endpoint: EndpointId;
  /** Requests/s that the endpoint takes; undefined where the limit ended. */
  readonly limitPerS: number | undefined;
}

/** What one entry knows, with what others told it. Times are those of its clock, ms. */
export class KnownLimits {
  private readonly byId = new Map<EndpointId, Known>();
  /** Endpoints of which this entry has heard something itself that others were not told. */
  private readonly untold = new Set<EndpointId>();
  private changes = 0;

  /** @param onChange called when a limit is named, changes or ends */
  constructor(
    private readonly clock: Pick<Clock, 'nowMs'>,
    private readonly onChange: (change: LimitChange) => void = () => undefined,
  ) {}

  /** Rises with each change. */
  get version(): number {
    return this.changes;
  }

  /** Whether no endpoint has a limit, so that none needs to be looked at. */
  get isEmpty(): boolean {
    return this.byId.size === 0;
  }

  /**
   * The limit of an endpoint; undefined where it has none.
   * @example const limit = limits.of(endpoint);
   */
  of({ id, startedAtMs }: EndpointProcess): LimitNow | undefined {
    const known = this.byId.get(id);
    if (!known || known.startedAtMs !== startedAtMs) return undefined;
    const nowMs = this.clock.nowMs();
    const { limitPerS } = known;
    if (known.namedAtMs > known.endedAtMs) return { limitPerS, releasedMs: undefined };
    known.releasedAtMs ??= nowMs;
    const releasedMs = nowMs - known.releasedAtMs;
    return releasedMs < RELEASE_MS ? { limitPerS, releasedMs } : undefined;
  }

  /** Notes that an endpoint named a limit in an answer; true where that is news. */
  noteNamed(process: EndpointProcess, limitPerS: number): boolean {
    const isNew = this.takeNamed(process, limitPerS, this.clock.nowMs());
    if (isNew) this.untold.add(process.id);
    return isNew;
  }

  /** Notes an answer without a limit to a request that was sent at a time; true where that ends one. */
  noteUnnamed(process: EndpointProcess, sentAtMs: number): boolean {
    const isNew = this.takeEnded(process, sentAtMs);
    if (isNew) this.untold.add(process.id);
    return isNew;
  }

  private takeNamed(process: EndpointProcess, limitPerS: number, atMs: number): boolean {
    const known = this.at(process);
    if (!known || atMs <= known.namedAtMs) return false;
    const isAsBefore = known.namedAtMs > known.endedAtMs && known.limitPerS === limitPerS;
    known.limitPerS = limitPerS;
    known.namedAtMs = atMs;
    if (known.namedAtMs <= known.endedAtMs) return false;
    known.releasedAtMs = undefined;
    if (isAsBefore && atMs - known.toldAtMs < TELL_AGAIN_MS) return false;
    known.toldAtMs = atMs;
    this.change(known);
    if (!isAsBefore) this.onChange({ endpoint: process.id, limitPerS });
    return true;
  }

  private takeEnded(process: EndpointProcess, atMs: number): boolean {
    const known = this.byId.get(process.id);
    if (!known || known.startedAtMs !== process.startedAtMs) return false;
    // It may have been answered before the endpoint came into need.
    if (atMs <= known.namedAtMs || atMs <= known.endedAtMs) return false;
    const stood = known.namedAtMs > known.endedAtMs;
    known.endedAtMs = atMs;
    if (!stood) return false;
    this.change(known);
    this.onChange({ endpoint: process.id, limitPerS: undefined });
    return true;
  }

  /** What is known of a process; undefined where a later one is known. */
  private at({ id, startedAtMs }: EndpointProcess): Known | undefined {
    const known = this.byId.get(id);
    if (known && known.startedAtMs > startedAtMs) return undefined;
    if (known?.startedAtMs === startedAtMs) return known;
    const never = Number.NEGATIVE_INFINITY;
    const made: Known = {
      startedAtMs,
      limitPerS: 0,
      namedAtMs: never,
      endedAtMs: never,
      toldAtMs: never,
      releasedAtMs: undefined,
      version: 0,
    };
    this.byId.set(id, made);
    return made;
  }

  private change(known: Known): void {
    this.changes += 1;
    known.version = this.changes;
  }

  /** Endpoints of which this entry has learnt something itself since the last call. */
  takeUntold(): EndpointId[] {
    const ids = [...this.untold];
    this.untold.clear();
    return ids;
  }

  /** What has changed since a version, for others. */
  newsSince(version: number): ToldLimit[] {
    return [...this.byId].flatMap(([id, known]) => (known.version > version ? this.tell(id) : []));
  }

  private tell(id: EndpointId): ToldLimit[] {
    const told = this.describe(id);
    return told ? [told] : [];
  }

  /** What is known of an endpoint's limit, for others; undefined where nothing is. */
  describe(id: EndpointId): ToldLimit | undefined {
    const known = this.byId.get(id);
    if (!known) return undefined;
    const nowMs = this.clock.nowMs();
    const { startedAtMs, limitPerS, namedAtMs, endedAtMs } = known;
    return {
      endpoint: id,
      startedAtMs,
      limitPerS,
      namedAgoMs: Math.max(0, Math.round(nowMs - namedAtMs)),
      ...(endedAtMs > Number.NEGATIVE_INFINITY && {
        endedAgoMs: Math.max(0, Math.round(nowMs - endedAtMs)),
      }),
    };
  }

  /**
   * Takes what another entry told; whether any of it was new.
   * @example if (limits.take(news.limits)) relay.wake();
   */
  take(told: readonly ToldLimit[]): boolean {
    const before = this.changes;
    const nowMs = this.clock.nowMs();
    for (const { endpoint, startedAtMs, limitPerS, namedAgoMs, endedAgoMs } of told) {
      const process = { id: asId<EndpointId>(endpoint), startedAtMs };
      this.takeNamed(process, limitPerS, nowMs - namedAgoMs);
      if (endedAgoMs !== undefined) this.takeToldEnd(process, nowMs - endedAgoMs);
    }
    return this.changes > before;
  }

  /** Takes an end that another entry saw; one from before the limit was last named here is answered with that. */
  private takeToldEnd(process: EndpointProcess, atMs: number): void {
    const known = this.byId.get(process.id);
    const isOutdated = known && known.namedAtMs > atMs && known.namedAtMs > known.endedAtMs;
    if (isOutdated && known.startedAtMs === process.startedAtMs) this.untold.add(process.id);
    this.takeEnded(process, atMs);
  }

  /** Drops limits that are over, and those of endpoints that are gone. */
  forget(isListed: (id: EndpointId) => boolean): void {
    const nowMs = this.clock.nowMs();
    for (const [id, { namedAtMs, endedAtMs }] of this.byId) {
      const isOver = endedAtMs >= namedAtMs || !isListed(id);
      if (isOver && nowMs - Math.max(namedAtMs, endedAtMs) > UNLISTED_MS) this.byId.delete(id);
    }
  }
}
