/** Slots of this entry at a group of lock-step engines, and the admission queue of requests that wait for one. */
import type { Clock } from '../../core/clock/index.js';
import {
  OutageDetector,
  StreamCountHistory,
  slotsForEntry,
  estimateInFlight,
  StreamLimitEstimator,
  WaitQueue,
  type GroupStreamCount,
  type StepModel,
} from '../../core/limits/index.js';
import type { LogFields } from '../../core/logging/index.js';
import { ReturnPlan } from '../../core/retry-schedule/index.js';
import type { EngineInfo } from '../../core/published/index.js';
import {
  admittedSlots,
  fractionFor,
  minUsedSlots,
  queueSlots,
  type AdmissionLevel,
  type ServiceUrgencies,
} from '../../core/urgency/index.js';
import type { OrganisationId } from '../../core/ids/index.js';
import type { Demand } from '../../generated/messages.types.js';
import { GroupDemand } from './group-demand.js';
import type { GroupLoad } from './group-status.js';

/** Slots of an entry before the first status of the group. */
const DEFAULT_SLOTS = 6;
/** Allowed pause between events before the first request sets one, ms. */
const DEFAULT_PAUSE_MS = 120;

/** Time after the first failure from which a poll of the complete group ends an outage, ms. */
const MIN_OUTAGE_MS = 1000;
/**
 * Time after the first failure from which a poll counts for the outage, ms. Poll results are up to 2 s old:
 * one from before the failure would end an outage that still lasts, and send requests to ranks that refuse
 * them.
 */
const POLL_COUNTS_AFTER_MS = 400;

/** Decision of the admission level on a first try. */
export type AdmissionDecision =
  /** It has taken a slot. */
  | { readonly kind: 'admitted' }
  /** It may queue for a slot; also if no level applies. */
  | { readonly kind: 'queue' }
  | {
      readonly kind: 'refused';
      /** Fraction of its class and organisation that is admitted. */
      readonly fraction: number;
      readonly level: AdmissionLevel;
      /** Age of the group's status, ms; undefined while it is unknown. */
      readonly ageMs: number | undefined;
    };

/** Dependencies of `SlotQueue`. */
export interface SlotQueueDeps {
  readonly clock: Clock;
  /** Returns the published engine settings; undefined if the service has none any more. */
  readonly engine: () => EngineInfo | undefined;
  /** Returns the latest load of the group; undefined if it is unknown or too old. */
  readonly size: () => GroupLoad | undefined;
  /** Returns the urgencies of the service's requests; undefined, as without it, if all are equally urgent. */
  readonly urgencies?: () => ServiceUrgencies | undefined;
}

/** Values that determine the slots of one entry at a group; the fields of the log line `group.seen`. */
export interface SlotQueueFields extends LogFields {
  /** Streams of the group at the last poll, its age, and the estimated streams now. */
  readonly running: number;
  readonly ageMs: number;
  readonly now: number;
  /** Maximum number of streams of the group. */
  readonly limit: number;
  readonly entries: number;
  /** Streams in flight from this entry, its slots, and its queued requests. */
  readonly own: number;
  readonly places: number;
  readonly queued: number;
  /** Urgency at the cut of the admission level, and the fraction of it that is admitted; undefined if none is cut. */
  readonly cut: number | undefined;
  readonly admitted: number | undefined;
  /** Returning callers among the queued requests. */
  readonly returning: number;
}

/** Slots and admission queue of one group at one entry. */
export class SlotQueue {
  readonly queue: WaitQueue;
  /** Estimates for callers that return after a refusal. */
  readonly returns: ReturnPlan;
  readonly outage = new OutageDetector();
  readonly demand: GroupDemand;
  private readonly limit = new StreamLimitEstimator();
  private readonly ownCount = new StreamCountHistory();
  private allowedPauseMs = DEFAULT_PAUSE_MS;
  /** Slots computed from the last known status; used while the status is unknown. */
  private lastSlots = DEFAULT_SLOTS;

  constructor(private readonly deps: SlotQueueDeps) {
    this.demand = new GroupDemand(deps.clock);
    this.returns = new ReturnPlan({
      nowMs: () => deps.clock.nowMs(),
      slotState: () => ({
        slots: this.slots,
        taken: this.queue.running,
        downForMs: this.outage.downForMs(deps.clock.nowMs()),
        queued: this.queue.queuedReturning,
      }),
    });
    this.queue = new WaitQueue(
      () => this.slots,
      (taken) => {
        this.ownCount.note(taken, deps.clock.nowMs());
        this.demand.noteTaken(taken);
        this.returns.noteTaken(taken);
      },
      this.returns,
    );
  }

  /** Maximum number of streams from this entry now. */
  get slots(): number {
    const level = this.level();
    if (level) return queueSlots(level);
    const group = this.latest();
    if (!group) return this.lastSlots;
    const { count, model } = group;
    const limit = this.limit.maxStreams(this.allowedPauseMs, model);
    this.lastSlots = slotsForEntry({ ...count, limit });
    return this.lastSlots;
  }

  /** Returns the admission level; undefined if all requests are equally urgent, or too little is known. */
  level(): AdmissionLevel | undefined {
    const urgencies = this.deps.urgencies?.();
    if (!urgencies) return undefined;
    const group = this.latest();
    const facts = group && {
      count: group.count,
      limit: this.limit.maxStreams(this.allowedPauseMs, group.model),
      demand: group.size.demand,
    };
    return this.demand.levelFor(urgencies, facts);
  }

