/**
 * A small deployment on loopback: a store, plain endpoints, a group of model engines, entries and agents.
 * The system's programs are real processes; each reaches the store, and each endpoint is reached, through
 * a proxy of its own.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  NO_ASKS,
  startPlatformEngine,
  type EndpointFault,
  type EngineAsks,
  type PlatformEngine,
} from '../../fakes/platform-engine/index.js';
import { RankGroup, WallTime } from '../../fakes/rank-engine/index.js';
import { startStore, type StoreFake } from '../../fakes/store/index.js';
import { LoopbackProxy, type Address } from './proxy.js';
import { Program } from './program.js';
import type { Addition, Ask, Disturbance, Fall, Need, Withdrawal } from './record.js';

/** Ports; each instance has an address of its own. */
export const PORT = {
  callers: 8227,
  ready: 8220,
  control: 8229,
  /** Where others reach an entry's control address through a proxy. */
  relayed: 8230,
  internal: 7340,
  app: 8228,
  engine: 8100,
  store: 8223,
};
/** Time from the signal to stop until the kill, s. */
export const GRACE_S = 4;
/** Time of a token step of the group, ms. */
const STEP_MS = 30;
/** Time of a plain request, ms. */
const PLAIN_WORK_MS = 40;
/** Time for which the store keeps idle connections, ms: long enough for a client to meet ones that fell silent. */
const STORE_IDLE_MS = 65_000;
/** Time for which an endpoint that fell is away, ms. */
export const FALLEN_MS = 700;
/** Share of a group's orders that get no answer and are carried out seconds later. */
const LATE_ORDER_SHARE = 0.03;

/** How large a deployment is. */
export interface SoakSize {
  readonly entries: number;
  readonly ranks: number;
  readonly plain: number;
}

/** An endpoint and the proxy before it. */
export interface SoakEndpoint {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly engine: PlatformEngine;
  readonly proxy: LoopbackProxy;
  /** What goes wrong with its next requests, oldest first. */
  readonly faults: EndpointFault[];
  /** What it asks for in its answers now. */
  asks: EngineAsks;
}

/** A program and its way to the store. */
export interface SoakInstance {
  readonly name: string;
  readonly host: string;
  readonly program: Program;
  readonly storeLink: LoopbackProxy;
}

/** Everything that runs. */
export interface Deployment {
  readonly folder: string;
  readonly store: StoreFake;
  readonly group: RankGroup;
  readonly endpoints: readonly SoakEndpoint[];
  readonly entries: readonly SoakInstance[];
  readonly agents: readonly SoakInstance[];
  /** Ways to the entries that tell others what is published. */
  readonly relayLinks: readonly LoopbackProxy[];
  readonly asks: Ask[];
  readonly disturbances: Disturbance[];
  readonly withdrawals: Withdrawal[];
  readonly additions: Addition[];
  readonly falls: Fall[];
  readonly needs: Need[];
  /** Paths of requests that crash what runs them; callers send them among the others. */
  readonly crashingPaths: string[];
  /** Whether callers send nothing for now. */
  isQuiet: boolean;
  /** Ms since the start. */
  readonly nowMs: () => number;
  publish(): void;
  readonly config: SoakConfig;
  close(): Promise<void>;
}

/** What the operators publish; a change counts from the next `publish`. */
export interface SoakConfig {
  version: number;
  readonly keys: Set<string>;
  readonly extraRoutes: Set<string>;
  /** Routes that were taken away; callers go on asking for them. */
  readonly pastRoutes: Set<string>;
}

/** Keys of the one organisation; `k-0` is never taken away. */
export const KEYS = ['k-0', 'k-1', 'k-2', 'k-3'];
export const ORGANISATION = 'org-1';

/** Addresses at which an entry listens, and their names in the boot file. */
const ENTRY_ADDRESSES = ['callers', 'ready', 'control'] as const;
const ADDRESS_NAME = { callers: 'front', ready: 'ready', control: 'control' } as const;

/** Last part of the first entry's address. */
const FIRST_ENTRY = 150;
/** Entries of each so many that tell others what is published. */
const ENTRIES_A_RELAY = 2;

let nextNet = 0;

/** Addresses of a deployment of its own, so that several may run side by side. */
function netOf(): (n: number) => string {
  nextNet += 1;
  const a = 1 + (process.pid % 200);
  const b = (Math.floor(process.pid / 200) + nextNet) % 250;
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
      : ENTRY_ADDRESSES.map((kind) => `${ADDRESS_NAME[kind]} = "${host}:${PORT[kind]}"`)),
    '[bounds]',
    'revoke-ms = 5000',
    'config-apply-ms = 2000',
    `grace-s = ${GRACE_S}`,
    'retry-budget-ratio = 0.2',
    'budget-window-s = 10',
    'retry-budget-extra = 480',
    'stall_ms = 1500',
    '[platform]',
    `address = "${host}:${PORT.store}"`,
  ].join('\n');
}

