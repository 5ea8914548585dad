/**
 * Summarises a poll of the group for entries: pace and load of each engine, and the time per step.
 */
import type { Clock } from '../core/clock/index.js';
import { silentLog, type Log } from '../core/logging/index.js';
import { checkDemand, DemandSum } from '../core/urgency/index.js';
import type { Demand, GroupDigest } from '../generated/messages.types.js';
import type { RankReply } from '../core/groups/index.js';
import { LOG_INTERVAL_MS } from './consts.js';
import { loadOf, totalLoad, type GroupReplies } from './group-view.js';

/** Weight of the newest sample in the moving average of step times. */
const NEWEST_STEP_WEIGHT = 0.4;

/**
 * Estimates the streams of the whole group from the ranks that replied to one poll. Values of
 * earlier polls are outdated, so each other rank counts as the average of those that replied.
 */
function estimateGroupLoad(replies: GroupReplies, answered: readonly RankReply[]): number {
  return (totalLoad(answered) * replies.length) / Math.max(1, answered.length);
}

/** Builds one digest per poll. */
export class DigestBuilder {
  private group = '';
  private lastStep: number | undefined;
  private lastStepAtMs = 0;
  private stepMs = 0;

  private readonly demandSum = new DemandSum();
  private invalidLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log = silentLog,
  ) {}

  /**
   * Builds a digest; `replies` is undefined when the group is incomplete, `answered` holds the
   * replies of this poll.
   * @example digestBuilder.build(ordered, ordered, hosts).pace
   */
  build(
    replies: GroupReplies | undefined,
    answered: readonly RankReply[],
    hosts: readonly string[],
  ): GroupDigest {
    if (!replies) {
      this.lastStep = undefined;
      return {
        group: this.group,
        whole: false,
        hosts: [],
        pace: [],
        load: [],
        running: 0,
        stepMs: 0,
        entries: 0,
        ageMs: 0,
      };
    }
    this.updateStepMs(Math.max(...replies.map((reply) => reply.step)));
    // An idle group makes no steps, so the time until its next step is no step time.
    if (!replies.some((reply) => (reply.running ?? 0) > 0)) this.lastStep = undefined;
    this.group = replies[0]?.group ?? '';
    const demand = this.demandOf(replies, answered);
    return {
      group: this.group,
      whole: true,
      hosts: [...hosts],
      pace: replies.map((reply) => Number((reply.pace ?? 1).toFixed(2))),
      load: replies.map(loadOf),
      running: Math.round(estimateGroupLoad(replies, answered)),
      stepMs: Math.round(this.stepMs),
      entries: new Set(replies.flatMap((reply) => reply.askers ?? [])).size,
      ageMs: 0,
      ...(demand && { demand }),
    };
  }

  /**
   * Demand at all entries; undefined unless all agents know the field: others would reject a poll that carries it.
   */
  private demandOf(replies: GroupReplies, answered: readonly RankReply[]): Demand | undefined {
    const nowMs = this.clock.nowMs();
    for (const { demands } of answered)
      for (const { from, agoMs, demand } of demands ?? [])
        this.demandSum.record(from, this.checked(from, demand, nowMs), nowMs - agoMs);
    const sum = this.demandSum.read(nowMs);
    return replies.every((reply) => reply.demands !== undefined) ? sum : undefined;
  }

  private checked(entry: string, reported: Demand, nowMs: number): Demand {
    const { demand, invalid } = checkDemand(reported);
    if (invalid.length > 0 && nowMs - this.invalidLoggedAtMs >= LOG_INTERVAL_MS) {
      this.invalidLoggedAtMs = nowMs;
      this.log.warn('demand.invalid', { entry, fields: invalid.slice(0, 4).join(',') });
    }
    return demand;
  }

  private updateStepMs(step: number): void {
    const nowMs = this.clock.nowMs();
    const steps = this.lastStep === undefined ? 0 : step - this.lastStep;
    if (steps > 0) {
      const eachMs = (nowMs - this.lastStepAtMs) / steps;
      this.stepMs += (this.stepMs === 0 ? 1 : NEWEST_STEP_WEIGHT) * (eachMs - this.stepMs);
    }
    if (steps !== 0 || this.lastStep === undefined)
      [this.lastStep, this.lastStepAtMs] = [step, nowMs];
  }
}
