/** Builds the context that the components of one daemon share. */
import { buildConnector } from 'undici';
import { pauseDetector, systemClock } from '../core/clock/index.js';
import { FeedStore } from '../core/config-feed/index.js';
import { asId, newIncarnation, type InstanceId } from '../core/ids/index.js';
import { createLog } from '../core/logging/index.js';
import { buildInstanceView, EMPTY_VIEW, type InstanceView } from '../core/membership/index.js';
import { Metrics } from '../core/metrics/index.js';
import type { FullSettings } from '../core/settings/index.js';
import { CONNECT_TIMEOUT_MS, createPeers, MAX_RPC_MESSAGE_BYTES } from '../rpc/index.js';
import { createClientLimits } from '../runtime/connections/index.js';
import { ConnectionPools, reportCutResponses, type DaemonContext } from '../runtime/index.js';
import type { SocketByteCounter } from './socket-bytes.js';

/** Bytes per MB of memory. */
export const BYTES_PER_MB = 1e6;
/** How long an idle connection to another daemon stays open, ms. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Whether a stop of the daemon was requested; set by `Daemon.stop`. */
export interface ShutdownState {
  isRequested: boolean;
}

/**
 * Builds the shared context of a daemon: log, metrics, feed, connections and suspension detector.
 * @example const ctx = createDaemonContext(settings, { isRequested: false }, counter, signal);
 */
export function createDaemonContext(
  settings: FullSettings,
  shutdown: ShutdownState,
  socketBytes: SocketByteCounter,
  signal: AbortSignal,
): DaemonContext {
  const clock = systemClock;
  const startedWallMs = clock.wallMs();
  const log = createLog(settings.logLevel, { instance: settings.instance, role: settings.role });
  const metrics = new Metrics();
  const store = new FeedStore(clock, log, metrics);
  let view: InstanceView = EMPTY_VIEW;
  store.onChange(() => {
    if (store.list && store.list.version !== view.version) view = buildInstanceView(store.list);
  });
  const connections = new ConnectionPools(
    {
      connect: socketBytes.connector(buildConnector({ timeout: CONNECT_TIMEOUT_MS })),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connections: null,
      pipelining: 1,
    },
    reportCutResponses(log, metrics),
  );
  const pause = pauseDetector(clock, settings.timing.pauseMs, (gapMs) => {
    metrics.count('pauses_total');
    log.warn('process.paused', { gapMs: Math.round(gapMs) });
  });
  const isListedAsLeaving = (): boolean =>
    view.byInstance.get(settings.instance)?.state === 'leaving';
  return {
    settings,
    self: asId<InstanceId>(settings.instance),
    incarnation: newIncarnation(startedWallMs),
    startedWallMs,
    clock,
    random: Math.random,
    log,
    metrics,
    store,
    view: () => view,
    peers: createPeers(connections, MAX_RPC_MESSAGE_BYTES),
    connections,
    clients: createClientLimits({
      role: settings.role,
      memoryBytes: settings.limits.memoryMb * BYTES_PER_MB,
      descriptors: settings.limits.descriptors,
      log,
      metrics,
      nowMs: () => clock.nowMs(),
    }),
    pauseDetector: pause,
    isLeaving: () => shutdown.isRequested || isListedAsLeaving(),
    signal,
  };
}
