/**
 * Participates in map switches of the group, as a rank and, if no lower rank is alive, as
 * coordinator.
 */
import { sleep } from '../core/clock/index.js';
import { errorText } from '../core/errors/index.js';
import {
  ARM_MARGIN_STEPS,
  nextEpoch,
  SwitchParticipant,
  roundDelayMs,
  callEachRank,
  runSwitch,
  type SwitchContext,
  type EngineState,
  type ExpertMap,
  type RankEngine,
  type SwitchOutcome,
} from '../core/groups/index.js';
import type { DaemonContext } from '../runtime/index.js';
import type { GroupConfig } from '../generated/configuration.types.js';
import type { RankOrder, RankReply } from '../generated/messages.types.js';
import type { Endpoint } from './endpoint.js';
import { PlacementRound } from './placement-round.js';

/** A rank of a group. */
export interface Rank {
  serve(order: RankOrder): Promise<RankReply>;
  status(): object;
  run(signal: AbortSignal): Promise<void>;
}

/** Timeout of one order, ms; loading experts takes longest. */
const ORDER_TIMEOUT_MS = 10_000;
const HELLO_TIMEOUT_MS = 500;
const HTTP_NOT_FOUND = 404;

/** Adapts the endpoint's order interface to the switch participant. */
function createRankEngine(endpoint: Endpoint, checksFences: boolean): RankEngine {
  return {
    read: async ({ counts }) =>
      (await endpoint.read(counts ? '/state?counts=take' : '/state')) as EngineState & {
        counts?: number[][];
      },
    order: async (order) => {
      // An engine that does not check fences does not store them either.
      if (order.kind === 'fence' && !checksFences) return 'done';
      const { status } = await endpoint.order('/orders', order);
      if (status === HTTP_NOT_FOUND)
        throw new Error('endpoint answered 404 to POST /orders: it does not support map switches');
      return status === 200 ? 'done' : 'refused';
    },
  };
}

/**
 * Starts the rank of an agent.
 * @example const rank = startRank(ctx, endpoint, settings); void rank.run(signal);
 */
export function startRank(
  ctx: DaemonContext,
  endpoint: Endpoint,
  settings: { id: string; checksFences?: boolean },
): Rank {
  const ownGroup = (): GroupConfig | undefined =>
    ctx.store.config?.body.groups.find((g) => g.endpoints.includes(settings.id));
  const rankIndex = (): number => ownGroup()?.endpoints.indexOf(settings.id) ?? 0;
  const participant = new SwitchParticipant(
    ctx.incarnation,
    createRankEngine(endpoint, settings.checksFences ?? true),
    rankIndex,
  );
  let highestEpoch = 0;
  let knownMap: ExpertMap | undefined;
  let lastSwitch: SwitchOutcome | undefined;
  let placementRound: { configJson: string; placement: PlacementRound } | undefined;

  const pauseMs = (): number => {
    const { groupMs } = ctx.settings.timing;
    const group = ownGroup();
    return group ? roundDelayMs({ ...group, ranks: group.endpoints.length }, groupMs) : groupMs;
  };

  async function callRank(group: GroupConfig, rank: number, order: RankOrder): Promise<RankReply> {
    const target = group.endpoints[rank] ?? '';
    if (target === settings.id) return participant.serve(order);
    const address = ctx.view().agentByEndpoint.get(target)?.address;
    if (!address) throw new Error(`no agent is listed for endpoint ${target}`);
    return ctx.peers
      .at(address)
      .rank.mutate(order, { signal: AbortSignal.timeout(ORDER_TIMEOUT_MS) });
  }

  /**
   * Whether a lower rank responds, which then coordinates. Only a hint: two coordinators are safe.
   */
  async function hasLiveLowerRank(group: GroupConfig): Promise<boolean> {
    const lowerRanks = group.endpoints.slice(0, rankIndex());
    for (const endpointId of lowerRanks) {
      const address = ctx.view().agentByEndpoint.get(endpointId)?.address;
      if (!address) continue;
      try {
        const hello = await ctx.peers
          .at(address)
          .hello.query(undefined, { signal: AbortSignal.timeout(HELLO_TIMEOUT_MS) });
        if (!hello.leaving) return true;
      } catch {
        ctx.metrics.count('rank_hello_failures_total');
      }
    }
    return false;
  }

  async function coordinate(group: GroupConfig): Promise<void> {
    // A new document that does not change the group keeps its popularity estimate.
    const configJson = JSON.stringify(group);
    if (placementRound?.configJson !== configJson)
      placementRound = { configJson, placement: new PlacementRound(ctx, group) };
    const coordination: SwitchContext = {
      group: group.id,
      ranks: group.endpoints.length,
      callRanks: callEachRank((rank, order) => callRank(group, rank, order)),
      known: knownMap,
      wantsCounts: true,
      marginSteps: () => ARM_MARGIN_STEPS,
    };
    const epoch = nextEpoch(Math.max(highestEpoch, participant.epoch), rankIndex());
    const { chooseMap } = placementRound.placement;
    lastSwitch = await runSwitch(coordination, epoch, (view) => {
      knownMap = view.map;
      // If the process was suspended before the choice, its promises are stale: the next round gets
      // new ones.
      return ctx.pauseDetector.pausedMs() > 0 ? undefined : chooseMap(view);
    });
    highestEpoch = lastSwitch.kind === 'blocked' ? Math.max(epoch, lastSwitch.highest) : epoch;
    ctx.metrics.count('switch_rounds_total', { end: lastSwitch.kind });
    if (lastSwitch.kind !== 'kept')
      ctx.log.info('switch.round', {
        group: group.id,
        epoch,
        end: lastSwitch.kind,
        detail: 'detail' in lastSwitch ? lastSwitch.detail : undefined,
      });
  }

  return {
    serve: (order) => participant.serve(order),
    status: () => ({
      group: ownGroup()?.id,
      rank: rankIndex(),
      promised: participant.epoch,
      lastRound: lastSwitch,
    }),
    run: async (signal) => {
      while (!signal.aborted) {
        await sleep(pauseMs() * (0.75 + ctx.random() / 2), signal);
        const group = ownGroup();
        if (!group || signal.aborted) continue;
        try {
          if (!(await hasLiveLowerRank(group))) await coordinate(group);
        } catch (err) {
          ctx.metrics.count('switch_rounds_total', { end: 'failed' });
          ctx.log.warn('switch.failed', { group: group.id, err: errorText(err) });
        }
      }
    },
  };
}
