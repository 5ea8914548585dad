/** Switch rounds of one coordinator: their epochs, their orders, and the margin before a switch. */
import type { Clock } from '../core/clock/index.js';
import {
  nextEpoch,
  runSwitch,
  type CalledRank,
  type ChooseMap,
  type ExpertMap,
  type RankOrder,
  type RankReply,
  type SwitchEnd,
} from '../core/groups/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { replyTimeouts, PREPARE_TIMEOUT_MS } from './consts.js';
import type { Replies } from './fan-out.js';
import type { CallAgents } from './group-poller.js';
import type { GroupReplies } from './group-view.js';
import { RoundTimes } from './round-times.js';
import { SwitchMargin } from './switch-margin.js';

/** What rounds need. */
export interface SwitchRoundsDeps {
  readonly self: string;
  readonly callAll: CallAgents;
  /** Acts for the agent at an address, straight on its engine; used only while that agent is silent. */
  readonly callEngineDirectly: (address: string, order: RankOrder) => Promise<RankReply>;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** What a round may know besides its ranks. */
export interface SwitchRoundOptions {
  /** Agents that do not answer, by address. */
  readonly silent?: ReadonlySet<string>;
  /** The map in use, as ranks may hold it. */
  readonly base?: ExpertMap;
  /** Takes the times of its parts. */
  readonly times?: RoundTimes;
}

const NO_AGENTS: ReadonlySet<string> = new Set();

function orderTimeoutMs({ kind }: RankOrder, ranks: number): number {
  if (kind === 'prepare') return PREPARE_TIMEOUT_MS;
  const times = replyTimeouts(ranks);
  return kind === 'confirm' || kind === 'abort' ? times.decisionMs : times.orderMs;
}

/** Makes rounds, one at a time. */
export class SwitchRounds {
  private readonly margin: SwitchMargin;
  private highestEpoch = 0;

  /** @param stepMs time of a step lately, ms; 0 while it is not known */
  constructor(
    private readonly deps: SwitchRoundsDeps,
    private readonly stepMs: () => number,
  ) {
    this.margin = new SwitchMargin(deps.clock);
  }

  /** Fences and versions rise over everything that any rank has seen or holds. */
  recordEpochs(replies: GroupReplies): void {
    for (const { promised, lastConfirmed = 0, armed } of replies)
      this.highestEpoch = Math.max(this.highestEpoch, promised, lastConfirmed, armed?.epoch ?? 0);
  }

  /**
   * Makes one round with an epoch above all that were seen.
   * @example const end = await rounds.run(byRank, () => undefined); // finishes what is open
   */
  async run(
    addressByRank: readonly string[],
    chooseMap: ChooseMap,
    {
      silent: unresponsive = NO_AGENTS,
      base,
      times = new RoundTimes(this.deps.clock),
    }: SwitchRoundOptions = {},
  ): Promise<SwitchEnd> {
    const ownRank = addressByRank.indexOf(this.deps.self);
    const epoch = nextEpoch(this.highestEpoch, Math.max(0, ownRank));
    const callRanks = (order: RankOrder, ranks: readonly CalledRank[]): Promise<Replies> => {
      const calls = this.callRanks(order, ranks, addressByRank, unresponsive);
      return times.timed(order.kind, this.margin.timed(order.kind, calls));
    };
    const coordination = {
      group: '',
      ranks: addressByRank.length,
      callRanks,
      base,
      known: undefined,
      wantsCounts: false,
      marginSteps: () => this.margin.steps(this.stepMs()),
    };
    const end = await runSwitch(coordination, epoch, chooseMap);
    this.highestEpoch = Math.max(epoch, end.kind === 'blocked' ? end.highest : 0);
    this.deps.metrics.count('switch_rounds_total', { end: end.kind });
    return end;
  }

  /** Sends an order of a round; to the engines of silent agents straight. */
  private async callRanks(
    order: RankOrder,
    ranks: readonly CalledRank[],
    addressByRank: readonly string[],
    unresponsive: ReadonlySet<string>,
  ): Promise<Replies> {
    const members = ranks.map(({ rank, incarnation }) => ({
      address: addressByRank[rank] ?? '',
      ...(incarnation !== undefined && { incarnation }),
    }));
    const responsive = members.filter(({ address }) => !unresponsive.has(address));
    const bypassed = members.filter(({ address }) => unresponsive.has(address));
    const directCalls = bypassed.map(({ address, ...own }) =>
      this.deps.callEngineDirectly(address, { ...order, ...own }).catch(() => undefined),
    );
    const replies = await this.deps.callAll(
      order,
      responsive,
      orderTimeoutMs(order, addressByRank.length),
    );
    const byAddress = new Map(responsive.map(({ address }, i) => [address, replies[i]]));
    const directReplies = await Promise.all(directCalls);
    bypassed.forEach(({ address }, i) => byAddress.set(address, directReplies[i]));
    return members.map(({ address }) => byAddress.get(address));
  }
}