function routes(config: SoakConfig): object[] {
  const route = (name: string, kind: string, service: string, more: object = {}): object => ({
    name,
    host: 'soak.example',
    'path-prefix': `/${name}/`,
    kind,
    service,
    'timeout-ms': 3000,
    'target-latency-ms': 500,
    'max-attempts': 2,
    ...more,
  });
  return [
    route('once', 'non_idempotent', 'plain'),
    route('again', 'idempotent', 'plain'),
    route('stream', 'stream', 'model', { 'stream-resume': true, 'gap-aim-ms': 120 }),
    ...[...config.extraRoutes].map((name) => route(name, 'idempotent', 'plain')),
  ];
}

function document(config: SoakConfig): object {
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
 * Starts a deployment; callers may be sent as soon as entries are ready.
 * @example const deployment = await startDeployment({ entries: 2, ranks: 3, plain: 2 }, random);
 */
export async function startDeployment(size: SoakSize, random: () => number): Promise<Deployment> {
  const startedAtMs = performance.now();
  const nowMs = (): number => performance.now() - startedAtMs;
  const folder = mkdtempSync(join(tmpdir(), 'harrierglade-soak-'));
  const host = netOf();
  const time = new WallTime();
  const store = await startStore(STORE_IDLE_MS);
  const group = new RankGroup(time, random, {
    ranks: size.ranks,
    stepMs: STEP_MS,
    copyMs: 100,
    lateShare: () => LATE_ORDER_SHARE,
    checksFences: true,
  });
  const config: SoakConfig = {
    version: 1,
    keys: new Set(KEYS),
    extraRoutes: new Set(),
    pastRoutes: new Set(),
  };
  const storeAddress = { host: store.host, port: store.port };
  const falls: Fall[] = [];
  const crashingPaths: string[] = [];
  const disturbances: Disturbance[] = [];

  async function startEndpoint(id: string, service: string, at: string): Promise<SoakEndpoint> {
    const rank = service === 'model' ? group.calls(Number(id.split('-')[1])) : undefined;
    const faults: EndpointFault[] = [];
    const fallsBy = (path: string): boolean => {
      if (!crashingPaths.includes(path)) return false;
      const atMs = nowMs();
      falls.push({ path, atMs });
      disturbances.push({ kind: 'fall', target: id, fromMs: atMs, untilMs: atMs + FALLEN_MS });
      void proxy.fall(FALLEN_MS);
      return true;
    };
    const asking: { asks: EngineAsks } = { asks: NO_ASKS };
    const engine = await startPlatformEngine({
      id,
      host: at,
      port: PORT.engine,
      workMs: PLAIN_WORK_MS,
      rank,
      step: () => group.step,
      fallsBy,
      nextFault: () => faults.shift(),
      asks: () => asking.asks,
      random,
      nowMs,
    });
    const proxy = await LoopbackProxy.start(
      { host: at, port: PORT.app },
      { host: at, port: PORT.engine },
    );
    store.put(`servers/${id}`, {
      service,
      address: `${at}:${PORT.app}`,
      zone: 'a',
      slots: 8,
      state: 'ready',
    });
    return Object.assign(asking, { id, service, host: at, engine, proxy, faults });
  }

  const relayHosts = Array.from({ length: Math.ceil(size.entries / ENTRIES_A_RELAY) }, (_, i) =>
    host(FIRST_ENTRY + i),
  );
  const relayLinks: LoopbackProxy[] = [];
  for (const at of relayHosts)
    relayLinks.push(
      await LoopbackProxy.start({ host: at, port: PORT.relayed }, { host: at, port: PORT.control }),
    );
  /** Addresses of the relays as an instance is told them: its own, and the others' through their proxies. */
  const relaysFor = (own: string): string[] =>
    relayHosts.map((at) => `${at}:${at === own ? PORT.control : PORT.relayed}`);

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
    entries.push(await startInstance(`entry-${i}`, 'entry', host(FIRST_ENTRY + i)));
  const agents: SoakInstance[] = [];
  for (let i = 0; i < size.ranks; i += 1)
    agents.push(await startInstance(`agent-${i}`, 'agent', host(10 + i)));
  store.put('op/config', document(config));

  return {
    folder,
    store,
    group,
    endpoints,
    entries,
    agents,
    relayLinks,
    asks: [],
    disturbances,
    withdrawals: [],
    additions: [],
    falls,
    needs: [],
    crashingPaths,
    isQuiet: false,
    nowMs,
    config,
    publish: () => {
      config.version += 1 + Math.floor(random() * 3);
      store.put('op/config', document(config));
    },
    close: async () => {
      for (const { program } of [...entries, ...agents]) program.pause(false);
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

/** Where callers and the platform reach an entry. */
export const entryAddress = (entry: SoakInstance): { callers: Address; ready: Address } => ({
  callers: { host: entry.host, port: PORT.callers },
  ready: { host: entry.host, port: PORT.ready },
});
