/** What is done to a deployment from outside: series of faults and planned work that overlap. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { EndpointFault } from '../../fakes/platform-engine/index.js';
import type { StoreMood } from '../../fakes/store/index.js';
import {
  GRACE_S,
  KEYS,
  PORT,
  type Deployment,
  type SoakEndpoint,
  type SoakInstance,
} from './deployment.js';
import type { Program } from './program.js';
import { WHOLE, type LinkState, type LoopbackProxy } from './proxy.js';

/** What a fault needs. */
interface FaultParts {
  readonly deployment: Deployment;
  readonly random: () => number;
  /** Instances that may be struck; any where left out. */
  readonly among?: readonly SoakInstance[];
}

/** Does one thing, and resolves when it is over. */
type Fault = (parts: FaultParts) => Promise<void>;

/** Publishes one more route. */
export function addRoute({ config, publish, additions, nowMs }: Deployment): string {
  const name = `extra-${config.version}`;
  config.extraRoutes.add(name);
  publish();
  additions.push({ prefix: `/${name}/`, atMs: nowMs() });
  return name;
}

/** Takes a route away. */
export function removeRoute(
  { config, publish, withdrawals, nowMs }: Deployment,
  name: string,
): void {
  config.extraRoutes.delete(name);
  config.pastRoutes.add(name);
  publish();
  withdrawals.push({ what: 'route', name: `/${name}/`, atMs: nowMs() });
}

/** Takes a key away; false where too few would be left. */
export function takeKey({ config, publish, withdrawals, nowMs }: Deployment): boolean {
  const key = KEYS.slice(1).find((k) => config.keys.has(k));
  if (key === undefined || config.keys.size <= 2) return false;
  config.keys.delete(key);
  publish();
  withdrawals.push({ what: 'key', name: key, atMs: nowMs() });
  return true;
}

/** A plain endpoint that others can do without, and that has not left yet. */
export function nextLeaving({ endpoints, withdrawals }: Deployment): SoakEndpoint | undefined {
  const left = new Set(withdrawals.map((w) => w.name));
  const staying = endpoints.filter((e) => e.service === 'plain' && !left.has(e.id));
  return staying.length < 2 ? undefined : staying[0];
}

/** Lets an endpoint say that it leaves; it serves on. */
export function announceLeaving(
  { store, withdrawals, nowMs }: Deployment,
  { id, service, host }: SoakEndpoint,
): void {
  store.put(`servers/${id}`, {
    service,
    address: `${host}:${PORT.app}`,
    zone: 'a',
    slots: 8,
    state: 'draining',
  });
  withdrawals.push({ what: 'endpoint', name: id, atMs: nowMs() });
}

/** Any of some items. */
export function pick<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)] as T;
}

/** Notes that targets are disturbed for as long as something is done. */
export async function during(
  { disturbances, nowMs }: Deployment,
  kind: string,
  targets: readonly string[],
  act: () => Promise<void> | void,
): Promise<void> {
  const fromMs = nowMs();
  const notes = targets.map((target) => ({
    kind,
    target,
    fromMs,
    untilMs: Number.POSITIVE_INFINITY,
  }));
  disturbances.push(...notes);
  await act();
  for (const note of notes) note.untilMs = nowMs();
}

function anyInstance({ deployment, random, among }: FaultParts): SoakInstance {
  return pick(among ?? [...deployment.entries, ...deployment.agents], random);
}

/** Ends an instance in some way and starts it again; its start takes its time as well. */
async function restarted(
  parts: FaultParts,
  kind: string,
  end: (program: Program) => Promise<void>,
): Promise<void> {
  const { name, program } = anyInstance(parts);
  if (program.isClaimed) return;
  program.isClaimed = true;
  await during(parts.deployment, kind, [name], async () => {
    await end(program);
    program.start();
    await sleep(1000);
  });
  program.isClaimed = false;
}

const killed: Fault = (parts) =>
  restarted(parts, 'kill', async (program) => {
    await program.kill();
    await sleep(100 + 500 * parts.random());
  });

const stopped: Fault = (parts) =>
  restarted(parts, 'stop', (program) => program.stop(GRACE_S * 1000));

const paused: Fault = async (parts) => {
  const { name, program } = anyInstance(parts);
  await during(parts.deployment, 'pause', [name], async () => {
    program.pause(true);
    await sleep(200 + 2500 * parts.random());
    program.pause(false);
  });
};

