/** One gateway process: starts its components, follows the published state and stops on SIGTERM. */
import { EvidenceUpdates } from '../core/crashes/index.js';
import { sleep, SuspensionClock, systemClock } from '../core/clock/index.js';
import { errorText, type HarriergladeError } from '../core/errors/index.js';
import { newIncarnation } from '../core/ids/index.js';
import { createLog, type Log } from '../core/logging/index.js';
import { Metrics } from '../core/metrics/index.js';
import {
  entryPace,
  ENTRY_RELAYED_PACE,
  followPublished,
  PublishedRelay,
  PublishedState,
  RELAY_PACE,
  RelayedSource,
  type PublishedStore,
} from '../core/published/index.js';
import type { Result } from '../core/result/index.js';
import type { BackpressureUpdate, CrashUpdate } from '../generated/messages.types.js';
import { requestFromRelay, createPeers } from '../rpc/peers.js';
import type { RpcHandlers } from '../rpc/router.js';
import { createRpcServer } from '../rpc/serve.js';
import { reportClockSteps } from '../runtime/clock-steps.js';
import { createBoundedServer } from '../runtime/bounded-server.js';
import { createClientLimits } from '../runtime/connections/index.js';
import { ConnectionPools } from '../runtime/connection-pools.js';
import { reportCutResponses } from '../runtime/response-limits.js';
import { listen } from '../runtime/listen.js';
import { orderRelays } from '../runtime/relays.js';
import { watchSettings } from '../runtime/settings-watch.js';
import { STOP_ABORT_MS, STOP_POLL_MS, STOP_SERVING_MS } from './consts.js';
import { applyLeaving } from './backpressure/backpressure-signals.js';
import { createContext, type GatewayContext } from './context.js';
import { createGateway, type Gateway } from './gateway.js';
import { summarizeRanks } from '../core/routing/index.js';
import { registerGroupGauges } from './groups/group-gauges.js';
import { GroupStatus } from './groups/group-status.js';
import { createRateLimits } from './backpressure/rate-limits.js';
import { createRelayBroadcast } from './backpressure/relay-broadcast.js';
import type { CallerApi, InstanceSettings } from './types.js';

/** Port of the metrics address; the deployment file must use the same one. */
const METRICS_PORT = 9464;
const METRICS_PATH = '/metrics';
/** Timeout of opening a connection to another daemon, ms. */
const PEER_CONNECT_TIMEOUT_MS = 500;
/** Timeout of sending an update to another entry, ms. */
const SEND_TIMEOUT_MS = 500;
/** Interval of updates to the relays, and of trying again those that were not acknowledged, ms. */
const UPDATE_INTERVAL_MS = 400;
/** Interval at which the slots of this entry are logged, ms. */
const SLOT_LOG_INTERVAL_MS = 1000;
/** Interval at which unlisted endpoints are removed, ms. */
const PRUNE_INTERVAL_MS = 2000;

/** Dependencies and settings of a gateway process. */
export interface ProcessDeps {
  readonly settings: InstanceSettings;
  readonly reread: () => Result<InstanceSettings, HarriergladeError>;
  readonly store: PublishedStore;
  readonly callers: CallerApi;
  /** Path of the platform's readiness check. */
  readonly readyPath: string;
}

/**
 * Starts a gateway process.
 * @example await startProcess({ settings, reread, store, callers, readyPath: '/ready' });
 */
