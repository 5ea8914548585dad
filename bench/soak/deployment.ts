/**
 * A small deployment on loopback: a store, plain endpoints, a group of model engines, entries and
 * agents. Entries and agents are real processes. Each connects to the store through its own proxy,
 * and each endpoint is behind its own proxy.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  NO_BACKPRESSURE,
  startPlatformEngine,
  type EndpointFault,
  type EndpointBackpressure,
  type PlatformEngine,
} from '../../fakes/platform-engine/index.js';
import { RankGroup, WallTime } from '../../fakes/rank-engine/index.js';
import { startStore, type FakeStore } from '../../fakes/store/index.js';
import { LoopbackProxy, type Address } from './proxy.js';
import { Program } from './program.js';
import {
  DEADLINE_MS,
  isCausedBy,
  type AddedRoute,
  type CallerRequest,
  type Disturbance,
  type EndpointCrash,
  type RateLimitPeriod,
  type RequestKind,
  type Removal,
  type UnreadAnswer,
} from './record.js';

/** Memory of an instance in its boot file, MB; a few callers that do not read spend the budget. */
const MEMORY_MB = 512;

/** Ports; each instance has its own address. */
export const PORT = {
  callers: 8227,
  ready: 8220,
  control: 8229,
  /** Proxy through which others reach an entry's control port. */
  relayProxy: 8230,
  internal: 7340,
  app: 8228,
  engine: 8100,
  store: 8223,
};
/** Time from SIGTERM to SIGKILL, s. */
export const STOP_GRACE_S = 4;
/** Duration of a token step of the group, ms. */
const STEP_MS = 30;
/** Duration of a plain request, ms. */
const PLAIN_WORK_MS = 40;
/** Idle timeout of store connections, ms; long enough that clients reuse unresponsive ones. */
const STORE_IDLE_MS = 65_000;
/** Downtime of a crashed endpoint, ms. */
export const CRASH_DOWNTIME_MS = 700;
/** Share of a group's commands that get no response and take effect seconds later. */
const DELAYED_COMMAND_SHARE = 0.03;

/** Numbers of entries, model engines (ranks) and plain endpoints. */
export interface SoakSize {
  readonly entries: number;
  readonly ranks: number;
  readonly plain: number;
  /** Callers that each send their next request after a response; by default requests are sent at a rate. */
  readonly callers?: number;
}

/** An endpoint and the proxy in front of it. */
export interface SoakEndpoint {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly engine: PlatformEngine;
  readonly proxy: LoopbackProxy;
  /** Faults for its next requests, in order. */
  readonly faults: EndpointFault[];
  /** Fault of a request for which none is queued. */
  drawFault: () => EndpointFault | undefined;
  /** Backpressure signals in its responses. */
  signals: EndpointBackpressure;
}

/** An entry as its callers see it. */
export interface CalledEntry {
  readonly name: string;
  readonly host: string;
}

/** A program and its link to the store. */
export interface SoakInstance extends CalledEntry {
  readonly program: Program;
  readonly storeLink: LoopbackProxy;
}

/** A running deployment and the record of what happened to it. */
export interface Deployment {
  readonly folder: string;
  readonly store: FakeStore;
  readonly group: RankGroup;
  readonly endpoints: readonly SoakEndpoint[];
  readonly entries: readonly SoakInstance[];
  readonly agents: readonly SoakInstance[];
  /** Proxies to the entries that relay the published state. */
  readonly relayLinks: readonly LoopbackProxy[];
  readonly requests: CallerRequest[];
  readonly disturbances: Disturbance[];
  readonly removals: Removal[];
  readonly addedRoutes: AddedRoute[];
  readonly crashes: EndpointCrash[];
  readonly rateLimitPeriods: RateLimitPeriod[];
  /** Paths of requests that crash endpoints; callers mix them with other requests. */
  readonly crashingPaths: string[];
  /** Number of topics, each a part of the prompts of as many requests; 0 if they share none. */
  promptTopics: number;
  /** Kinds of the requests that callers send; one is as frequent as it is listed. */
  readonly kinds: RequestKind[];
  /** Callers that each send their next request after a response; 0 if requests are sent at a rate. */
  readonly callers: number;
  deadlineMs: number;
  areCallersPaused: boolean;
  /** Slow readers to start, with the time after which each begins to read; undefined for never. */
  readonly slowReaders: { readonly readAfterMs: number | undefined }[];
  readonly unreadAnswers: UnreadAnswer[];
  /** Time since the start of the run, ms. */
  readonly nowMs: () => number;
  publish(): void;
  readonly config: SoakConfig;
  close(): Promise<void>;
}

/** The configuration that operators publish; changes take effect at the next `publish`. */
export interface SoakConfig {
  version: number;
  readonly keys: Set<string>;
  readonly extraRoutes: Set<string>;
  /** Removed routes; callers continue to request them. */
  readonly removedRoutes: Set<string>;
}

/** API keys of the only organisation; `k-0` is never removed. */
export const KEYS = ['k-0', 'k-1', 'k-2', 'k-3'];
export const ORGANISATION = 'org-1';

