/**
 * Agent process running beside one rank's engine: executes orders for the rank and may coordinate
 * its group.
 */
import { sleep, SuspensionClock, systemClock } from '../core/clock/index.js';
import { SwitchParticipant, type RankOrder } from '../core/groups/index.js';
import { newIncarnation } from '../core/ids/index.js';
import { createLog, type Log } from '../core/logging/index.js';
import { Metrics } from '../core/metrics/index.js';
import {
  AGENT_PACE,
  AGENT_RELAYED_PACE,
  followPublished,
  hostOf,
  PublishedState,
  RelayedSource,
  type PublishedStore,
} from '../core/published/index.js';
import { errorText, type HarriergladeError } from '../core/errors/index.js';
import type { Result } from '../core/result/index.js';
import { reportClockSteps } from '../runtime/clock-steps.js';
import { ConnectionPools } from '../runtime/connection-pools.js';
import { reportCutResponses } from '../runtime/response-limits.js';
import { listen } from '../runtime/listen.js';
import { watchSettings } from '../runtime/settings-watch.js';
import type { GroupDigest } from '../generated/messages.types.js';
import { requestFromRelay, createPeers } from '../rpc/peers.js';
import { CONNECT_TIMEOUT_MS } from '../rpc/consts.js';
import type { RpcHandlers } from '../rpc/router.js';
import { createRpcServer } from '../rpc/serve.js';
import { createClientLimits } from '../runtime/connections/index.js';
import { orderRelays } from '../runtime/relays.js';
import type { InstanceSettings } from '../gateway/types.js';
import { ActiveEntries } from './active-entries.js';
import { changePauseMs, MAX_DIGEST_AGE_MS, OWN_ENGINE_POLL_INTERVAL_MS } from './consts.js';
import { CoordinatorTask } from './coordinator-task.js';
import type { EngineCalls } from './engine-calls.js';
import { FanOut, serveBranch, type CallAgent } from './fan-out.js';
import { mayBeSameGroup } from './group-view.js';
import { LatestDigest } from './latest-digest.js';
import { OwnGroup } from './own-group.js';
import { CoordinatorElection } from './coordinator-election.js';
import { createSwitchEngine } from './switch-engine.js';

/** Dependencies of an agent process. */
export interface AgentDeps {
  readonly settings: InstanceSettings;
  readonly reread: () => Result<InstanceSettings, HarriergladeError>;
  readonly store: PublishedStore;
  readonly connect: (origin: string, log: Log, metrics: Metrics) => EngineCalls;
}

/**
 * Starts an agent and listens for RPC calls.
 * @example await startAgent({ settings, reread, store, connect });
 */