const settingsChanged: Fault = async (parts) => {
  const { name, program } = anyInstance(parts);
  await during(parts.deployment, 'hup', [name], async () => {
    program.rewriteBoot(`changed at ${parts.deployment.nowMs()}`);
    if (parts.random() < 0.7) await program.hangUp();
    await sleep(200);
  });
};

const LINK_STATES: readonly LinkState[] = [
  { delayMs: 80, cut: [] },
  { delayMs: 0, cut: ['out'] },
  { delayMs: 0, cut: ['back'] },
  { delayMs: 0, cut: ['out', 'back'] },
];

async function harmLink(parts: FaultParts, target: string, link: LoopbackProxy): Promise<void> {
  const state = pick(LINK_STATES, parts.random);
  const what = state.cut.length > 0 ? `cut ${state.cut.join(' ')}` : 'delay';
  await during(parts.deployment, what, [target], async () => {
    link.set(state);
    await sleep(300 + 2500 * parts.random());
    if (parts.random() < 0.5) link.reset();
    link.set(WHOLE);
  });
}

const storeLinkHarmed: Fault = (parts) => {
  const { name, storeLink } = anyInstance(parts);
  return harmLink(parts, name, storeLink);
};

const endpointLinkHarmed: Fault = (parts) => {
  const { id, proxy } = pick(parts.deployment.endpoints, parts.random);
  return harmLink(parts, id, proxy);
};

const connectionsReset: Fault = async (parts) => {
  const { id, proxy } = pick(parts.deployment.endpoints, parts.random);
  await during(parts.deployment, 'reset', [id], async () => {
    proxy.reset();
    await sleep(50);
  });
};

const STORE_MOODS: readonly StoreMood[] = ['busy', 'reset', 'silent', 'no-json', 'half'];

const storeAway: Fault = async (parts) => {
  const { store } = parts.deployment;
  await during(parts.deployment, 'store', ['store'], async () => {
    store.mood = pick(STORE_MOODS, parts.random);
    await sleep(300 + 3000 * parts.random());
    store.mood = 'well';
  });
};

const historyForgotten: Fault = async (parts) => {
  parts.deployment.store.compact();
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

const endpointFails: Fault = async (parts) => {
  const { id, faults } = pick(parts.deployment.endpoints, parts.random);
  await during(parts.deployment, 'endpoint', [id], async () => {
    for (let i = 0; i < 6; i += 1) faults.push(pick(ENDPOINT_FAULTS, parts.random));
    await sleep(1000);
    faults.length = 0;
  });
};

/** A rank dies and its group forms anew, with the first map and nothing armed. */
const groupReforms: Fault = async ({ deployment, random }) => {
  deployment.group.reform();
  await sleep(300 * random());
};

const configChanged: Fault = async ({ deployment, random }) => {
  const name = addRoute(deployment);
  await sleep(1500 + 1000 * random());
  removeRoute(deployment, name);
};

const keyTakenAway: Fault = async ({ deployment }) => {
  if (takeKey(deployment)) await sleep(50);
};

/** A plain endpoint announces that it leaves, serves on for a while, and is gone. */
const endpointLeaves: Fault = async ({ deployment }) => {
  const first = nextLeaving(deployment);
  if (!first) return;
  announceLeaving(deployment, first);
  await sleep(2500);
  deployment.store.remove(`servers/${first.id}`);
};

const FAULTS: readonly Fault[] = [
  killed,
  stopped,
  stopped,
  paused,
  settingsChanged,
  storeLinkHarmed,
  endpointLinkHarmed,
  connectionsReset,
  storeAway,
  historyForgotten,
  endpointFails,
  groupReforms,
  configChanged,
  keyTakenAway,
  endpointLeaves,
];

/** Series that run at once: faults overlap. */
const SERIES = 2;

/**
 * Does one thing after the other, in several series at once, until `untilMs`; resolves when all is over.
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
  await Promise.all(Array.from({ length: SERIES }, series));
}

const ENTRY_FAULTS: readonly Fault[] = [killed, stopped, paused, settingsChanged, storeLinkHarmed];

/**
 * Does one thing to an entry.
 * @example await entryTrouble(deployment, random);
 */
export function entryTrouble(deployment: Deployment, random: () => number): Promise<void> {
  return pick(ENTRY_FAULTS, random)({ deployment, random, among: deployment.entries });
}

/**
 * Does one thing to a relay.
 * @example await relayTrouble(deployment, random);
 */
export function relayTrouble(deployment: Deployment, random: () => number): Promise<void> {
  const among = deployment.entries.slice(0, deployment.relayLinks.length);
  return pick(ENTRY_FAULTS, random)({ deployment, random, among });
}
