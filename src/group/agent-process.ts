/** One agent process, beside one rank's engine: serves the rank's orders and may coordinate the group. */
import { sleep, SuspensionClock, systemClock } from '../core/clock/index.js';
import { RankGate, type RankOrder } from '../core/groups/index.js';
import { newIncarnation } from '../core/ids/index.js';
import { createLog, type Log } from '../core/logging/index.js';
import { Metrics } from '../core/metrics/index.js';
import {
  AGENT_PACE,
  AGENT_RELAYED,
  followPublished,
  hostOf,
  PublishedState,
  RelayedSource,
  type PublishedStore,
} from '../core/published/index.js';
import { errorText, type HarriergladeError } from '../core/errors/index.js';
import type { Result } from '../core/result/index.js';
import { noteStep } from '../runtime/clock-steps.js';
import { KeptConnections } from '../runtime/connection-pools.js';
import { listen } from '../runtime/listen.js';
import { watchSettings } from '../runtime/settings-watch.js';
import type { GroupDigest } from '../generated/messages.types.js';
import { askRelay, createPeers } from '../rpc/peers.js';
import { CONNECT_MS } from '../rpc/consts.js';
import { serveRpc } from '../rpc/serve.js';
import { relayPlace } from '../runtime/relays.js';
import type { InstanceSettings } from '../gateway/types.js';
import { Askers } from './askers.js';
import { changePauseMs, DIGEST_STALE_MS, OWN_PAUSE_MS } from './consts.js';
import { CoordinatorTask } from './coordinator-task.js';
import type { EngineCalls } from './engine-calls.js';
import { FanOut, serveBranch, type CallAgent } from './fan-out.js';
import { mayBelong } from './group-view.js';
import { HeldDigest } from './held-digest.js';
import { OwnGroup } from './own-group.js';
import { Succession } from './succession.js';
import { createSwitchEngine } from './switch-engine.js';

/** What an agent is started with. */
export interface AgentParts {
  readonly settings: InstanceSettings;
  readonly reread: () => Result<InstanceSettings, HarriergladeError>;
  readonly store: PublishedStore;
  readonly connect: (origin: string, log: Log, metrics: Metrics) => EngineCalls;
}

/**
 * Starts an agent.
 * @example await startAgent({ settings, reread, store, connect });
 */