export async function startAgent(deps: AgentDeps): Promise<void> {
  const { settings } = deps;
  const { ownEndpoint } = settings;
  if (!ownEndpoint) throw new Error('settings: no engine of this instance is configured');
  const clock = systemClock;
  const log = createLog('info', { instance: settings.instance });
  const metrics = new Metrics();
  const state = new PublishedState();
  const sharedDeps = { clock, random: Math.random, log, metrics };
  const ageClock = new SuspensionClock(clock, reportClockSteps(log, metrics));
  /**
   * For components that hold received data: their clock keeps counting while the instance is
   * suspended, so that the data still ages.
   */
  const suspensionAwareDeps = { ...sharedDeps, clock: ageClock };
  const shutdown = new AbortController();
  const group = new OwnGroup(state, ownEndpoint, settings.internalPort);
  const peers = createPeers(
    new ConnectionPools(
      { connect: { timeout: CONNECT_TIMEOUT_MS } },
      reportCutResponses(log, metrics),
    ),
  );
  const source = new RelayedSource({
    ...suspensionAwareDeps,
    state,
    store: deps.store,
    ...orderRelays(settings),
    ask: requestFromRelay(peers),
    pause: sleep,
    pace: AGENT_RELAYED_PACE,
    wantsConfig: () => group.lacksEngineInfo(),
  });
  void followPublished(
    {
      ...suspensionAwareDeps,
      state,
      source,
      pace: {
        ...AGENT_PACE,
        // Large sites see many changes elsewhere in the service; they matter here only while a
        // member is missing.
        get changePauseMs() {
          return changePauseMs(group.agents().length, group.isComplete());
        },
      },
      needsFullRead: () => group.lacksEngineInfo(),
    },
    shutdown.signal,
  );
  const agents = (): string[] => group.agents();
  const self = `${settings.ip}:${settings.internalPort}`;
  const layers = (): number => group.engineInfo()?.layers ?? 0;
  /** Creates the switch participant of the engine at a host; all instances use the same ports. */
  const createParticipant = (host: string, isLocal: boolean): SwitchParticipant => {
    const calls = deps.connect(`http://${host}:${ownEndpoint.port}`, log, metrics);
    const engine = createSwitchEngine({ calls, clock, layers, pause: sleep, isLocal });
    return new SwitchParticipant(newIncarnation(clock.wallMs()), engine, () => 0);
  };
  const participant = createParticipant(ownEndpoint.host, true);
  const digest = new LatestDigest(ageClock);
  const activeEntries = new ActiveEntries();
  const election = new CoordinatorElection({
    ...sharedDeps,
    self,
    rank: () => group.rank,
    size: () => agents().length,
  });
  /**
   * Whether an order may come from the own group. An empty or unknown group name matches any group.
   */
  const mayBeOwnGroup = (order: RankOrder): boolean =>
    mayBeSameGroup(group.group, order.group || undefined);
  const applyDigest = (received: GroupDigest | undefined): void => {
    if (received && digest.update(received)) group.recordDigest(received);
  };
  const serveRank = async (order: RankOrder): ReturnType<SwitchParticipant['serve']> => {
    if (order.kind === 'look' && mayBeOwnGroup(order)) {
      applyDigest(order.digest);
      if (order.from !== undefined) election.recordPoll(order.from);
    }
    const reply = await participant.serve(order);
    group.recordOwnReply(reply);
    if (order.kind !== 'look') return reply;
    const otherCoordinator = election.recentPollerExcept(order.from);
    return {
      ...reply,
      askers: activeEntries.recent(clock.nowMs()),
      ...(order.from !== undefined && { demands: activeEntries.takeDemands(clock.nowMs()) }),
      ...(otherCoordinator && { heard: otherCoordinator }),
    };
  };

  /**
   * Polls the own engine until it reports its group and rank; no coordinator may be polling it yet.
   */
  const discoverOwnRank = async (): Promise<void> => {
    while (group.rank === undefined) {
      try {
        await serveRank({ group: '', kind: 'look', epoch: 0 });
      } catch (err) {
        metrics.count('own_engine_failures_total');
        log.debug('engine.unseen', { err: errorText(err) });
      }
      await sleep(OWN_ENGINE_POLL_INTERVAL_MS);
    }
  };

  const directGates = new Map<string, SwitchParticipant>();
  /** Returns the participant through which this process drives another agent's engine directly. */
  const directGateFor = (address: string): SwitchParticipant => {
    const existing = directGates.get(address);
    if (existing) return existing;
    const created = createParticipant(hostOf(address), false);
    directGates.set(address, created);
    return created;
  };

  const callAgent: CallAgent = (address, order, timeoutMs) =>
    address === self
      ? serveRank(order)
      : peers.at(address).rank.mutate(order, { signal: AbortSignal.timeout(timeoutMs) });
  const fanOut = new FanOut({
    self,
    clock,
    call: callAgent,
    callBranch: (forwarder, order, timeoutMs) =>
      peers.at(forwarder).branch.mutate(order, { signal: AbortSignal.timeout(timeoutMs) }),
  });
  const limits = createClientLimits({
    role: 'agent',
    ...settings.gateway,
    log,
    metrics,
    nowMs: () => clock.nowMs(),
  });
  const calls: RpcHandlers = {
    rank: serveRank,
    branch: (order) => serveBranch(callAgent, order),
    group: (request) => {
      if (request.sends) activeEntries.record(request.from, clock.nowMs(), request.demand);
      // A digest that is no longer renewed describes an outdated state of the group.
      const latest = digest.read(MAX_DIGEST_AGE_MS);
      return latest && { ...latest, takesDemand: true };
    },
  };
  process.on('SIGTERM', () => {
    log.info('process.stopped', {});
    process.exit(0);
  });
  const server = createRpcServer(calls, { limits });
  await listen(server, { host: settings.ip, port: settings.internalPort });
  const task = new CoordinatorTask({
    ...sharedDeps,
    self,
    group: () => group.group,
    agents,
    onReply: (address, reply) => {
      group.recordReply(address, reply);
      election.recordReply(reply);
    },
    engine: () => group.engineInfo(),
    pause: sleep,
    callEngineDirectly: (address, order) => directGateFor(address).serve(order),
    callAll: (...args) => fanOut.callAll(...args),
  });
  watchSettings(deps.reread, settings, log);
  void task.run(election, shutdown.signal);
  void discoverOwnRank();
  log.info('process.started', { self, engine: `${ownEndpoint.host}:${ownEndpoint.port}` });
}
