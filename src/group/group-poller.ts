/**
 * Looks at the ranks of a group through their agents. Of a large group only some ranks tell what their requests chose,
 * since counts are most of the bytes, and tokens counted at some ranks tell what is in demand at all of them.
 */
import type { Clock } from '../core/clock/index.js';
import type { RankOrder, RankReply } from '../core/groups/index.js';
import type { GroupDigest } from '../generated/messages.types.js';
import {
  replyTimeouts,
  COUNT_SAMPLE_SIZE,
  DIGEST_INTERVAL_MS,
  MAX_DIRECT_CALLS,
} from './consts.js';
import type { Member, Replies } from './fan-out.js';
import { addressesOf, mayBeSameGroup, sortByRank, type GroupReplies } from './group-view.js';

/** Sends one order to some agents; the replies are in their order. */
export type CallAgents = (
  order: RankOrder,
  members: readonly Member[],
  withinMs: number,
) => Promise<Replies>;

/** What looking needs. */
export interface GroupPollerDeps {
  readonly self: string;
  /** Name of the own group; undefined until its engine has told it. */
  readonly group: () => string | undefined;
  /** Addresses of the agents of the group, this one's included, and of those whose group is not known yet. */
  readonly agents: () => readonly string[];
  /** Called with each reply: it tells to which group its rank belongs. */
  readonly onReply: (address: string, reply: RankReply) => void;
  readonly callAll: CallAgents;
  readonly clock: Clock;
}

/** A group as it was seen. */
export type PollResult =
  | {
      readonly kind: 'seen';
      /** In order of rank; as at the last look at all, where a rank did not answer while a switch is under way. */
      readonly replies: GroupReplies;
      /** Addresses of the agents, in order of rank. */
      readonly addresses: readonly string[];
      /** Replies of this look that fit the others. */
      readonly fresh: readonly RankReply[];
      /** Replies of this look that tell what their ranks run. */
      readonly loadReplies: readonly RankReply[];
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

type SeenGroup = Extract<PollResult, { kind: 'seen' }>;

/**
 * Some of the agents, spread evenly over the list, which is ordered by address and so by data centre.
 * @example sampleOf(['a', 'b', 'c', 'd'], 2) // ['a', 'c']
 */
export function sampleEvenly(addresses: readonly string[], size: number): readonly string[] {
  if (addresses.length <= size) return addresses;
  const stride = addresses.length / size;
  return Array.from({ length: size }, (_, i) => addresses[Math.floor(i * stride)] as string);
}

/** Looks of one coordinator. */
export class GroupPoller {
  /** The last look to which all ranks answered. */
  private lastComplete: SeenGroup | undefined;
  private digestSentAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: GroupPollerDeps) {}

  /**
   * Looks once. While a switch is under way ranks of a large group may answer late: then those that did tell of it.
   * @example const seen = await looks.look(digest, maps.ids, false);
   */
  async poll(
    digest: GroupDigest | undefined,
    knownMapIds: readonly string[],
    isSwitching: boolean,
  ): Promise<PollResult> {
    const { parts: deps } = this;
    const addresses = deps.agents();
    const isLarge = addresses.length > MAX_DIRECT_CALLS;
    const sendsDigest = !isLarge || this.isDigestDue();
    const order: RankOrder = {
      group: deps.group() ?? '',
      kind: 'look',
      epoch: 0,
      from: deps.self,
      knownMapIds: [...knownMapIds],
      ...(sendsDigest && digest && { digest }),
    };
    const answers = await this.pollAgents(addresses, order);
    const { lastComplete: previous } = this;
    const result = this.assemble(addresses, answers);
    if (result.kind === 'seen' || !previous || !isLarge || !isSwitching) return result;
    this.lastComplete = previous;
    return {
      ...previous,
      fresh: [],
      loadReplies: this.loadRepliesOf(answers, previous),
      isWhole: false,
    };
  }

  /** Whether those who are asked should hear of the group; notes that they do. */
  private isDigestDue(): boolean {
    const nowMs = this.parts.clock.nowMs();
    if (nowMs - this.digestSentAtMs < DIGEST_INTERVAL_MS) return false;
    this.digestSentAtMs = nowMs;
    return true;
  }

  private async pollAgents(addresses: readonly string[], order: RankOrder): Promise<Replies> {
    const sampled = new Set(sampleEvenly(addresses, COUNT_SAMPLE_SIZE));
    const members = addresses.map((address) => ({ address, wantsCounts: sampled.has(address) }));
    const { pollMs: timeoutMs } = replyTimeouts(addresses.length);
    const replies = await this.parts.callAll(order, members, timeoutMs);
    replies.forEach((reply, i) => {
      if (reply) this.parts.onReply(addresses[i] as string, reply);
    });
    return replies;
  }

  /** Whether a rank belongs to the own group, or may: a service may have several. */
  mayBeMember(reply: RankReply | undefined): boolean {
    return mayBeSameGroup(this.parts.group(), reply?.group);
  }

  private assemble(
    polled: readonly string[],
    answers: readonly (RankReply | undefined)[],
  ): PollResult {
    const addresses = polled.filter((_, i) => this.mayBeMember(answers[i]));
    const replies = answers.filter((reply) => this.mayBeMember(reply));
    const ordered = sortByRank(replies, addresses.length);
    if (!ordered) {
      this.lastComplete = undefined;
      return { kind: 'unseen', addresses, replies };
    }
    this.lastComplete = {
      kind: 'seen',
      replies: ordered,
      addresses: addressesOf(ordered, replies, addresses),
      fresh: ordered,
      loadReplies: ordered,
      isWhole: true,
    };
    return this.lastComplete;
  }

  /** Those that tell what they run although not all answered: while a switch is under way busy ranks answer late. */
  private loadRepliesOf(
    replies: readonly (RankReply | undefined)[],
    previous: SeenGroup,
  ): RankReply[] {
    return replies.filter(
      (reply): reply is RankReply =>
        reply?.rank !== undefined && reply.groupEpoch === previous.replies[reply.rank]?.groupEpoch,
    );
  }
}
