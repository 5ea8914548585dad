/** Scenario `faults`: overlapping series of random faults and planned operations. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { EndpointFault } from '../../fakes/platform-engine/index.js';
import type { StoreMode } from '../../fakes/store/index.js';
import {
  STOP_GRACE_S,
  KEYS,
  PORT,
  type Deployment,
  type SoakEndpoint,
  type SoakInstance,
} from './deployment.js';
import type { Program } from './program.js';
import { HEALTHY_LINK, type LinkState, type LoopbackProxy } from './proxy.js';

/** Arguments of a fault. */
interface FaultDeps {
  readonly deployment: Deployment;
  readonly random: () => number;
  /** Instances to choose from; all by default. */
  readonly among?: readonly SoakInstance[];
}

/** Injects one fault or operation and resolves when it is over. */
type Fault = (deps: FaultDeps) => Promise<void>;

/** Publishes an additional route and returns its name. */
export function addRoute({ config, publish, addedRoutes, nowMs }: Deployment): string {
  const name = `extra-${config.version}`;
  config.extraRoutes.add(name);
  publish();
  addedRoutes.push({ prefix: `/${name}/`, atMs: nowMs() });
  return name;
}

/** Removes a route and publishes the change. */
export function removeRoute({ config, publish, removals, nowMs }: Deployment, name: string): void {
  config.extraRoutes.delete(name);
  config.removedRoutes.add(name);
  publish();
  removals.push({ resource: 'route', name: `/${name}/`, atMs: nowMs() });
}

/** Removes a key and publishes the change; false if only two keys are left. */
export function removeKey({ config, publish, removals, nowMs }: Deployment): boolean {
  const key = KEYS.slice(1).find((k) => config.keys.has(k));
  if (key === undefined || config.keys.size <= 2) return false;
  config.keys.delete(key);
  publish();
  removals.push({ resource: 'key', name: key, atMs: nowMs() });
  return true;
}

/** The next plain endpoint that may leave; undefined if it is the last one. */
export function nextLeavingCandidate({
  endpoints,
  removals,
}: Deployment): SoakEndpoint | undefined {
  const removed = new Set(removals.map((removal) => removal.name));
  const staying = endpoints.filter((e) => e.service === 'plain' && !removed.has(e.id));
  return staying.length < 2 ? undefined : staying[0];
}

/** Marks an endpoint as draining in the store; it keeps serving. */
export function announceLeaving(
  { store, removals, nowMs }: Deployment,
  { id, service, host }: SoakEndpoint,
): void {
  store.put(`servers/${id}`, {
    service,
    address: `${host}:${PORT.app}`,
    zone: 'a',
    slots: 8,
    state: 'draining',
  });
  removals.push({ resource: 'endpoint', name: id, atMs: nowMs() });
}

/** Picks a random item. */
export function pick<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)] as T;
}

/** Records a disturbance of `targets` for the duration of `act`. */
export async function recordDuring(
  { disturbances, nowMs }: Deployment,
  kind: string,
  targets: readonly string[],
  act: () => Promise<void> | void,
): Promise<void> {
  const fromMs = nowMs();
  const records = targets.map((target) => ({
    kind,
    target,
    fromMs,
    untilMs: Number.POSITIVE_INFINITY,
  }));
  disturbances.push(...records);
  await act();
  for (const record of records) record.untilMs = nowMs();
}

function anyInstance({ deployment, random, among }: FaultDeps): SoakInstance {
  return pick(among ?? [...deployment.entries, ...deployment.agents], random);
}

/** Ends an instance and restarts it; the disturbance includes 1 s of startup time. */
async function restart(
  deps: FaultDeps,
  kind: string,
  end: (program: Program) => Promise<void>,
): Promise<void> {
  const { name, program } = anyInstance(deps);
  if (program.isRestarting) return;
  program.isRestarting = true;
  await recordDuring(deps.deployment, kind, [name], async () => {
    await end(program);
    program.start();
    await sleep(1000);
  });
  program.isRestarting = false;
}

const kill: Fault = (deps) =>
  restart(deps, 'kill', async (program) => {
    await program.kill();
    await sleep(100 + 500 * deps.random());
  });

const stop: Fault = (deps) => restart(deps, 'stop', (program) => program.stop(STOP_GRACE_S * 1000));

const suspend: Fault = async (deps) => {
  const { name, program } = anyInstance(deps);
  await recordDuring(deps.deployment, 'pause', [name], async () => {
    program.setSuspended(true);
    await sleep(200 + 2500 * deps.random());
    program.setSuspended(false);
  });
};

const changeSettings: Fault = async (deps) => {
  const { name, program } = anyInstance(deps);
  await recordDuring(deps.deployment, 'hup', [name], async () => {
    program.rewriteBoot(`changed at ${deps.deployment.nowMs()}`);
    if (deps.random() < 0.7) await program.reloadSettings();
    await sleep(200);
  });
};

const LINK_STATES: readonly LinkState[] = [
  { delayMs: 80, blocked: [] },
  { delayMs: 0, blocked: ['out'] },
  { delayMs: 0, blocked: ['back'] },
  { delayMs: 0, blocked: ['out', 'back'] },
];

