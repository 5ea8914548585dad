/** Runs a gateway in the test process, with its own configuration, in front of raw endpoints. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { platformHeaders } from '../../platform/headers.js';
import {
  seededRandom,
  SuspensionClock,
  systemClock,
  type Clock,
} from '../../src/core/clock/index.js';
import {
  ASSUMED_PEERS,
  KnownLimits,
  ShareLimiter,
  type LimitPeers,
} from '../../src/core/backpressure/index.js';
import { asId } from '../../src/core/ids/index.js';
import {
  startRawEndpoint,
  type RawEndpoint,
  type RawResponder,
} from '../../fakes/raw-endpoint/index.js';
import { silentLog, type Log, type LogFields } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import { createClientLimits } from '../../src/runtime/connections/index.js';
import {
  indexRoutes,
  PublishedState,
  type PublishedConfig,
  type PublishedEndpoint,
  type Route,
} from '../../src/core/published/index.js';
import {
  createContext,
  createGateway,
  shareOf,
  type Gateway,
  type GatewayContext,
  type GatewayDeps,
  type GatewaySettings,
} from '../../src/gateway/index.js';

export const SERVICE = 'lookup';

/** A route of the test configuration. */
export function route(change: Partial<Route> = {}): Route {
  return {
    id: asId('r-1'),
    host: 'a.example',
    pathPrefix: '/x/',
    kind: 'repeatable',
    timeoutMs: 800,
    targetMs: 200,
    gapMs: undefined,
    priority: 1,
    shares: [{ service: asId(SERVICE), weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    resumable: false,
    ...change,
  };
}

/** A configuration with one organisation, `org-1`, whose key is `key-1`. */
export function config(
  routes: readonly Route[],
  change: Partial<PublishedConfig> = {},
): PublishedConfig {
  return {
    version: 1,
    routesByHost: indexRoutes(routes),
    services: new Map([
      [asId(SERVICE), { id: asId(SERVICE), maxConnections: 100, engine: undefined }],
    ]),
    organisationsByKey: new Map([['key-1', { id: asId('org-1'), priority: 1 }]]),
    limits: { headerBytes: 16_384, bodyBytes: 4096, headerMs: 3000, idleMs: 15_000 },
    ...change,
  };
}

/** An endpoint of the test service. */
export function endpoint(id: string, address: string): PublishedEndpoint {
  return {
    id: asId(id),
    service: asId(SERVICE),
    address,
    dataCentre: asId('a'),
    slots: 4,
    isLeaving: false,
    startedAtMs: 0,
  };
}

export const TEST_SETTINGS: GatewaySettings = {
  keyFreshnessMs: 5000,
  configApplyMs: 2000,
  parserHeaderBytes: 64 * 1024,
  memoryBytes: 256e6,
  descriptors: 4096,
  hasAdmissionLevel: true,
  retryExtra: 480,
  retryWindowMs: 10_000,
};

/** A request that a test sends. */
export interface TestRequest {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly agent?: http.Agent;
  /** Time after which the caller disconnects, ms. */
  readonly disconnectAfterMs?: number;
  /** Called at each chunk with the body received so far. */
  readonly onBody?: (body: string) => void;
}

/** The response that the caller received. */
export interface TestResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response ended with complete HTTP framing. */
  readonly complete: boolean;
  readonly tookMs: number;
}

/** A running gateway under test. */
export interface TestGateway {
  readonly ctx: GatewayContext;
  readonly gateway: Gateway;
  readonly state: PublishedState;
  readonly metrics: Metrics;
  /** Recorded log lines. */
  readonly logLines: { readonly event: string; readonly fields: LogFields }[];
  send(id: string, request?: TestRequest): Promise<TestResponse>;
  close(): void;
}

function createRecordingLog(lines: TestGateway['logLines']): Log {
  const record = (event: string, fields: LogFields = {}): void =>
    void lines.push({ event, fields });
  return { ...silentLog, info: record, evidence: record, warn: record, error: record };
}

/** Dependencies that a test may replace. */
export interface TestGatewayOptions extends Partial<
  Pick<
    GatewayDeps,
    | 'groupOf'
    | 'groupLoad'
    | 'broadcastCrashes'
    | 'broadcastLeaving'
    | 'limits'
    | 'limiterOf'
    | 'statusOf'
    | 'knownEntries'
  >
> {
  readonly clock?: Clock;
  readonly settings?: GatewaySettings;
}

/**
 * Starts a gateway.
 * @example const testGateway = await startGateway(config([route()]), [endpoint('e-1', raw.address)]);
 */
export async function startGateway(
  cfg: PublishedConfig | undefined,
  endpoints: readonly PublishedEndpoint[],
  options: TestGatewayOptions = {},
): Promise<TestGateway> {
  const { clock = systemClock, settings = TEST_SETTINGS, ...parts } = options;
  const state = new PublishedState();
  if (cfg) state.offerConfig(cfg, clock.nowMs());
  state.offerList(endpoints, false);
  const metrics = new Metrics();
  const lines: TestGateway['logLines'] = [];
  const ageClock = new SuspensionClock(clock);
  const limits = new KnownLimits(ageClock);
  const sharingPeers = (): LimitPeers => ({ index: undefined, count: ASSUMED_PEERS });
  const shareDeps = { state, limits, limitPeers: sharingPeers };
  const log = createRecordingLog(lines);
  const nowMs = (): number => clock.nowMs();
  const ctx = createContext({
    settings,
    clients: createClientLimits({ role: 'entry', ...settings, log, metrics, nowMs }),
    retryShare: () => 0.2,
    callers: platformHeaders,
    state,
    clock,
    ageClock,
    random: seededRandom(1),
    log,
    metrics,
    dataCentre: asId('a'),
    statusOf: () => undefined,
    knownEntries: () => 0,
    groupLoad: () => undefined,
    groupOf: () => undefined,
    broadcastCrashes: () => undefined,
    broadcastLeaving: () => undefined,
    limits,
    limiterOf: (of) => new ShareLimiter(ageClock, seededRandom(2), () => shareOf(shareDeps, of)),
    ...parts,
  });
  const gateway = createGateway(ctx);
  await new Promise<void>((resolve) => gateway.server.listen(0, '127.0.0.1', resolve));
  const { port } = gateway.server.address() as AddressInfo;
  return {
    ctx,
    gateway,
    state,
    metrics,
    logLines: lines,
    send: (id, request = {}) => sendRequest(port, id, request),
    close: () => {
      gateway.server.close();
      gateway.server.closeAllConnections();
      ctx.endpoints.close();
    },
  };
}

/** An entry in front of raw endpoints. */
export interface RawEndpointsSetup {
  readonly entry: TestGateway;
  readonly raws: readonly RawEndpoint[];
  readonly listed: readonly PublishedEndpoint[];
}

/** Options of `withRawEndpoints`. */
export interface RawEndpointsOptions extends TestGatewayOptions {
  /** Record of the endpoint with this address and index. */
  readonly recordOf?: (address: string, index: number) => PublishedEndpoint;
}

/**
 * Runs with an entry in front of raw endpoints, `e-0`, `e-1` and so on, and closes all of them afterwards.
 * @example await withRawEndpoints([respondOk], config([route()]), ({ entry }) => entry.send('q-1'));
 */
export async function withRawEndpoints<T>(
  responders: readonly RawResponder[],
  cfg: PublishedConfig,
  run: (setup: RawEndpointsSetup) => Promise<T>,
  options: RawEndpointsOptions = {},
): Promise<T> {
  const { recordOf = (address, i) => endpoint(`e-${i}`, address), ...parts } = options;
  const raws = await Promise.all(responders.map((respond) => startRawEndpoint(respond)));
  const listed = raws.map(({ address }, i) => recordOf(address, i));
  const entry = await startGateway(cfg, listed, parts);
  try {
    return await run({ entry, raws, listed });
  } finally {
    entry.close();
    for (const raw of raws) raw.close();
  }
}

function sendRequest(port: number, id: string, request: TestRequest): Promise<TestResponse> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let headers: http.IncomingHttpHeaders = {};
    let body = '';
    const end = (complete: boolean): void =>
      resolve({ status, headers, body, complete, tookMs: performance.now() - startedAt });
    const req = http.request(
      {
        host: '127.0.0.1',
        port,
        method: request.method ?? 'POST',
        path: request.path ?? '/x/1',
        agent: request.agent ?? false,
        headers: {
          host: 'a.example',
          'x-request-id': id,
          'x-deadline-ms': '2000',
          authorization: 'Bearer key-1',
          ...request.headers,
        },
      },
      (res) => {
        status = res.statusCode ?? 0;
        headers = res.headers;
        res.on('data', (chunk: Buffer) => {
          body += chunk.toString('latin1');
          request.onBody?.(body);
        });
        res.on('close', () => end(res.complete));
        res.on('error', () => undefined);
      },
    );
    req.on('error', () => end(false));
    if (request.disconnectAfterMs !== undefined)
      setTimeout(() => req.destroy(), request.disconnectAfterMs);
    req.end(request.body ?? '');
  });
}
