/**
 * Scenario `misbehaving`: endpoints send what a faulty one may send on the wire, and ranks report a slow pace for
 * a while. Scenario `rejecting`: endpoints reject, drop or ignore requests and connections. Scenario `endless`: they
 * send responses without end, also beside responses in the place of the next one. Each seed plays one of these
 * behaviours or two, so that a failure names its cause. Nothing else is disturbed, so nothing excuses a request that
 * is refused although it ran, runs twice or is ended too soon.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { EndpointFault } from '../../fakes/platform-engine/index.js';
import type { Deployment } from './deployment.js';
import { pick } from './faults.js';

/** Mean time between two faults of one endpoint, ms. */
const FAULT_INTERVAL_MS = 120;
/** Share of the time in which some ranks are slow. */
const SLOW_SHARE = 0.5;
const SLOW_PERIOD_MS = 1200;
/** Longest queue of faults; more would outlast the disturbance. */
const MAX_QUEUED_FAULTS = 3;
/** The same for requests that are never answered: each takes its caller's whole time. */
const SILENCE_INTERVAL_MS = 600;
/** The same for responses without end. */
const ENDLESS_INTERVAL_MS = 1500;
/** Connections that an endpoint accepts while it limits them, and how long it does, ms. */
const FEW_CONNECTIONS = 3;
const LIMIT_PERIOD_MS = 800;

/** A behaviour of the endpoints; adds its faults to one endpoint, or changes the group. */
type Behaviour = (deployment: Deployment, random: () => number) => Promise<void>;

const withFaults =
  (kinds: readonly EndpointFault[], intervalMs = FAULT_INTERVAL_MS, service?: string): Behaviour =>
  async (deployment, random) => {
    const endpoints = deployment.endpoints.filter((e) => e.service === (service ?? e.service));
    const { faults } = pick(endpoints, random);
    if (faults.length < MAX_QUEUED_FAULTS) faults.push(pick(kinds, random));
    await sleep((2 * intervalMs * random()) / endpoints.length);
  };

/** Some ranks are slow, others at each turn; callers also send streams that may not be resumed. */
const slowRanks: Behaviour = async ({ group, endpoints }, random) => {
  const ranks = endpoints.filter(({ service }) => service === 'model').length;
  for (let rank = 0; rank < ranks; rank += 1) if (random() < SLOW_SHARE) group.slowRanks.add(rank);
  await sleep(SLOW_PERIOD_MS * (0.5 + random()));
  group.slowRanks.clear();
};

/** An endpoint accepts few connections, and closes those beyond them. */
const fewConnections: Behaviour = async ({ endpoints }, random) => {
  const { engine } = pick(endpoints, random);
  engine.limitConnections(FEW_CONNECTIONS);
  await sleep(LIMIT_PERIOD_MS * (0.5 + random()));
  engine.limitConnections(undefined);
};

/** Behaviours by the sentence of the interface that allows them; docs/PROMISES.md has the table. */
const MISBEHAVIOURS: readonly Behaviour[] = [
  withFaults(['full-late', 'full']),
  withFaults(['late', 'full']),
  withFaults(['twice', 'trailing']),
  withFaults(['cut', 'short']),
  withFaults(['crossed', 'unsigned']),
  withFaults(['unframed', 'informational', 'closing']),
  withFaults(['full', 'error']),
  slowRanks,
];
const REJECTIONS: readonly Behaviour[] = [
  withFaults(['limited', 'misdirected']),
  withFaults(['dropped', 'idle-close']),
  withFaults(['garbled']),
  withFaults(['silent'], SILENCE_INTERVAL_MS),
  fewConnections,
];

const ENDLESS: readonly Behaviour[] = [
  withFaults(['endless-head', 'endless-interim'], ENDLESS_INTERVAL_MS),
  withFaults(['endless-trailers'], ENDLESS_INTERVAL_MS),
  withFaults(['endless-chunks', 'endless-body'], ENDLESS_INTERVAL_MS),
  withFaults(['endless-rejection', 'trickling-rejection'], ENDLESS_INTERVAL_MS),
  withFaults(['endless-event', 'trickling-event'], ENDLESS_INTERVAL_MS, 'model'),
  withFaults(['endless-comments'], ENDLESS_INTERVAL_MS, 'model'),
  withFaults(['full-late', 'late', 'full'], FAULT_INTERVAL_MS, 'plain'),
];

/** Plays one or two random behaviours at once until `untilMs`. */
const playSome =
  (behaviours: readonly Behaviour[]) =>
  async (deployment: Deployment, random: () => number, untilMs: number): Promise<void> => {
    deployment.kinds.push('single-stream', 'single-stream', 'once');
    const chosen = new Set([pick(behaviours, random), pick(behaviours, random)]);
    const repeat = async (behaviour: Behaviour): Promise<void> => {
      while (deployment.nowMs() < untilMs) await behaviour(deployment, random);
    };
    await Promise.all([...chosen].map(repeat));
    for (const { faults } of deployment.endpoints) faults.length = 0;
  };

/** @example await misbehave(deployment, random, 8000); */
export const misbehave = playSome(MISBEHAVIOURS);
/** @example await rejectRequests(deployment, random, 8000); */
export const rejectRequests = playSome(REJECTIONS);
/** @example await respondWithoutEnd(deployment, random, 8000); */
export const respondWithoutEnd = playSome(ENDLESS);
