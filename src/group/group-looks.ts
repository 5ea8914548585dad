/**
 * Looks at the ranks of a group through their agents. Of a large group only some ranks tell what their requests chose,
 * since counts are most of the bytes, and tokens counted at some ranks tell what is in demand at all of them.
 */
import type { Clock } from '../core/clock/index.js';
import type { RankOrder, RankReply } from '../core/groups/index.js';
import type { GroupDigest } from '../generated/messages.types.js';
import { answerTimes, COUNTING_RANKS, DIGEST_PAUSE_MS, MOST_DIRECT } from './consts.js';
import type { Member, Replies } from './fan-out.js';
import { addressesOf, mayBelong, orderReplies, type GroupReplies } from './group-view.js';

/** Sends one order to some agents; the replies are in their order. */
export type CallAgents = (
  order: RankOrder,
  members: readonly Member[],
  withinMs: number,
) => Promise<Replies>;

/** What looking needs. */
export interface LookParts {
  readonly self: string;
  /** Name of the own group; undefined until its engine has told it. */
  readonly group: () => string | undefined;
  /** Addresses of the agents of the group, this one's included, and of those whose group is not known yet. */
  readonly agents: () => readonly string[];
  /** Called with each reply: it tells to which group its rank belongs. */
  readonly noteReply: (address: string, reply: RankReply) => void;
  readonly callAll: CallAgents;
  readonly clock: Clock;
}

/** A group as it was seen. */
export type Sighting =
  | {
      readonly kind: 'seen';
      /** In order of rank; as at the last look at all, where a rank did not answer while a switch is under way. */
      readonly replies: GroupReplies;
      /** Addresses of the agents, in order of rank. */
      readonly addresses: readonly string[];
      /** Replies of this look that fit the others. */
      readonly fresh: readonly RankReply[];
      /** Replies of this look that tell what their ranks run. */
      readonly telling: readonly RankReply[];
      /** Whether all ranks answered. */
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
  /** The last look to which all ranks answered. */
  private last: Seen | undefined;
  private digestAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: LookParts) {}

  /**
   * Looks once. While a switch is under way ranks of a large group may answer late: then those that did tell of it.
   * @example const seen = await looks.look(digest, maps.ids, false);
   */
  async look(
    digest: GroupDigest | undefined,
    knownMapIds: readonly string[],
    isSwitching: boolean,
  ): Promise<Sighting> {
    const { parts } = this;
    const addresses = parts.agents();
    const isLarge = addresses.length > MOST_DIRECT;
    const isNews = !isLarge || this.isDigestDue();
    const order: RankOrder = {
      group: parts.group() ?? '',
      kind: 'look',
      epoch: 0,
      from: parts.self,
      knownMapIds: [...knownMapIds],
      ...(isNews && digest && { digest }),
    };
    const answers = await this.ask(addresses, order);
    const { last } = this;
    const seen = this.take(addresses, answers);
    if (seen.kind === 'seen' || !last || !isLarge || !isSwitching) return seen;
    this.last = last;
    return { ...last, fresh: [], telling: this.tellingOf(answers, last), isWhole: false };
  }

  /** Whether those who are asked should hear of the group; notes that they do. */
  private isDigestDue(): boolean {
    const nowMs = this.parts.clock.nowMs();
    if (nowMs - this.digestAtMs < DIGEST_PAUSE_MS) return false;
    this.digestAtMs = nowMs;
    return true;
  }

  private async ask(addresses: readonly string[], order: RankOrder): Promise<Replies> {
    const counting = new Set(sampleOf(addresses, COUNTING_RANKS));
    const members = addresses.map((address) => ({ address, wantsCounts: counting.has(address) }));
    const { lookMs } = answerTimes(addresses.length);
    const replies = await this.parts.callAll(order, members, lookMs);
    replies.forEach((reply, i) => {
      if (reply) this.parts.noteReply(addresses[i] as string, reply);
    });
    return replies;
  }

  /** Whether a rank belongs to the own group, or may: a service may have several. */
  isOwn(reply: RankReply | undefined): boolean {
    return mayBelong(this.parts.group(), reply?.group);
  }

  private take(asked: readonly string[], answers: readonly (RankReply | undefined)[]): Sighting {
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

  /** Those that tell what they run although not all answered: while a switch is under way busy ranks answer late. */
  private tellingOf(some: readonly (RankReply | undefined)[], last: Seen): RankReply[] {
    return some.filter(
      (reply): reply is RankReply =>
        reply?.rank !== undefined && reply.groupEpoch === last.replies[reply.rank]?.groupEpoch,
    );
  }
}