  /**
   * Returns the urgency at the cut of the admission level, and the fraction of it that is admitted.
   * @example slotQueue.cut().fraction // 1 if all are admitted
   */
  cut(): { readonly cut: number | undefined; readonly fraction: number } {
    const level = this.level();
    const cut = level?.cut;
    return { cut, fraction: cut === undefined ? 1 : (level?.fractions.get(cut) ?? 1) };
  }

  /** Whether requests to this group differ in urgency. */
  get hasUrgencies(): boolean {
    return this.deps.urgencies?.() !== undefined;
  }

  /** Age of the group's status, ms; undefined while it is unknown. */
  private statusAgeMs(): number | undefined {
    const group = this.latest();
    return group && Math.round(group.count.ageMs);
  }

  /** Returns the demand at this entry, to report to the group; undefined if all requests are equally urgent. */
  reportDemand(): Demand | undefined {
    if (!this.deps.urgencies?.()) return undefined;
    const group = this.latest();
    return this.demand.report(group && this.limit.maxStreams(this.allowedPauseMs, group.model));
  }

  /**
   * Counts a first try and decides on it by the admission level. One that is admitted takes a slot, if need be beyond
   * this entry's own slots: the level keeps the streams of all entries together within the limit.
   * @example slotQueue.admit(urgencyOf(organisation.priority, route.priority), organisation.id, random).kind
   */
  admit(
    urgency: number,
    organisation: OrganisationId | undefined,
    random: () => number,
  ): AdmissionDecision {
    if (!this.hasUrgencies) return { kind: 'queue' };
    this.demand.noteArrival(urgency, organisation);
    const level = this.level();
    if (!level) return { kind: 'queue' };
    const fraction = fractionFor(level, urgency, organisation);
    if (this.queue.running >= minUsedSlots(level) && fraction < 1 && random() >= fraction)
      return { kind: 'refused', fraction, level, ageMs: this.statusAgeMs() };
    const leastUrgent = Math.max(...level.fractions.keys());
    const isAboveCut = urgency < Math.min(level.cut ?? leastUrgent, leastUrgent);
    const hasSlot =
      this.queue.running < admittedSlots(level, isAboveCut) && this.queue.tryAcquire(true);
    return { kind: hasSlot ? 'admitted' : 'queue' };
  }

  /** Returns the log fields of `group.seen`; undefined while the group's status is unknown. */
  logFields(): SlotQueueFields | undefined {
    const group = this.latest();
    if (!group) return undefined;
    const { size, count, model } = group;
    const { cut, fraction } = this.cut();
    return {
      running: size.running,
      ageMs: Math.round(count.ageMs),
      now: Math.round(estimateInFlight(count)),
      limit: Math.round(this.limit.maxStreams(this.allowedPauseMs, model)),
      entries: size.entries,
      own: this.queue.running,
      places: this.slots,
      queued: this.queue.queued,
      cut,
      admitted: cut === undefined ? undefined : Number(fraction.toFixed(2)),
      returning: this.queue.queuedReturning,
    };
  }

  /** Describes the slots and the load of the group, for refusal details. */
  describe(): string {
    const fields = this.logFields();
    const group = fields
      ? `the group runs about ${fields.now} of at most ${fields.limit} streams for ${fields.entries} entries (${fields.running} counted ${fields.ageMs} ms ago)`
      : 'the status of the group is unknown';
    return `${this.queue.running} of ${this.slots} slots taken, ${this.queue.queued} requests queued, ${group}`;
  }

  /** Handles a poll of the complete group: ends an outage that began long enough before the poll. */
  noteCompletePoll(): void {
    const nowMs = this.deps.clock.nowMs();
    const polledAtMs = this.deps.size()?.countedAtMs ?? nowMs;
    const isConclusive = this.outage.downForMs(polledAtMs) > POLL_COUNTS_AFTER_MS;
    if (isConclusive && this.outage.downForMs(nowMs) > MIN_OUTAGE_MS) this.outage.noteSuccess();
    // The limit may have risen since the queued requests arrived.
    this.queue.grantFreeSlots();
  }

  /** Sets the longest pause between events that a route allows, ms. */
  setAllowedPause(ms: number): void {
    this.allowedPauseMs = ms;
  }

  /** Records a pause between two events of a stream, ms, to adapt the stream limit. */
  notePause(pauseMs: number): void {
    const group = this.latest();
    if (!group) return;
    const { count, model } = group;
    // A pause reflects the current streams: with an old count, steps would look far slower or faster.
    this.limit.notePause(pauseMs, estimateInFlight(count), model, this.deps.clock.nowMs());
  }

  /** Returns the current load and step model; undefined if the status is unknown or no engine is published. */
  private latest():
    | { readonly size: GroupLoad; readonly count: GroupStreamCount; readonly model: StepModel }
    | undefined {
    const size = this.deps.size();
    const engine = this.deps.engine();
    if (!size || !engine) return undefined;
    const count: GroupStreamCount = {
      running: size.running,
      ageMs: this.deps.clock.nowMs() - size.countedAtMs,
      ownAtCount: this.ownCount.countAt(size.countedAtMs),
      ownNow: this.queue.running,
      entries: size.entries,
    };
    return { size, count, model: { ...engine, ranks: size.ranks } };
  }
}
