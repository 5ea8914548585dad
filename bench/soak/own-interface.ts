/**
 * Play `own-interface`: callers use the product's own interface while its daemons are killed, suspended and stopped in
 * a planned way, endpoints are suspended, and the platform is away or serves an old document. The guarantees are those of the other plays.
 */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { seededRandom } from '../../src/core/clock/index.js';
import {
  Cluster,
  sendRequest,
  signalProcess,
  type Member,
  type RequestResult,
} from '../harness/index.js';
import type { SoakSize } from './deployment.js';
import { pick } from './faults.js';
import type { SoakResult } from './result.js';

const ORGANISATION = { id: 'org-1', weight: 1, tokensPerSecond: 1_000_000 };
const KINDS = ['chat', 'chat-whole', 'once', 'many'] as const;
const CALLERS_PER_ENTRY = 3;
const TOKENS = 12;
const DEADLINE_MS = 3000;
/** Pause of a caller after each request, ms; longer than a refusal takes. */
const CALLER_PAUSE_MS = 40;
/** Mean pause between two faults, and longest suspension or outage, ms. */
const FAULT_PAUSE_MS = 400;
const MAX_FAULT_MS = 1500;
/** Suspension of an endpoint, ms: requests that it has are over before it goes on. */
const ENDPOINT_SUSPENSION_MS = DEADLINE_MS + 500;
/** Time without faults at the end, ms, and its last part, in which nearly all requests are answered. */
const RECOVERY_MS = 6000;
const RECOVERED_MS = 2500;
const MIN_RECOVERED_SHARE = 0.95;

/** A fault of the cluster or a planned stop of a daemon; ends before it resolves. */
type Fault = (cluster: Cluster, random: () => number) => Promise<void>;

const faultMs = (random: () => number): number => MAX_FAULT_MS * (0.1 + 0.9 * random());

const kill: Fault = async (cluster, random) => cluster.restart(pick(cluster.members, random).name);

const suspend: Fault = async (cluster, random) => {
  const { name } = pick(cluster.members, random);
  cluster.signal(name, 'SIGSTOP');
  await sleep(faultMs(random));
  cluster.signal(name, 'SIGCONT');
};

const suspendEndpoint: Fault = async ({ services }, random) => {
  const { process } = pick(services, random);
  signalProcess(process, 'SIGSTOP');
  await sleep(ENDPOINT_SUSPENSION_MS);
  signalProcess(process, 'SIGCONT');
};

const stopAsPlanned: Fault = async (cluster, random) => {
  const member = pick(cluster.members, random);
  await cluster.markLeaving(member.name);
  cluster.signal(member.name, 'SIGTERM');
  await member.process.exited;
  await cluster.unmarkLeaving(member.name);
};

const withholdPlatform =
  (mode: 'down' | 'stale'): Fault =>
  async (cluster, random) => {
    await cluster.setPlatformMode(mode);
    await sleep(faultMs(random));
    await cluster.setPlatformMode('up');
  };

const FAULTS: readonly Fault[] = [
  kill,
  suspend,
  suspendEndpoint,
  stopAsPlanned,
  withholdPlatform('down'),
  withholdPlatform('stale'),
];

/** Sends requests of all kinds to all entries until `isOver`. */
async function sendRequests(
  cluster: Cluster,
  random: () => number,
  isOver: () => boolean,
): Promise<RequestResult[]> {
  const results: RequestResult[] = [];
  const runCaller = async (entry: Member): Promise<void> => {
    while (!isOver()) {
      const nonce = `n${results.length}-${Math.floor(random() * 1e9)}`;
      const target = {
        kind: pick(KINDS, random),
        nonce,
        organisation: ORGANISATION.id,
        port: entry.ports.callers,
      };
      results.push(await sendRequest(target, { tokens: TOKENS, deadlineMs: DEADLINE_MS }));
      await sleep(CALLER_PAUSE_MS);
    }
  };
  const callers = cluster.entries.flatMap((entry) =>
    Array.from({ length: CALLERS_PER_ENTRY }, () => runCaller(entry)),
  );
  await Promise.all(callers);
  return results;
}

/** What callers and endpoints observed that the guarantees exclude. */
async function violationsOf(
  cluster: Cluster,
  results: readonly RequestResult[],
  recoveredFromMs: number,
): Promise<string[]> {
  const runs = new Map<string, number>();
  const executions = [
    ...(await cluster.serviceExecutions()),
    ...(await cluster.engineExecutions()),
  ];
  for (const { nonce } of executions) runs.set(nonce, (runs.get(nonce) ?? 0) + 1);
  const violations = results.flatMap((result) => {
    const { kind, nonce, outcome, reason, isComplete, hasForeignContent } = result;
    const ran = runs.get(nonce) ?? 0;
    const found = [
      hasForeignContent && 'has content of another request',
      outcome === 'answered' && !isComplete && 'lacks a part of its response',
      outcome === 'not-run' && ran > 0 && `was refused as not run (${reason}), and ran`,
      kind === 'once' && ran > 1 && `ran ${ran} times`,
    ];
    return found.filter((text) => text !== false).map((text) => `${kind} ${nonce}: ${text}`);
  });
  const late = results.filter(({ startMs }) => startMs >= recoveredFromMs);
  const served = late.filter(({ outcome }) => outcome === 'answered').length;
  if (served < MIN_RECOVERED_SHARE * late.length)
    violations.push(`only ${served} of ${late.length} answered after the last fault`);
  return violations;
}

function writeLogs(cluster: Cluster): string {
  const folder = mkdtempSync(join(tmpdir(), 'harrierglade-soak-'));
  for (const { name, process } of cluster.members)
    writeFileSync(join(folder, `${name}.log`), process.output.join('\n'));
  return folder;
}

/**
 * Runs one seed with `seconds` of faults.
 * @example (await soakOwnInterface(7, 8, DEFAULT_SIZE)).violations // []
 */
export async function soakOwnInterface(
  seed: number,
  seconds: number,
  size: SoakSize,
): Promise<SoakResult> {
  const random = seededRandom(seed);
  const cluster = await Cluster.start({
    dataCentres: ['kgl-a'],
    entriesPerDataCentre: size.entries,
    servicesPerDataCentre: size.plain,
    ranksPerDataCentre: size.ranks,
    organisations: [ORGANISATION],
  });
  try {
    let isOver = false;
    const sending = sendRequests(cluster, seededRandom(seed + 1_000_000), () => isOver);
    const untilMs = Date.now() + seconds * 1000;
    let faults = 0;
    for (; Date.now() < untilMs; faults += 1) {
      await pick(FAULTS, random)(cluster, random);
      await sleep(2 * FAULT_PAUSE_MS * random());
    }
    await sleep(RECOVERY_MS);
    isOver = true;
    const results = await sending;
    const violations = await violationsOf(cluster, results, Date.now() - RECOVERED_MS);
    const answered = results.filter(({ outcome }) => outcome === 'answered').length;
    const folder = writeLogs(cluster);
    return { seed, requests: results.length, answered, disturbances: faults, violations, folder };
  } finally {
    await cluster.stop();
  }
}