export async function startAgent(parts: AgentParts): Promise<void> {
  const { settings } = parts;
  const { ownEndpoint } = settings;
  if (!ownEndpoint) throw new Error('the settings name no engine of this machine');
  const clock = systemClock;
  const log = createLog('info', { instance: settings.instance });
  const metrics = new Metrics();
  const state = new PublishedState();
  const shared = { clock, random: Math.random, log, metrics };
  const ageClock = new SuspensionClock(clock, noteStep(log, metrics));
  /** Parts that hold what others told: it grows old also while the machine is suspended. */
  const known = { ...shared, clock: ageClock };
  const ending = new AbortController();
  const group = new OwnGroup(state, ownEndpoint, settings.internalPort);
  const peers = createPeers(new KeptConnections({ connect: { timeout: CONNECT_MS } }));
  const source = new RelayedSource({
    ...known,
    state,
    store: parts.store,
    ...relayPlace(settings),
    ask: askRelay(peers),
    pause: sleep,
    pace: AGENT_RELAYED,
    wantsConfig: () => group.lacksEngine(),
  });
  void followPublished(
    {
      ...known,
      state,
      source,
      pace: {
        ...AGENT_PACE,
        // Changes elsewhere in the service are many at large sites, and news only while a member is missing.
        get changePauseMs() {
          return changePauseMs(group.agents().length, group.isComplete());
        },
      },
      isLacking: () => group.lacksEngine(),
    },
    ending.signal,
  );
  const agents = (): string[] => group.agents();
  const self = `${settings.ip}:${settings.internalPort}`;
  const layers = (): number => group.engine()?.layers ?? 0;
  /** A gate before the engine at a host; ports are the same on all instances. */
  const gateAt = (host: string, isOwn: boolean): RankGate => {
    const calls = parts.connect(`http://${host}:${ownEndpoint.port}`, log, metrics);
    const engine = createSwitchEngine({ calls, clock, layers, pause: sleep, isOwn });
    return new RankGate(newIncarnation(clock.wallMs()), engine, () => 0);
  };
  const gate = gateAt(ownEndpoint.host, true);
  const digest = new HeldDigest(ageClock);
  const askers = new Askers();
  const succession = new Succession({
    ...shared,
    self,
    rank: () => group.rank,
    size: () => agents().length,
  });
  /** Whether an order comes from the own group, as far as either side knows; an empty name is none. */
  const isOwnGroup = (order: RankOrder): boolean =>
    mayBelong(group.group, order.group || undefined);
  const takeDigest = (newest: GroupDigest | undefined): void => {
    if (newest && digest.take(newest)) group.noteDigest(newest);
  };
  const serveRank = async (order: RankOrder): ReturnType<RankGate['serve']> => {
    if (order.kind === 'look' && isOwnGroup(order)) {
      takeDigest(order.digest);
      if (order.from !== undefined) succession.noteLook(order.from);
    }
    const reply = await gate.serve(order);
    group.noteOwn(reply);
    if (order.kind !== 'look') return reply;
    const heard = succession.heardBesides(order.from);
    return { ...reply, askers: askers.recent(clock.nowMs()), ...(heard && { heard }) };
  };

  /** Asks the own engine until it has told its group and rank: nobody else may ask before. */
  const learnOwn = async (): Promise<void> => {
    while (group.rank === undefined) {
      try {
        await serveRank({ group: '', kind: 'look', epoch: 0 });
      } catch (err) {
        metrics.count('own_engine_failures_total');
        log.debug('engine.unseen', { err: errorText(err) });
      }
      await sleep(OWN_PAUSE_MS);
    }
  };

  const standIns = new Map<string, RankGate>();
  /** A gate of our own before another agent's engine. */
  const standInFor = (address: string): RankGate => {
    const known = standIns.get(address);
    if (known) return known;
    const made = gateAt(hostOf(address), false);
    standIns.set(address, made);
    return made;
  };

  const callAgent: CallAgent = (address, order, withinMs) =>
    address === self
      ? serveRank(order)
      : peers.at(address).rank.mutate(order, { signal: AbortSignal.timeout(withinMs) });
  const fanOut = new FanOut({
    self,
    clock,
    call: callAgent,
    callBranch: (head, order, withinMs) =>
      peers.at(head).branch.mutate(order, { signal: AbortSignal.timeout(withinMs) }),
  });
  const server = serveRpc({
    rank: serveRank,
    branch: (order) => serveBranch(callAgent, order),
    group: (ask) => {
      if (ask.sends) askers.note(ask.from, clock.nowMs());
      // A digest that nobody renews tells of a group as it was.
      return digest.read(DIGEST_STALE_MS);
    },
  });
  process.on('SIGTERM', () => {
    log.info('process.stopped', {});
    process.exit(0);
  });
  await listen(server, { host: settings.ip, port: settings.internalPort });
  const task = new CoordinatorTask({
    ...shared,
    self,
    group: () => group.group,
    agents,
    noteReply: (address, reply) => {
      group.noteReply(address, reply);
      succession.noteReply(reply);
    },
    engine: () => group.engine(),
    pause: sleep,
    standIn: (address, order) => standInFor(address).serve(order),
    callAll: (...calls) => fanOut.callAll(...calls),
  });
  watchSettings(parts.reread, settings, log);
  void task.run(succession, ending.signal);
  void learnOwn();
  log.info('process.started', { self, engine: `${ownEndpoint.host}:${ownEndpoint.port}` });
}
