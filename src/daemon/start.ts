/** Starts one daemon from validated settings, and stops it after its requests have drained. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connectEndpoint, startRank, type Rank } from '../agent/index.js';
import { sleep } from '../core/clock/index.js';
import { runFeed, type FeedUpdate } from '../core/config-feed/index.js';
import type { FullSettings } from '../core/settings/index.js';
import {
  CONNECT_TIMEOUT_MS,
  createRpcServer,
  MAX_RPC_MESSAGE_BYTES,
  type RpcHandlers,
} from '../rpc/index.js';
import type { DaemonContext } from '../runtime/index.js';
import { listen } from '../runtime/listen.js';
import { createDaemonContext, type ShutdownState } from './context.js';
import { startEntry, type Entry } from './entry.js';
import { createOperatorServer } from './operators.js';
import { createPlatformClient } from './platform-client.js';
import { createSocketByteCounter } from './socket-bytes.js';

/** Ports that the daemon listens on. */
export interface DaemonPorts {
  readonly callers: number | undefined;
  readonly daemons: number;
  readonly operators: number;
}

/** A running daemon. */
export interface Daemon {
  readonly ctx: DaemonContext;
  readonly ports: DaemonPorts;
  /** Refuses new requests and waits for those in flight, at most `drainMs`; counts those cut off. */
  stop(): Promise<{ cut: number }>;
  /** Stops at once, cutting off the requests in flight. */
  kill(): void;
}

const DRAIN_POLL_INTERVAL_MS = 25;
/** Longer than the clients' own timeout, so that a client never writes to a connection just closed. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

function commonHandlers(ctx: DaemonContext): Pick<RpcHandlers, 'hello' | 'feedWatch'> {
  return {
    hello: () => ({
      instance: ctx.self,
      incarnation: ctx.incarnation,
      ...ctx.store.versions(),
      leaving: ctx.isLeaving(),
    }),
    feedWatch: (input): Promise<FeedUpdate | undefined> => {
      ctx.metrics.count('feed_served_total');
      return ctx.store.waitForUpdates(input, input.waitMs);
    },
  };
}

function createDaemonServer(ctx: DaemonContext, rank: Rank | undefined): Server {
  const handlers = { ...commonHandlers(ctx), ...(rank && { rank: rank.serve }) };
  return createRpcServer(handlers, {
    limits: ctx.clients,
    maxBytes: MAX_RPC_MESSAGE_BYTES,
    keepAliveMs: KEEP_ALIVE_TIMEOUT_MS,
    onError: (path, code) => ctx.metrics.count('rpc_errors_total', { path, code }),
  });
}

function startRankIfAgent(ctx: DaemonContext): Rank | undefined {
  const { endpoint } = ctx.settings;
  if (ctx.settings.role !== 'agent' || !endpoint) return undefined;
  return startRank(ctx, connectEndpoint(ctx.connections, endpoint.url), endpoint);
}

/** Follows the published documents, through relays where there are any. */
function startFeed(ctx: DaemonContext): ReturnType<typeof runFeed> {
  const { settings } = ctx;
  const { timing } = settings;
  return runFeed(
    {
      self: ctx.self,
      dataCentre: settings.dataCentre,
      seeds: settings.peers,
      watchMs: timing.watchMs,
      fallbackMs: timing.fallbackMs,
      startMs: timing.startMs,
      store: ctx.store,
      view: ctx.view,
      platform: createPlatformClient(ctx.connections, settings.platform.url),
      watchPeer: async (address, heldVersions, waitMs, signal) => {
        const signalWithTimeout = AbortSignal.any([
          signal,
          AbortSignal.timeout(waitMs + CONNECT_TIMEOUT_MS * 2),
        ]);
        return (await ctx.peers
          .at(address)
          .feedWatch.query({ ...heldVersions, waitMs }, { signal: signalWithTimeout })) as
          FeedUpdate | undefined;
      },
      clock: ctx.clock,
      random: ctx.random,
      log: ctx.log,
      metrics: ctx.metrics,
    },
    ctx.signal,
  );
}

async function drain(ctx: DaemonContext, running: () => number): Promise<number> {
  const deadlineMs = ctx.clock.nowMs() + ctx.settings.timing.drainMs;
  while (running() > 0 && ctx.clock.nowMs() < deadlineMs) await sleep(DRAIN_POLL_INTERVAL_MS);
  return running();
}

/** CPU time that this process has used, microseconds. */
function processCpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

const portOf = (server: Server): number => (server.address() as AddressInfo).port;

/**
 * Starts a daemon; resolves once it listens and has requested the published state.
 * @example const daemon = await startDaemon(settings); await daemon.stop();
 */
export async function startDaemon(settings: FullSettings): Promise<Daemon> {
  const abortController = new AbortController();
  const shutdown: ShutdownState = { isRequested: false };
  const socketBytes = createSocketByteCounter();
  const ctx = createDaemonContext(settings, shutdown, socketBytes, abortController.signal);
  const rank = startRankIfAgent(ctx);
  const entry: Entry | undefined = settings.role === 'entry' ? startEntry(ctx) : undefined;
  const running = (): number => entry?.gateway.running() ?? 0;

  const daemonServer = createDaemonServer(ctx, rank);
  socketBytes.trackServer(daemonServer);
  ctx.metrics.gauge('socket_bytes', socketBytes.total);
  ctx.metrics.gauge('cpu_us', () => processCpuUs());
  ctx.metrics.gauge('running', running);
  const operatorServer = createOperatorServer({
    ctx,
    running,
    decisions: entry?.decisions,
    group: rank?.status,
  });
  await listen(daemonServer, settings.listen.daemons);
  await listen(operatorServer, settings.listen.operators);
  const feed = startFeed(ctx);
  await feed.started;
  // Listens for callers last: without the published state every request would be refused.
  if (entry && settings.listen.callers) await listen(entry.gateway.server, settings.listen.callers);
  const rankTask = rank?.run(abortController.signal);
  const ports: DaemonPorts = {
    callers: entry && settings.listen.callers && portOf(entry.gateway.server),
    daemons: portOf(daemonServer),
    operators: portOf(operatorServer),
  };
  ctx.log.info('daemon.started', {
    incarnation: ctx.incarnation,
    ...ports,
    ...ctx.store.versions(),
  });

  const kill = (): void => {
    abortController.abort();
    ctx.pauseDetector.stop();
    entry?.close();
    for (const server of [entry?.gateway.server, daemonServer, operatorServer]) {
      server?.close();
      server?.closeAllConnections();
    }
    ctx.connections.destroy();
  };
  return {
    ctx,
    ports,
    kill,
    stop: async () => {
      shutdown.isRequested = true;
      entry?.gateway.stop();
      ctx.log.info('daemon.leaving', { running: running() });
      const cut = await drain(ctx, running);
      ctx.log.info('daemon.stopped', { cut });
      kill();
      await Promise.allSettled([feed.ended, rankTask]);
      return { cut };
    },
  };
}
