/**
 * Polls the ranks of a group through their agents. In a large group only a sample of ranks reports
 * token counts, because counts make up most of the bytes and a sample shows the demand of all
 * ranks.
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

/** Sends one order to several agents; the replies are in the order of the members. */
export type CallAgents = (
  order: RankOrder,
  members: readonly Member[],
  timeoutMs: number,
) => Promise<Replies>;

/** Dependencies of the poller. */
export interface GroupPollerDeps {
  readonly self: string;
  /** Name of the own group; undefined until its engine has reported it. */
  readonly group: () => string | undefined;
  /**
   * Addresses of the group's agents, including this one, and of agents whose group is still
   * unknown.
   */
  readonly agents: () => readonly string[];
  /** Called with each reply, which names the group of its rank. */
  readonly onReply: (address: string, reply: RankReply) => void;
  readonly callAll: CallAgents;
  readonly clock: Clock;
}

/** Result of a poll. */
export type PollResult =
  | {
      readonly kind: 'seen';
      /**
       * In order of rank; during a switch, the replies of the last complete poll if a rank did not
       * reply.
       */
      readonly replies: GroupReplies;
      /** Addresses of the agents, in order of rank. */
      readonly addresses: readonly string[];
      /** Replies of this poll, if all ranks replied consistently; otherwise empty. */
      readonly fresh: readonly RankReply[];
      /** Replies of this poll that report the current load of their ranks. */
      readonly loadReplies: readonly RankReply[];
      /** Whether all ranks replied. */
      readonly isWhole: boolean;
    }
  /** An agent did not reply, or the ranks do not form one group. */
  | {
      readonly kind: 'unseen';
      readonly addresses: readonly string[];
      /** In order of `addresses`. */
      readonly replies: readonly (RankReply | undefined)[];
    };

type SeenGroup = Extract<PollResult, { kind: 'seen' }>;

/**
 * Samples addresses evenly from the list, which is sorted by address and so by data centre.
 * @example sampleEvenly(['a', 'b', 'c', 'd'], 2) // ['a', 'c']
 */
export function sampleEvenly(addresses: readonly string[], size: number): readonly string[] {
  if (addresses.length <= size) return addresses;
  const stride = addresses.length / size;
  return Array.from({ length: size }, (_, i) => addresses[Math.floor(i * stride)] as string);
}

/** Polls on behalf of one coordinator. */
export class GroupPoller {
  /** The last poll to which all ranks replied. */
  private lastComplete: SeenGroup | undefined;
  private digestSentAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: GroupPollerDeps) {}

  /**
   * Polls once. During a switch, ranks of a large group may reply late: the last complete poll is
   * then returned with the current load of the ranks that replied.
   * @example const result = await poller.poll(digest, maps.ids, false);
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

  /** Whether this poll should carry the digest; if so, records the time. */
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

  /**
   * Whether a rank belongs to the own group, or its group is unknown: a service may have several
   * groups.
   */
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

  /**
   * Replies that report load although the poll is incomplete: busy ranks reply late during a
   * switch.
   */
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
