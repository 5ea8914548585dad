/** Turns at a group of engines in lock-step: how many streams this entry may run there, and who waits. */
import { sleep, type Clock } from '../core/clock/index.js';
import { Outage, placesOf, StreamLimit, TurnQueue, type StepModel } from '../core/limits/index.js';
import type { LogFields } from '../core/logging/index.js';
import type { EngineInfo, RouteId } from '../core/published/index.js';
import type { GroupSize } from './group-sight.js';

/** Places of an entry that has not heard of the group for a while. */
const PLACES_UNSEEN = 6;
/** Allowed pause while no request has told one, ms. */
const USUAL_PAUSE_MS = 120;

/**
 * Part of the longest wait seen on a route below which a caller is one that came back: who was refused
 * has waited a second or more of the eight that it waits at first.
 */
const RETURNING_SHARE = 0.9;
/** How often a request that outlasts an outage looks whether it is over, ms. */
const OUTAGE_POLL_MS = 40;

/** What turns need to know. */
export interface TurnsParts {
  readonly clock: Clock;
  /** The engines as published; undefined when they are so no longer. */
  readonly engine: () => EngineInfo | undefined;
  /** The group as it was seen a moment ago; undefined when that is too long ago. */
  readonly size: () => GroupSize | undefined;
}

/** Turns of one service at one entry. */
export class Turns {
  readonly queue: TurnQueue;
  readonly outage = new Outage();
  private readonly limit = new StreamLimit();
  private allowedPauseMs = USUAL_PAUSE_MS;
  /** Longest time that a caller of each route said it would wait, ms. */
  private readonly longestWaitMs = new Map<RouteId, number>();

  constructor(private readonly parts: TurnsParts) {
    this.queue = new TurnQueue(() => this.places);
  }

  /** Streams that this entry may run now. */
  get places(): number {
    const size = this.parts.size();
    const model = this.model(size);
    if (!size || !model) return PLACES_UNSEEN;
    return placesOf({
      limit: this.limit.streams(this.allowedPauseMs, model),
      running: size.running,
      own: this.queue.running,
      entries: size.entries,
    });
  }

  /** Streams and limit of the group, and this entry's part, for the log; undefined while it is unseen. */
  figures(): LogFields | undefined {
    const size = this.parts.size();
    const model = this.model(size);
    if (!size || !model) return undefined;
    return {
      running: size.running,
      limit: Math.round(this.limit.streams(this.allowedPauseMs, model)),
      entries: size.entries,
      own: this.queue.running,
      places: this.places,
      queued: this.queue.queued,
    };
  }

  /** What decided the places, for the log. */
  describe(): string {
    const size = this.parts.size();
    const model = this.model(size);
    const limit = model ? this.limit.streams(this.allowedPauseMs, model).toFixed(0) : 'unknown';
    const group = size
      ? `${size.running} of ${limit} in the group of ${size.entries} entries`
      : 'group unseen';
    return `${this.queue.running} of ${this.places} places taken, ${this.queue.queued} wait, ${group}`;
  }

  /**
   * Whether a caller has been refused before: it says that it waits much less than others of its route.
   * @example turns.isReturning(route.id, 5600) // true where others wait 8 s
   */
  isReturning(route: RouteId, waitsMs: number): boolean {
    const longest = Math.max(this.longestWaitMs.get(route) ?? 0, waitsMs);
    this.longestWaitMs.set(route, longest);
    return waitsMs < longest * RETURNING_SHARE;
  }

  /**
   * Waits for the end of an outage, or for this request's turn to try whether it is over; false when
   * neither comes within `withinMs`, or the caller leaves.
   */
  async outlast(withinMs: number, gone: AbortSignal): Promise<boolean> {
    const untilMs = this.parts.clock.nowMs() + withinMs;
    while (this.outage.refuses(this.parts.clock.nowMs())) {
      if (gone.aborted || this.parts.clock.nowMs() >= untilMs) return false;
      await sleep(OUTAGE_POLL_MS);
    }
    return true;
  }

  /** Takes the pause that a route allows between events, ms. */
  allowPauses(ms: number): void {
    this.allowedPauseMs = ms;
  }

  /** Notes a pause between two events of a stream, ms. */
  notePause(pauseMs: number): void {
    const size = this.parts.size();
    const model = this.model(size);
    if (size && model) this.limit.notePause(pauseMs, size.running, model, this.parts.clock.nowMs());
  }

  private model(size: GroupSize | undefined): StepModel | undefined {
    const engine = this.parts.engine();
    return size && engine && { ...engine, ranks: size.ranks };
  }
}
