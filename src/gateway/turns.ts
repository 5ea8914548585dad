/** Turns at a group of engines in lock-step: how many streams this entry may run there, and who waits. */
import type { Clock } from '../core/clock/index.js';
import {
  Outage,
  OwnCount,
  placesOf,
  runningNow,
  StreamLimit,
  TurnQueue,
  type GroupCount,
  type StepModel,
} from '../core/limits/index.js';
import type { LogFields } from '../core/logging/index.js';
import type { EngineInfo } from '../core/published/index.js';
import type { GroupSize } from './group-sight.js';

/** Places of an entry that has never heard of the group. */
const PLACES_UNSEEN = 6;
/** Allowed pause while no request has told one, ms. */
const USUAL_PAUSE_MS = 120;

/** Time after its first failure from which a group that is seen whole ends an outage, ms. */
const SEEN_ENDS_AFTER_MS = 1000;
/**
 * Time after the first failure from which a look at the group tells of the outage, ms. What is seen is up to 2 s old: a
 * look from before it would end an outage that goes on, and send callers to ranks that refuse them.
 */
const LOOK_TELLS_AFTER_MS = 400;

/** What turns need to know. */
export interface TurnsParts {
  readonly clock: Clock;
  /** The engines as published; undefined when they are so no longer. */
  readonly engine: () => EngineInfo | undefined;
  /** The group as it was seen a moment ago; undefined when that is too long ago. */
  readonly size: () => GroupSize | undefined;
}

/** What decides the places of one entry at a group. */
export interface TurnsFigures extends LogFields {
  /** Streams that the group ran when it was counted, how long ago that was, and what it is taken to run now. */
  readonly running: number;
  readonly ageMs: number;
  readonly now: number;
  /** Streams that it may run. */
  readonly limit: number;
  readonly entries: number;
  /** Streams of this entry, its places, and those who wait. */
  readonly own: number;
  readonly places: number;
  readonly queued: number;
}

/** Turns of one group at one entry. */
export class Turns {
  readonly queue: TurnQueue;
  readonly outage = new Outage();
  private readonly limit = new StreamLimit();
  private readonly own = new OwnCount();
  private allowedPauseMs = USUAL_PAUSE_MS;
  /** Places when the group was last seen: they stand while it is not. */
  private lastPlaces = PLACES_UNSEEN;

  constructor(private readonly parts: TurnsParts) {
    this.queue = new TurnQueue(
      () => this.places,
      (taken) => this.own.note(taken, parts.clock.nowMs()),
    );
  }

  /** Streams that this entry may run now. */
  get places(): number {
    const seen = this.seen();
    if (!seen) return this.lastPlaces;
    const { count, model } = seen;
    const limit = this.limit.streams(this.allowedPauseMs, model);
    this.lastPlaces = placesOf({ ...count, limit });
    return this.lastPlaces;
  }

  /** Streams and limit of the group, and this entry's part, for the log; undefined while it is unseen. */
  figures(): TurnsFigures | undefined {
    const seen = this.seen();
    if (!seen) return undefined;
    const { size, count, model } = seen;
    return {
      running: size.running,
      ageMs: Math.round(count.ageMs),
      now: Math.round(runningNow(count)),
      limit: Math.round(this.limit.streams(this.allowedPauseMs, model)),
      entries: size.entries,
      own: this.queue.running,
      places: this.places,
      queued: this.queue.queued,
    };
  }

  /** What decided the places, for the log. */
  describe(): string {
    const seen = this.figures();
    const group = seen
      ? `${seen.now} of ${seen.limit} in the group of ${seen.entries} entries, ${seen.running} counted ${seen.ageMs} ms ago`
      : 'group unseen';
    return `${this.queue.running} of ${this.places} places taken, ${this.queue.queued} wait, ${group}`;
  }

  /** Notes that the group was seen whole: an outage that had lasted for a while by then is over. */
  noteSeen(): void {
    const nowMs = this.parts.clock.nowMs();
    const seenAtMs = this.parts.size()?.countedAtMs ?? nowMs;
    const isTold = this.outage.lastedMs(seenAtMs) > LOOK_TELLS_AFTER_MS;
    if (isTold && this.outage.lastedMs(nowMs) > SEEN_ENDS_AFTER_MS) this.outage.noteGood();
    // More may be allowed than when those who wait asked.
    this.queue.giveFree();
  }

  /** Takes the pause that a route allows between events, ms. */
  allowPauses(ms: number): void {
    this.allowedPauseMs = ms;
  }

  /** Notes a pause between two events of a stream, ms. */
  notePause(pauseMs: number): void {
    const seen = this.seen();
    if (!seen) return;
    const { count, model } = seen;
    // Beside a count of long ago a step would seem far slower or faster for its streams than it is.
    this.limit.notePause(pauseMs, runningNow(count), model, this.parts.clock.nowMs());
  }

  /** The group as it is known now; undefined while it is unseen or its engines are not published. */
  private seen():
    | { readonly size: GroupSize; readonly count: GroupCount; readonly model: StepModel }
    | undefined {
    const size = this.parts.size();
    const engine = this.parts.engine();
    if (!size || !engine) return undefined;
    const count: GroupCount = {
      running: size.running,
      ageMs: this.parts.clock.nowMs() - size.countedAtMs,
      ownThen: this.own.at(size.countedAtMs),
      own: this.queue.running,
      entries: size.entries,
    };
    return { size, count, model: { ...engine, ranks: size.ranks } };
  }
}
