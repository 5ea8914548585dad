/** One gateway process: starts its parts, follows the published state, stops when told to. */
import { createServer } from 'node:http';
import { sleep, SuspensionClock, systemClock } from '../core/clock/index.js';
import type { HarriergladeError } from '../core/errors/index.js';
import { newIncarnation } from '../core/ids/index.js';
import { createLog, type Log } from '../core/logging/index.js';
import { Metrics } from '../core/metrics/index.js';
import {
  entryPace,
  ENTRY_RELAYED,
  followPublished,
  PublishedRelay,
  PublishedState,
  RELAY_PACE,
  RelayedSource,
  type PublishedStore,
} from '../core/published/index.js';
import type { Result } from '../core/result/index.js';
import type { AskNews } from '../generated/messages.types.js';
import { askRelay, createPeers } from '../rpc/peers.js';
import type { DaemonCalls } from '../rpc/router.js';
import { serveRpc } from '../rpc/serve.js';
import { noteStep } from '../runtime/clock-steps.js';
import { KeptConnections } from '../runtime/connection-pools.js';
import { listen } from '../runtime/listen.js';
import { relayPlace } from '../runtime/relays.js';
import { watchSettings } from '../runtime/settings-watch.js';
import { STOP_CUT_MS, STOP_POLL_MS, STOP_SERVING_MS } from './consts.js';
import { takeLeaving } from './asked.js';
import { createContext, type GatewayContext } from './context.js';
import { createGateway, type Gateway } from './gateway.js';
import { GroupSight } from './group-sight.js';
import { createRateLimits } from './rate-limits.js';
import { relayTeller } from './tell-relays.js';
import type { CallerInterface, InstanceSettings } from './types.js';

/** Port of the metrics address; the deploy file names it too. */
const METRICS_PORT = 9464;
const METRICS_PATH = '/metrics';
/** Time to open a connection to another daemon, ms. */
const PEER_CONNECT_MS = 500;
/** Time to tell another entry what was seen here, ms. */
const TELL_MS = 500;
/** Period of updates on rate limits to the relays, ms. */
const LIMIT_UPDATES_MS = 400;
/** How often the places of this entry are logged, ms. */
const TURNS_LOG_MS = 1000;
/** How often endpoints that are gone are dropped, ms. */
const PRUNE_MS = 2000;

/** What a process is started with. */
export interface ProcessParts {
  readonly settings: InstanceSettings;
  readonly reread: () => Result<InstanceSettings, HarriergladeError>;
  readonly store: PublishedStore;
  readonly callers: CallerInterface;
  /** Path at which the platform asks whether callers may be sent here. */
  readonly readyPath: string;
}

/**
 * Starts an entry.
 * @example await startProcess({ settings, reread, store, callers, readyPath: '/ready' });
 */
