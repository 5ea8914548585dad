/**
 * Looks at the ranks of a group through their agents. Of a large group most looks ask a sample only: each
 * question costs the coordinator processor time and bytes, and tokens counted at some ranks tell what is
 * in demand at all of them.
 */
import type { Clock } from '../core/clock/index.js';
import type { RankOrder, RankReply } from '../core/groups/index.js';
import type { GroupDigest } from '../generated/messages.types.js';
import { answerTimes, DIGEST_PAUSE_MS, SAMPLE_RANKS, WHOLE_LOOK_MS } from './consts.js';
import { addressesOf, mapIdOf, mayBelong, orderReplies, type GroupReplies } from './group-view.js';

/** Sends one order to the agent at an address; rejects when it cannot be reached in time. */
export type CallAgent = (address: string, order: RankOrder, withinMs: number) => Promise<RankReply>;

/** What looking needs. */
export interface LookParts {
  readonly self: string;
  /** Name of the own group; undefined until its engine has told it. */
  readonly group: () => string | undefined;
  /** Addresses of the agents of the group, this one's included, and of those whose group is not known yet. */
  readonly agents: () => readonly string[];
  /** Called with each reply: it tells to which group its rank belongs. */
  readonly noteReply: (address: string, reply: RankReply) => void;
  readonly call: CallAgent;
  readonly clock: Clock;
}

/** A group as it was seen. */
export type Sighting =
  | {
      readonly kind: 'seen';
      /** In order of rank; a rank that was not asked is as at the last look at all. */
      readonly replies: GroupReplies;
      /** Addresses of the agents, in order of rank. */
      readonly addresses: readonly string[];
      /** Replies of this look that fit the others, and whose counts are of one map. */
      readonly fresh: readonly RankReply[];
      /** Replies of this look that tell what their ranks run. */
      readonly telling: readonly RankReply[];
      /** Whether all ranks were asked. */
      readonly isWhole: boolean;
    }
  /** Some agent did not answer, or the ranks do not make one group. */
  | {
      readonly kind: 'unseen';
      readonly addresses: readonly string[];
      /** By address. */
      readonly replies: readonly (RankReply | undefined)[];
    };

type Seen = Extract<Sighting, { kind: 'seen' }>;

/**
 * Some of the agents, spread evenly over the list, which is ordered by address and so by data centre.
 * @example sampleOf(['a', 'b', 'c', 'd'], 2) // ['a', 'c']
 */
export function sampleOf(addresses: readonly string[], size: number): readonly string[] {
  if (addresses.length <= size) return addresses;
  const stride = addresses.length / size;
  return Array.from({ length: size }, (_, i) => addresses[Math.floor(i * stride)] as string);
}

/** Looks of one coordinator. */
export class GroupLooks {
  /** The last look at all ranks, with what was seen of some since. */
  private last: Seen | undefined;
  private wholeAtMs = Number.NEGATIVE_INFINITY;
  private digestAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: LookParts) {}

  /**
   * Looks once; while a switch is under way a large group is not asked whole, since both need time.
   * @example const seen = await looks.look(digest, maps.ids, false);
   */
  async look(
    digest: GroupDigest | undefined,
    knownMapIds: readonly string[],
    isSwitching: boolean,
  ): Promise<Sighting> {
    const { parts } = this;
    const addresses = parts.agents();
    const sample = sampleOf(addresses, SAMPLE_RANKS);
    const order: RankOrder = {
      group: parts.group() ?? '',
      kind: 'look',
      epoch: 0,
      from: parts.self,
      knownMapIds: [...knownMapIds],
    };
    const isPartial = sample.length < addresses.length && this.last !== undefined;
    if (isPartial && (isSwitching || !this.isWholeDue(addresses))) {
      const news = this.isDigestDue() ? digest : undefined;
      const some = await this.ask(sample, () => ({ ...order, wantsCounts: true, digest: news }));
      const merged = this.merge(some);
      if (merged) return merged;
      if (isSwitching && this.last) {
        const telling = this.tellingOf(some, this.last);
        return { ...this.last, fresh: [], telling, isWhole: false };
      }
    }
    const counting = new Set(sample);
    const all = await this.ask(addresses, (address) => ({
      ...order,
      wantsCounts: counting.has(address),
      digest,
    }));
    return this.takeWhole(addresses, all);
  }

  /** Whether those who are asked should hear of the group; notes that they do. */
  private isDigestDue(): boolean {
    const nowMs = this.parts.clock.nowMs();
    if (nowMs - this.digestAtMs < DIGEST_PAUSE_MS) return false;
    this.digestAtMs = nowMs;
    return true;
  }

  private isWholeDue(addresses: readonly string[]): boolean {
    if (this.last?.addresses.length !== addresses.length) return true;
    return this.parts.clock.nowMs() - this.wholeAtMs >= WHOLE_LOOK_MS;
  }

  private ask(
    addresses: readonly string[],
    orderFor: (address: string) => RankOrder,
  ): Promise<(RankReply | undefined)[]> {
    const { lookMs } = answerTimes(addresses.length);
    return Promise.all(
      addresses.map(async (address) => {
        try {
          const reply = await this.parts.call(address, orderFor(address), lookMs);
          this.parts.noteReply(address, reply);
          return reply;
        } catch {
          // Counted and logged by whoever needs the group to be whole.
          return undefined;
        }
      }),
    );
  }

  /** Whether a rank belongs to the own group, or may: a service may have several. */
  isOwn(reply: RankReply | undefined): boolean {
    return mayBelong(this.parts.group(), reply?.group);
  }

  private takeWhole(
    asked: readonly string[],
    answers: readonly (RankReply | undefined)[],
  ): Sighting {
    this.wholeAtMs = this.parts.clock.nowMs();
    this.digestAtMs = this.wholeAtMs;
    const addresses = asked.filter((_, i) => this.isOwn(answers[i]));
    const replies = answers.filter((reply) => this.isOwn(reply));
    const ordered = orderReplies(replies, addresses.length);
    if (!ordered) {
      this.last = undefined;
      return { kind: 'unseen', addresses, replies };
    }
    this.last = {
      kind: 'seen',
      replies: ordered,
      addresses: addressesOf(ordered, replies, addresses),
      fresh: ordered,
      telling: ordered,
      isWhole: true,
    };
    return this.last;
  }

  /** Puts what a sample tells into the last look at all; undefined when it does not fit there. */
  private merge(some: readonly (RankReply | undefined)[]): Seen | undefined {
    const { last } = this;
    if (!last) return undefined;
    const replies = [...last.replies];
    const mapId = mapIdOf(last.replies);
    const fresh: RankReply[] = [];
    for (const reply of some) {
      const before = reply?.rank === undefined ? undefined : replies[reply.rank];
      if (!reply || !before || reply.rank === undefined) return undefined;
      if (reply.groupEpoch !== before.groupEpoch || reply.mapId !== mapId) return undefined;
      replies[reply.rank] = reply;
      fresh.push(reply);
    }
    this.last = { ...last, replies };
    return { ...last, replies, fresh, telling: fresh, isWhole: false };
  }

  /**
   * Those of a sample that tell what they run although it does not fit the last look at all: while a switch is under way
   * ranks are seen in different maps, and busy ones answer late.
   */
  private tellingOf(some: readonly (RankReply | undefined)[], last: Seen): RankReply[] {
    return some.filter(
      (reply): reply is RankReply =>
        reply?.rank !== undefined && reply.groupEpoch === last.replies[reply.rank]?.groupEpoch,
    );
  }
}
