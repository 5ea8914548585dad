/** Runs the switch rounds of one coordinator: epochs, orders, and the margin before a switch. */
import type { Clock } from '../core/clock/index.js';
import {
  nextEpoch,
  runSwitch,
  type RankTarget,
  type ChooseMap,
  type ExpertMap,
  type RankOrder,
  type RankReply,
  type SwitchOutcome,
} from '../core/groups/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { replyTimeouts, PREPARE_TIMEOUT_MS } from './consts.js';
import type { Replies } from './fan-out.js';
import type { CallAgents } from './group-poller.js';
import type { GroupReplies } from './group-view.js';
import { RoundTimes } from './round-times.js';
import { SwitchMargin } from './switch-margin.js';

/** Dependencies of switch rounds. */
export interface SwitchRoundsDeps {
  readonly self: string;
  readonly callAll: CallAgents;
  /**
   * Sends an order directly to the engine beside an agent; used only while that agent is
   * unresponsive.
   */
  readonly callEngineDirectly: (address: string, order: RankOrder) => Promise<RankReply>;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Optional inputs of a round. */
export interface SwitchRoundOptions {
  /** Addresses of unresponsive agents. */
  readonly silent?: ReadonlySet<string>;
  /** The map in use, which ranks may already hold. */
  readonly base?: ExpertMap;
  /** Collects the durations of the round's phases. */
  readonly times?: RoundTimes;
  /** Whether a decision is given up at the first attempt that ranks leave unanswered. */
  readonly endsAtSilence?: boolean;
}

const NO_AGENTS: ReadonlySet<string> = new Set();

function orderTimeoutMs({ kind }: RankOrder, ranks: number): number {
  if (kind === 'prepare') return PREPARE_TIMEOUT_MS;
  const times = replyTimeouts(ranks);
  return kind === 'confirm' || kind === 'abort' ? times.decisionMs : times.orderMs;
}

/** Runs rounds, one at a time. */
export class SwitchRounds {
  private readonly margin: SwitchMargin;
  private highestEpoch = 0;

  /** @param stepMs recent time per step, ms; 0 while unknown */
  constructor(
    private readonly deps: SwitchRoundsDeps,
    private readonly stepMs: () => number,
  ) {
    this.margin = new SwitchMargin(deps.clock);
  }

  /** Records epochs, so that fences and versions exceed all that any rank has seen or holds. */
  recordEpochs(replies: GroupReplies): void {
    for (const { promised, lastConfirmed = 0, armed } of replies)
      this.highestEpoch = Math.max(this.highestEpoch, promised, lastConfirmed, armed?.epoch ?? 0);
  }

  /**
   * Runs one round with an epoch above all recorded ones.
   * @example const end = await rounds.run(addressByRank, () => undefined); // completes an open switch
   */
  async run(
    addressByRank: readonly string[],
    chooseMap: ChooseMap,
    {
      silent: unresponsive = NO_AGENTS,
      base,
      times = new RoundTimes(this.deps.clock),
      endsAtSilence = false,
    }: SwitchRoundOptions = {},
  ): Promise<SwitchOutcome> {
    const ownRank = addressByRank.indexOf(this.deps.self);
    const epoch = nextEpoch(this.highestEpoch, Math.max(0, ownRank));
    const callRanks = (order: RankOrder, ranks: readonly RankTarget[]): Promise<Replies> => {
      const calls = this.callRanks(order, ranks, addressByRank, unresponsive);
      return times.timed(order.kind, this.margin.timed(order.kind, calls));
    };
    const coordination = {
      group: '',
      ranks: addressByRank.length,
      callRanks,
      base,
      known: undefined,
      endsAtSilence,
      wantsCounts: false,
      marginSteps: () => this.margin.steps(this.stepMs()),
    };
    const end = await runSwitch(coordination, epoch, chooseMap);
    this.highestEpoch = Math.max(epoch, end.kind === 'blocked' ? end.highest : 0);
    this.deps.metrics.count('switch_rounds_total', { end: end.kind });
    return end;
  }

  /** Sends an order of a round; for unresponsive agents, directly to their engines. */
  private async callRanks(
    order: RankOrder,
    ranks: readonly RankTarget[],
    addressByRank: readonly string[],
    unresponsive: ReadonlySet<string>,
  ): Promise<Replies> {
    const members = ranks.map(({ rank, incarnation }) => ({
      address: addressByRank[rank] ?? '',
      ...(incarnation !== undefined && { incarnation }),
    }));
    const responsive = members.filter(({ address }) => !unresponsive.has(address));
    const bypassed = members.filter(({ address }) => unresponsive.has(address));
    const directCalls = bypassed.map(({ address, ...memberFields }) =>
      this.deps.callEngineDirectly(address, { ...order, ...memberFields }).catch(() => undefined),
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