/** Addresses an entry listens on, and their keys in the boot file. */
const ENTRY_ADDRESSES = ['callers', 'ready', 'control'] as const;
const BOOT_FILE_KEY = { callers: 'front', ready: 'ready', control: 'control' } as const;

/** Last octet of the first entry's address. */
const FIRST_ENTRY_HOST = 150;
/** One of this many entries is a relay of the published state. */
const ENTRIES_PER_RELAY = 2;

let nextSubnet = 0;

/** Reserves a loopback subnet, so that several deployments can run in parallel. */
function allocateSubnet(): (n: number) => string {
  nextSubnet += 1;
  const a = 1 + (process.pid % 200);
  const b = (Math.floor(process.pid / 200) + nextSubnet) % 250;
  return (n) => `127.${a}.${b}.${n}`;
}

function bootText(
  name: string,
  host: string,
  app: Address | undefined,
  relays: readonly string[],
): string {
  return [
    `node-name = "${name}"`,
    `ip = "${host}"`,
    'zone = "a"',
    `internal-port-range = [${PORT.internal}, ${PORT.internal + 5}]`,
    `seed-nodes = ${JSON.stringify(relays)}`,
    ...(app ? [`app = "${app.host}:${app.port}"`] : []),
    '[listen]',
    ...(app
      ? []
      : ENTRY_ADDRESSES.map((kind) => `${BOOT_FILE_KEY[kind]} = "${host}:${PORT[kind]}"`)),
    '[limits]',
    `memory-mb = ${MEMORY_MB}`,
    '[bounds]',
    'revoke-ms = 5000',
    'config-apply-ms = 2000',
    `grace-s = ${STOP_GRACE_S}`,
    'retry-budget-ratio = 0.2',
    'budget-window-s = 10',
    'retry-budget-extra = 480',
    'stall_ms = 1500',
    '[platform]',
    `address = "${host}:${PORT.store}"`,
  ].join('\n');
}

function routes(config: SoakConfig): object[] {
  const route = (name: string, kind: string, service: string, overrides: object = {}): object => ({
    name,
    host: 'soak.example',
    'path-prefix': `/${name}/`,
    kind,
    service,
    'timeout-ms': 3000,
    'target-latency-ms': 500,
    'max-attempts': 2,
    ...overrides,
  });
  return [
    route('once', 'non_idempotent', 'plain'),
    route('single-attempt', 'non_idempotent', 'plain', { 'max-attempts': 1 }),
    route('again', 'idempotent', 'plain'),
    route('stream', 'stream', 'model', { 'stream-resume': true, 'gap-aim-ms': 120 }),
    route('single-stream', 'stream', 'model', { 'gap-aim-ms': 120 }),
    ...[...config.extraRoutes].map((name) => route(name, 'idempotent', 'plain')),
  ];
}

function configDocument(config: SoakConfig): object {
  return {
    version: config.version,
    routes: routes(config),
    services: [
      { name: 'plain', 'max-connections': 200 },
      {
        name: 'model',
        'max-connections': 200,
        engine: {
          slots: 8,
          sets: 1,
          places: 3,
          spare: 2,
          step_ms: 6,
          per_seq_ms: 1,
          'expert-mb': 100,
          'link-mbps': 10_000,
        },
      },
    ],
    limits: { 'max-body-bytes': 100_000, 'idle-timeout-ms': 15_000, 'header-timeout-ms': 3000 },
    tenants: [{ name: ORGANISATION, 'api-keys': [...config.keys] }],
  };
}

/**
 * Starts a deployment; requests can be sent as soon as entries are ready.
 * @example const deployment = await startDeployment({ entries: 2, ranks: 3, plain: 2 }, random);
 */