async function degradeLink(deps: FaultDeps, target: string, link: LoopbackProxy): Promise<void> {
  const state = pick(LINK_STATES, deps.random);
  const kind = state.blocked.length > 0 ? `cut ${state.blocked.join(' ')}` : 'delay';
  await recordDuring(deps.deployment, kind, [target], async () => {
    link.setLinkState(state);
    await sleep(300 + 2500 * deps.random());
    if (deps.random() < 0.5) link.reset();
    link.setLinkState(HEALTHY_LINK);
  });
}

const degradeStoreLink: Fault = (deps) => {
  const { name, storeLink } = anyInstance(deps);
  return degradeLink(deps, name, storeLink);
};

const degradeEndpointLink: Fault = (deps) => {
  const { id, proxy } = pick(deps.deployment.endpoints, deps.random);
  return degradeLink(deps, id, proxy);
};

const resetConnections: Fault = async (deps) => {
  const { id, proxy } = pick(deps.deployment.endpoints, deps.random);
  await recordDuring(deps.deployment, 'reset', [id], async () => {
    proxy.reset();
    await sleep(50);
  });
};

const STORE_MOODS: readonly StoreMode[] = ['busy', 'reset', 'silent', 'no-json', 'half'];

const failStore: Fault = async (deps) => {
  const { store } = deps.deployment;
  await recordDuring(deps.deployment, 'store', ['store'], async () => {
    store.mode = pick(STORE_MOODS, deps.random);
    await sleep(300 + 3000 * deps.random());
    store.mode = 'well';
  });
};

const compactStore: Fault = async (deps) => {
  deps.deployment.store.compact();
  await sleep(50);
};

const ENDPOINT_FAULTS: readonly EndpointFault[] = [
  'full',
  'error',
  'cut',
  'crossed',
  'unsigned',
  'short',
];

const failEndpoint: Fault = async (deps) => {
  const { id, faults } = pick(deps.deployment.endpoints, deps.random);
  await recordDuring(deps.deployment, 'endpoint', [id], async () => {
    for (let i = 0; i < 6; i += 1) faults.push(pick(ENDPOINT_FAULTS, deps.random));
    await sleep(1000);
    faults.length = 0;
  });
};

/** A rank dies and its group re-forms, with the first map and nothing armed. */
const reformGroup: Fault = async ({ deployment, random }) => {
  deployment.group.reform();
  await sleep(300 * random());
};

const changeConfig: Fault = async ({ deployment, random }) => {
  const name = addRoute(deployment);
  await sleep(1500 + 1000 * random());
  removeRoute(deployment, name);
};

const removeOneKey: Fault = async ({ deployment }) => {
  if (removeKey(deployment)) await sleep(50);
};

/** A plain endpoint announces that it leaves, keeps serving for 2.5 s, and is removed. */
const drainEndpoint: Fault = async ({ deployment }) => {
  const first = nextLeavingCandidate(deployment);
  if (!first) return;
  announceLeaving(deployment, first);
  await sleep(2500);
  deployment.store.remove(`servers/${first.id}`);
};

const FAULTS: readonly Fault[] = [
  kill,
  stop,
  stop,
  suspend,
  changeSettings,
  degradeStoreLink,
  degradeEndpointLink,
  resetConnections,
  failStore,
  compactStore,
  failEndpoint,
  reformGroup,
  changeConfig,
  removeOneKey,
  drainEndpoint,
];

/** Number of concurrent series, so that faults overlap. */
const PARALLEL_SERIES = 2;

/**
 * Injects random faults in several concurrent series until `untilMs`; resolves when all are over.
 * @example await disturb(deployment, random, 8000);
 */
export async function disturb(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  const series = async (): Promise<void> => {
    while (deployment.nowMs() < untilMs) {
      await pick(FAULTS, random)({ deployment, random });
      await sleep(400 * random());
    }
  };
  await Promise.all(Array.from({ length: PARALLEL_SERIES }, series));
}

const ENTRY_FAULTS: readonly Fault[] = [kill, stop, suspend, changeSettings, degradeStoreLink];

/**
 * Injects one fault into a random entry.
 * @example await disturbEntry(deployment, random);
 */
export function disturbEntry(deployment: Deployment, random: () => number): Promise<void> {
  return pick(ENTRY_FAULTS, random)({ deployment, random, among: deployment.entries });
}

/**
 * Kills, stops or suspends a random entry.
 * @example await interruptEntry(deployment, random);
 */
export function interruptEntry(deployment: Deployment, random: () => number): Promise<void> {
  const interrupt = pick([kill, stop, suspend], random);
  return interrupt({ deployment, random, among: deployment.entries });
}

/**
 * Injects one fault into a random relay.
 * @example await disturbRelay(deployment, random);
 */
export function disturbRelay(deployment: Deployment, random: () => number): Promise<void> {
  const among = deployment.entries.slice(0, deployment.relayLinks.length);
  return pick(ENTRY_FAULTS, random)({ deployment, random, among });
}