export async function startProcess(deps: ProcessDeps): Promise<void> {
  const { settings } = deps;
  const log = createLog('info', { instance: settings.instance });
  const metrics = new Metrics();
  const state = new PublishedState();
  const { dataCentre } = settings;
  const ageClock = new SuspensionClock(systemClock, reportClockSteps(log, metrics));
  const sharedDeps = { state, random: Math.random, log, metrics, dataCentre, clock: systemClock };
  /** For components that keep state received from others: its age includes suspension of the machine. */
  const agingDeps = { ...sharedDeps, clock: ageClock };
  const shutdown = new AbortController();
  const peers = createPeers(
    new ConnectionPools(
      { connect: { timeout: PEER_CONNECT_TIMEOUT_MS } },
      reportCutResponses(log, metrics),
    ),
  );
  const relayRole = orderRelays(settings);
  const groups = new GroupStatus({
    ...agingDeps,
    port: settings.internalPort,
    ask: (address, sends, withinMs, demand) =>
      peers
        .at(address)
        .group.query(
          { from: settings.instance, sends, ...(demand && { demand }) },
          { signal: AbortSignal.timeout(withinMs) },
        ),
    demandOf: (service, group) => ctx.serviceOf(service).groups?.queueOf(group).reportDemand(),
    hasRequests: (service, group) =>
      (ctx.serviceOf(service).groups?.queueOf(group).queue.running ?? 0) > 0,
    onUpdate: (service, group) => ctx.serviceOf(service).groups?.queueOf(group).noteCompletePoll(),
  });
  const broadcastDeps = { relays: relayRole.relays, log };
  const sendUpdate = (address: string, update: BackpressureUpdate): Promise<void> =>
    peers.at(address).asks.mutate(update, { signal: AbortSignal.timeout(SEND_TIMEOUT_MS) });
  const broadcastLeaving = createRelayBroadcast({
    ...broadcastDeps,
    sendTo: sendUpdate,
    event: 'asks.untold',
  });
  const rateLimits = createRateLimits({
    ...agingDeps,
    ...relayRole,
    settings,
    peers,
    sendUpdate,
    countKnown: () => groups.knownEntries,
    onChange: () => relay.wake(),
  });
  const clients = createClientLimits({
    role: 'entry',
    ...settings.gateway,
    log,
    metrics,
    nowMs: () => systemClock.nowMs(),
  });
  const ctx: GatewayContext = createContext({
    ...sharedDeps,
    clients,
    ageClock,
    broadcastCrashes: () => {
      relay.wakeSoon();
      crashUpdates.flush();
    },
    broadcastLeaving: (endpoint) => {
      relay.recordChanges();
      broadcastLeaving({ from: settings.instance, leaving: [endpoint], limits: [] });
    },
    limits: rateLimits.gossip.limits,
    limiterOf: (endpoint) => rateLimits.limiterOf(endpoint),
    settings: settings.gateway,
    retryShare: () => settings.retryShare,
    callers: deps.callers,
    statusOf: (endpoint) => groups.statusOf(endpoint),
    knownEntries: () => groups.knownEntries,
    groupLoad: (group) => groups.loadOf(group),
    groupOf: (endpoint) => groups.groupOf(endpoint),
  });
  registerGroupGauges(ctx);
  const gateway = createGateway(ctx);
  const crashes = ctx.crashes.evidence;
  const sendCrashes = (address: string, update: CrashUpdate): Promise<void> =>
    peers.at(address).crashes.mutate(update, { signal: AbortSignal.timeout(SEND_TIMEOUT_MS) });
  const logUnsentCrashes = (relay: string, err: unknown, againMs?: number): void =>
    log.info('crash.untold', { relay, detail: errorText(err), againMs });
  const crashUpdates = new EvidenceUpdates({
    clock: ageClock,
    evidence: crashes,
    relays: relayRole.relays,
    send: sendCrashes,
    onFailed: logUnsentCrashes,
  });
  const source = new RelayedSource({
    ...agingDeps,
    store: deps.store,
    ...relayRole,
    ask: requestFromRelay(peers),
    pause: sleep,
    pace: ENTRY_RELAYED_PACE,
    wantsConfig: () => true,
    crashes,
    restoreCrashes: (address, update) => {
      log.info('crash.restored', { relay: address, runs: update.runs.length });
      sendCrashes(address, update).catch((err: unknown) => logUnsentCrashes(address, err));
    },
    asks: rateLimits.gossip,
  });
  const relay = new PublishedRelay({
    ...agingDeps,
    life: newIncarnation(systemClock.wallMs()),
    isDirect: () => source.isDirect,
    crashes,
    asks: rateLimits.gossip,
  });
  const onReceived = (): void => {
    relay.recordChanges();
    ctx.endpoints.noteListed();
  };
  metrics.gauge('evacuated_data_centres', () => state.evacuated.size);
  const pace = relayRole.isRelay ? RELAY_PACE : entryPace(settings.contactMs);
  void followPublished({ ...agingDeps, source, pace, onRefresh: onReceived }, shutdown.signal);
  void groups.run(shutdown.signal);
  setInterval(() => ctx.endpoints.prune(), PRUNE_INTERVAL_MS).unref();
  setInterval(() => logSlotQueues(ctx, groups), SLOT_LOG_INTERVAL_MS).unref();
  setInterval(() => rateLimits.flush(), UPDATE_INTERVAL_MS).unref();
  setInterval(() => crashUpdates.flush(), UPDATE_INTERVAL_MS).unref();
  watchSettings(deps.reread, settings, log);
  process.on('SIGTERM', () => {
    void stop(gateway, settings, log).then(() => process.exit(0));
  });
  const calls: RpcHandlers = {
    published: (request) => relay.answer(request),
    crashes: (update) => {
      if (crashes.merge(update)) relay.wakeSoon();
    },
    token: (request) => rateLimits.grant(request),
    asks: (update) => {
      rateLimits.merge(update);
      if (applyLeaving(ctx, update)) relay.recordChanges();
    },
  };
  await listenAll(deps, gateway, ctx, calls);
  log.info('process.started', { settings: JSON.stringify(settings) });
}