export async function startDeployment(size: SoakSize, random: () => number): Promise<Deployment> {
  const startedAtMs = performance.now();
  const nowMs = (): number => performance.now() - startedAtMs;
  const folder = mkdtempSync(join(tmpdir(), 'harrierglade-soak-'));
  const host = allocateSubnet();
  const time = new WallTime();
  const { callers = 0 } = size;
  const store = await startStore(STORE_IDLE_MS);
  const group = new RankGroup(time, random, {
    ranks: size.ranks,
    stepMs: STEP_MS,
    copyMs: 100,
    lateShare: () => DELAYED_COMMAND_SHARE,
    checksFences: true,
  });
  const config: SoakConfig = {
    version: 1,
    keys: new Set(KEYS),
    extraRoutes: new Set(),
    removedRoutes: new Set(),
  };
  const storeAddress = { host: store.host, port: store.port };
  const crashes: EndpointCrash[] = [];
  const crashingPaths: string[] = [];
  const disturbances: Disturbance[] = [];
  const unreadAnswers: UnreadAnswer[] = [];

  async function startEndpoint(id: string, service: string, at: string): Promise<SoakEndpoint> {
    const rank = service === 'model' ? group.calls(Number(id.split('-')[1])) : undefined;
    const faults: EndpointFault[] = [];
    const crashesOn = (path: string): boolean => {
      const cause = crashingPaths.find((each) => isCausedBy(each, path));
      if (cause === undefined) return false;
      const atMs = nowMs();
      crashes.push({ path: cause, atMs });
      disturbances.push({
        kind: 'crash',
        target: id,
        fromMs: atMs,
        untilMs: atMs + CRASH_DOWNTIME_MS,
      });
      void proxy.simulateCrash(CRASH_DOWNTIME_MS);
      return true;
    };
    const state: Pick<SoakEndpoint, 'signals' | 'drawFault'> = {
      signals: NO_BACKPRESSURE,
      drawFault: () => undefined,
    };
    // One process relays the traffic of many callers too slowly.
    const ports = callers > 0 ? [PORT.engine, PORT.app] : [PORT.app, PORT.engine];
    const [proxyPort = 0, enginePort = 0] = ports;
    const engine = await startPlatformEngine({
      id,
      host: at,
      port: enginePort,
      workMs: PLAIN_WORK_MS,
      rank,
      step: () => group.step,
      crashesOn,
      nextFault: () => faults.shift() ?? state.drawFault(),
      backpressure: () => state.signals,
      random,
      nowMs,
    });
    const proxy = await LoopbackProxy.start(
      { host: at, port: proxyPort },
      { host: at, port: enginePort },
    );
    proxy.onUnread = (unreadMs) => {
      const atMs = nowMs();
      unreadAnswers.push({ endpoint: id, fromMs: atMs - unreadMs, atMs });
    };
    store.put(`servers/${id}`, {
      service,
      address: `${at}:${PORT.app}`,
      zone: 'a',
      slots: 8,
      state: 'ready',
    });
    return Object.assign(state, { id, service, host: at, engine, proxy, faults });
  }

  const relayHosts = Array.from({ length: Math.ceil(size.entries / ENTRIES_PER_RELAY) }, (_, i) =>
    host(FIRST_ENTRY_HOST + i),
  );
  const relayLinks: LoopbackProxy[] = [];
  for (const at of relayHosts)
    relayLinks.push(
      await LoopbackProxy.start(
        { host: at, port: PORT.relayProxy },
        { host: at, port: PORT.control },
      ),
    );
  /**
   * Relay addresses for an instance: its own address directly, the others through their proxies.
   */
  const relaysFor = (own: string): string[] =>
    relayHosts.map((at) => `${at}:${at === own ? PORT.control : PORT.relayProxy}`);

  async function startInstance(
    name: string,
    role: 'entry' | 'agent',
    at: string,
  ): Promise<SoakInstance> {
    const storeLink = await LoopbackProxy.start({ host: at, port: PORT.store }, storeAddress);
    const app = role === 'agent' ? { host: at, port: PORT.app } : undefined;
    const program = new Program({
      name,
      role,
      folder,
      bootText: bootText(name, at, app, relaysFor(at)),
    });
    program.start();
    return { name, host: at, program, storeLink };
  }

  const endpoints: SoakEndpoint[] = [];
  for (let i = 0; i < size.plain; i += 1)
    endpoints.push(await startEndpoint(`plain-${i}`, 'plain', host(100 + i)));
  for (let i = 0; i < size.ranks; i += 1)
    endpoints.push(await startEndpoint(`model-${i}`, 'model', host(10 + i)));
  const entries: SoakInstance[] = [];
  for (let i = 0; i < size.entries; i += 1)
    entries.push(await startInstance(`entry-${i}`, 'entry', host(FIRST_ENTRY_HOST + i)));
  const agents: SoakInstance[] = [];
  for (let i = 0; i < size.ranks; i += 1)
    agents.push(await startInstance(`agent-${i}`, 'agent', host(10 + i)));
  store.put('op/config', configDocument(config));

  return {
    folder,
    store,
    group,
    endpoints,
    entries,
    agents,
    relayLinks,
    requests: [],
    disturbances,
    removals: [],
    addedRoutes: [],
    crashes,
    rateLimitPeriods: [],
    crashingPaths,
    promptTopics: 0,
    kinds: ['once', 'repeatable', 'stream', 'stream'],
    callers,
    deadlineMs: DEADLINE_MS,
    areCallersPaused: false,
    slowReaders: [],
    unreadAnswers,
    nowMs,
    config,
    publish: () => {
      config.version += 1 + Math.floor(random() * 3);
      store.put('op/config', configDocument(config));
    },
    close: async () => {
      for (const { program } of [...entries, ...agents]) program.setSuspended(false);
      await Promise.all([...entries, ...agents].map(({ program }) => program.kill()));
      for (const { storeLink } of [...entries, ...agents]) storeLink.close();
      for (const link of relayLinks) link.close();
      for (const { proxy, engine } of endpoints) {
        proxy.close();
        engine.close();
      }
      time.stop();
      store.close();
    },
  };
}

/** Addresses at which callers and the platform reach an entry. */
export const entryAddress = (entry: CalledEntry): { callers: Address; ready: Address } => ({
  callers: { host: entry.host, port: PORT.callers },
  ready: { host: entry.host, port: PORT.ready },
});