export async function startProcess(parts: ProcessParts): Promise<void> {
  const { settings } = parts;
  const log = createLog('info', { instance: settings.instance });
  const metrics = new Metrics();
  const state = new PublishedState();
  const { dataCentre } = settings;
  const ageClock = new SuspensionClock(systemClock, noteStep(log, metrics));
  const shared = { state, random: Math.random, log, metrics, dataCentre, clock: systemClock };
  /** Parts that hold what others told: it grows old also while the machine is suspended. */
  const known = { ...shared, clock: ageClock };
  const ending = new AbortController();
  const peers = createPeers(new KeptConnections({ connect: { timeout: PEER_CONNECT_MS } }));
  const place = relayPlace(settings);
  const groups = new GroupSight({
    ...known,
    port: settings.internalPort,
    ask: (address, sends, withinMs) =>
      peers
        .at(address)
        .group.query({ from: settings.instance, sends }, { signal: AbortSignal.timeout(withinMs) }),
    isUsed: (service, group) => (ctx.serviceOf(service).groups?.at(group).queue.running ?? 0) > 0,
    onSeen: (service, group) => ctx.serviceOf(service).groups?.at(group).noteSeen(),
  });
  const telling = { relays: place.relays, log };
  const tellOne = (address: string, news: AskNews): Promise<void> =>
    peers.at(address).asks.mutate(news, { signal: AbortSignal.timeout(TELL_MS) });
  const tellLeaving = relayTeller({ ...telling, tellOne, event: 'asks.untold' });
  const rateLimits = createRateLimits({
    ...known,
    ...place,
    settings,
    peers,
    tellOne,
    countKnown: () => groups.entriesKnown,
    onChange: () => relay.wake(),
  });
  const ctx: GatewayContext = createContext({
    ...shared,
    ageClock,
    tellCrashes: relayTeller({
      ...telling,
      tellOne: (address, news) =>
        peers.at(address).crashes.mutate(news, { signal: AbortSignal.timeout(TELL_MS) }),
      event: 'crash.untold',
    }),
    tellLeaving: (endpoint) => {
      relay.noteLearnt();
      tellLeaving({ from: settings.instance, leaving: [endpoint], limits: [] });
    },
    limits: rateLimits.gossip.limits,
    limiterOf: (endpoint) => rateLimits.limiterOf(endpoint),
    settings: settings.gateway,
    retryShare: () => settings.retryShare,
    callers: parts.callers,
    sightOf: (endpoint) => groups.of(endpoint),
    entriesKnown: () => groups.entriesKnown,
    groupSize: (group) => groups.sizeOf(group),
    groupOf: (endpoint) => groups.groupOf(endpoint),
  });
  const gateway = createGateway(ctx);
  const crashes = ctx.crashes.evidence;
  const source = new RelayedSource({
    ...known,
    store: parts.store,
    ...place,
    ask: askRelay(peers),
    pause: sleep,
    pace: ENTRY_RELAYED,
    wantsConfig: () => true,
    crashes,
    asks: rateLimits.gossip,
  });
  const relay = new PublishedRelay({
    ...known,
    life: newIncarnation(systemClock.wallMs()),
    isDirect: () => source.isDirect,
    crashes,
    asks: rateLimits.gossip,
  });
  const onLearnt = (): void => relay.noteLearnt();
  const pace = place.isRelay ? RELAY_PACE : entryPace(settings.contactMs);
  void followPublished({ ...known, source, pace, onLearnt }, ending.signal);
  void groups.run(ending.signal);
  setInterval(() => ctx.endpoints.prune(), PRUNE_MS).unref();
  setInterval(() => logTurns(ctx), TURNS_LOG_MS).unref();
  setInterval(() => rateLimits.flush(), LIMIT_UPDATES_MS).unref();
  watchSettings(parts.reread, settings, log);
  process.on('SIGTERM', () => {
    void stop(gateway, settings, log).then(() => process.exit(0));
  });
  const calls: DaemonCalls = {
    published: (ask) => relay.answer(ask),
    crashes: (news) => {
      if (crashes.take(news)) relay.wake();
    },
    token: (request) => rateLimits.grant(request),
    asks: (news) => {
      rateLimits.merge(news);
      if (takeLeaving(ctx, news)) relay.noteLearnt();
    },
  };
  await openAddresses(parts, gateway, metrics, calls);
  log.info('process.started', { settings: JSON.stringify(settings) });
}

/** Says what each group was seen to run and how much of it this entry gives, for whoever asks later why it refused. */
function logTurns(ctx: GatewayContext): void {
  for (const service of ctx.state.config?.services.values() ?? []) {
    for (const { id, turns } of ctx.serviceOf(service.id).groups?.all() ?? []) {
      const figures = turns.figures();
      if (figures) ctx.log.info('group.seen', { service: service.id, group: id, ...figures });
    }
  }
}

async function openAddresses(
  parts: ProcessParts,
  gateway: Gateway,
  metrics: Metrics,
  calls: DaemonCalls,
): Promise<void> {
  const { callers, control, ready: readyAddress, ip } = parts.settings;
  const ready = createServer((req, res) => {
    const ok = req.url === parts.readyPath && gateway.isReady();
    res.writeHead(ok ? 200 : 503, { 'content-length': 0 }).end();
  });
  const figures = createServer((req, res) => {
    const found = req.url === METRICS_PATH;
    res.writeHead(found ? 200 : 404, { 'content-type': 'text/plain; version=0.0.4' });
    res.end(found ? metrics.print() : '');
  });
  if (control) await listen(serveRpc(calls), control);
  if (callers) await listen(gateway.server, callers);
  if (readyAddress) await listen(ready, readyAddress);
  await listen(figures, { host: ip, port: METRICS_PORT });
}

/** Sends callers elsewhere, lets what runs finish, and returns before the process would be killed. */
async function stop(gateway: Gateway, settings: InstanceSettings, log: Log): Promise<void> {
  const startedAtMs = systemClock.nowMs();
  const tookMs = (): number => systemClock.nowMs() - startedAtMs;
  gateway.stop();
  log.info('process.stopping', { running: gateway.running() });
  while (tookMs() < settings.stopMs - STOP_CUT_MS) {
    await sleep(STOP_POLL_MS);
    if (tookMs() > STOP_SERVING_MS && gateway.running() === 0) break;
  }
  log.info('process.stopped', { tookMs: Math.round(tookMs()), cut: gateway.running() });
}
