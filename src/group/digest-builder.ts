/** Sums up what a round saw, for entries: which engines are slow or busy, and how long a step takes. */
import type { Clock } from '../core/clock/index.js';
import type { GroupDigest } from '../generated/messages.types.js';
import type { RankReply } from '../core/groups/index.js';
import { loadOf, totalLoad, type GroupReplies } from './group-view.js';

/** Weight of the newest step time in the mean. */
const NEWEST_STEP_WEIGHT = 0.4;

/**
 * Streams of a whole group from the ranks that answered one look. What the others ran at an earlier look is old, so each of
 * them counts as one of those that answered.
 */
function estimateGroupLoad(replies: GroupReplies, answered: readonly RankReply[]): number {
  return (totalLoad(answered) * replies.length) / Math.max(1, answered.length);
}

/** Makes a digest of each round. */
export class DigestBuilder {
  private group = '';
  private lastStep: number | undefined;
  private lastStepAtMs = 0;
  private stepMs = 0;

  constructor(private readonly clock: Clock) {}

  /**
   * The digest of one round; `replies` is undefined when the group was not whole, `asked` are those of this look.
   * @example digester.take(ordered, ordered, hosts).pace
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
    // A group without work makes no step: the time until its next one says nothing.
    if (!replies.some((reply) => (reply.running ?? 0) > 0)) this.lastStep = undefined;
    this.group = replies[0]?.group ?? '';
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
    };
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
