/** Turns at a group of engines in lock-step: how many streams this entry may run there, and who waits. */
import type { Clock } from '../core/clock/index.js';
import { Outage, placesOf, StreamLimit, TurnQueue, type StepModel } from '../core/limits/index.js';
import type { Metrics } from '../core/metrics/index.js';
import type { EngineInfo } from '../core/published/index.js';
import type { GroupSize } from './group-sight.js';

/** Places of an entry that has not heard of the group for a while. */
const PLACES_UNSEEN = 6;
/** Allowed pause while no request has told one, ms. */
const USUAL_PAUSE_MS = 120;

/** What turns need to know. */
export interface TurnsParts {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly service: string;
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