/** Logs the load of each group and the slots of this entry, so that refusals can be explained later. */
function logSlotQueues(ctx: GatewayContext, groups: GroupStatus): void {
  for (const service of ctx.state.config?.services.values() ?? []) {
    for (const { id, slotQueue } of ctx.serviceOf(service.id).groups?.all() ?? []) {
      const fields = slotQueue.logFields();
      if (fields) ctx.log.info('group.seen', { service: service.id, group: id, ...fields });
      const engines = groups.enginesOf(id);
      if (engines.length > 0) ctx.log.info('ranks.seen', { group: id, ...summarizeRanks(engines) });
    }
  }
}

async function listenAll(
  deps: ProcessDeps,
  gateway: Gateway,
  { clients: limits, metrics }: GatewayContext,
  calls: RpcHandlers,
): Promise<void> {
  const { callers, control, ready: readyAddress, ip } = deps.settings;
  const readyServer = createBoundedServer({ limits, port: 'ready' }, (req, res) => {
    const ok = req.url === deps.readyPath && gateway.isReady();
    res.writeHead(ok ? 200 : 503, { 'content-length': 0 }).end();
  });
  const metricsServer = createBoundedServer({ limits, port: 'operators' }, (req, res) => {
    const found = req.url === METRICS_PATH;
    res.writeHead(found ? 200 : 404, { 'content-type': 'text/plain; version=0.0.4' });
    res.end(found ? metrics.print() : '');
  });
  if (control) await listen(createRpcServer(calls, { limits }), control);
  if (callers) await listen(gateway.server, callers);
  if (readyAddress) await listen(readyServer, readyAddress);
  await listen(metricsServer, { host: ip, port: METRICS_PORT });
}

/** Shuts the gateway down: lets in-flight requests finish, but returns before the process would be killed. */
async function stop(gateway: Gateway, settings: InstanceSettings, log: Log): Promise<void> {
  const startedAtMs = systemClock.nowMs();
  const tookMs = (): number => systemClock.nowMs() - startedAtMs;
  gateway.stop();
  log.info('process.stopping', { running: gateway.running() });
  while (tookMs() < settings.stopGraceMs - STOP_ABORT_MS) {
    await sleep(STOP_POLL_MS);
    if (tookMs() > STOP_SERVING_MS && gateway.running() === 0) break;
  }
  log.info('process.stopped', { tookMs: Math.round(tookMs()), cut: gateway.running() });
}
