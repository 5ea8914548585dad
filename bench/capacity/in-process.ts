/** Slopes of state and processor time that one process can measure by itself: run with --expose-gc. */
import { performance } from 'node:perf_hooks';
import { Admission } from '../../src/core/admission/index.js';
import { systemClock } from '../../src/core/clock/index.js';
import {
  bodyDigest,
  diffConfig,
  EMPTY_BODY,
  FeedStore,
  judgeDocument,
  keyHash,
} from '../../src/core/config-feed/index.js';
import { packMap, type ExpertMap } from '../../src/core/groups/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { buildInstanceView } from '../../src/core/membership/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import {
  planPlacement,
  packPlacement,
  type PlacementPolicy,
} from '../../src/core/placement/index.js';
import type {
  ConfigurationBody,
  ConfigurationDocument,
} from '../../src/generated/configuration.types.js';
import type { InstanceList } from '../../src/generated/instances.types.js';
import type { RankReply } from '../../src/generated/messages.types.js';
import { makeTrace, NYUNGWE } from '../decisions/traces.js';
import { fitLine, type Fit } from '../harness/index.js';

/** One measured slope. */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  readonly points: readonly (readonly [number, number])[];
  readonly fit: Fit;
}

/** A body of so many organisations and endpoints. */
export function bodyOfSize(organisations: number, endpoints: number): ConfigurationBody {
  const ids = Array.from({ length: endpoints }, (_, i) => `region-dc-model-${i}`);
  return {
    ...EMPTY_BODY,
    organisations: Array.from({ length: organisations }, (_, i) => ({
      id: `organisation-${i}`,
      keySha256: keyHash(String(i)),
      weight: 1,
      tokensPerSecond: 1000,
    })),
    models: Array.from({ length: 17 }, (_, i) => ({
      id: `model-${i}`,
      endpoints: ids.filter((_id, n) => n % 17 === i).concat(ids.slice(0, 1)),
    })),
  };
}

function documentOf(body: ConfigurationBody): ConfigurationDocument {
  return { version: 1, basedOn: 0, digest: bodyDigest(body), body };
}

function listOf(entries: number, agents: number): InstanceList {
  const record = (i: number, role: 'entry' | 'agent') => ({
    instance: `region-dc-${role}-${i}`,
    role,
    dataCentre: `dc-${i % 8}`,
    host: '10.0.0.1',
    port: 7300,
    state: 'live' as const,
    ...(role === 'agent' ? { endpoint: `region-dc-model-${i}` } : {}),
  });
  return {
    version: 1,
    instances: [
      ...Array.from({ length: entries }, (_, i) => record(i, 'entry')),
      ...Array.from({ length: agents }, (_, i) => record(i, 'agent')),
    ],
  };
}

function heapMb(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return (heapUsed + external) / 1e6;
}

function slope(
  name: string,
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope {
  const points = sizes.map((size) => [size, measure(size)] as const);
  return { name, unit, points, fit: fitLine(points) };
}

/** Memory that something holds, in KB. */
function heldKb(make: () => unknown): number {
  const before = heapMb();
  const held = make();
  const after = heapMb();
  if (held === undefined) throw new Error('nothing was made');
  return (after - before) * 1000;
}

function timeMs(run: () => void, times: number): number {
  run();
  const start = performance.now();
  for (let i = 0; i < times; i += 1) run();
  return (performance.now() - start) / times;
}

function storeWith(body: ConfigurationBody): unknown {
  const store = new FeedStore(systemClock, silentLog, new Metrics());
  // As it comes from the wire: text first, then the object.
  store.offerConfig(JSON.parse(JSON.stringify(documentOf(body))), 'bench');
  return [store, new Map(body.organisations.map((o) => [o.keySha256, o]))];
}

/** A document and its successor, in which one organisation has changed. */
function twoDocuments(organisations: number): [ConfigurationDocument, ConfigurationDocument] {
  const before = documentOf(bodyOfSize(organisations, 600));
  const [first, ...others] = before.body.organisations;
  const changed = first ? [{ ...first, weight: 2 }, ...others] : [];
  return [
    before,
    { ...documentOf({ ...before.body, organisations: changed }), version: 2, basedOn: 1 },
  ];
}

function deltaKb(organisations: number): number {
  return JSON.stringify(diffConfig(...twoDocuments(organisations))).length / 1000;
}

function admissionWith(organisations: number): unknown {
  const admission = new Admission();
  const body = bodyOfSize(organisations, 8);
  for (const o of body.organisations) {
    admission.admit(
      {
        organisation: o.id,
        target: 'm',
        tokens: 1,
        predictedMs: 1,
        waitMs: 0,
        deadlineMs: 10,
        priority: 5,
      },
      o,
      body,
      1,
      0,
      0,
    );
  }
  return admission;
}

/** Bytes of a group's messages in one coordinator round and one switch. */
export function switchBytes(
  ranks: number,
  layers: number,
  experts: number,
): { promiseReply: number; prepare: number; round: number; change: number } {
  const slots = Math.ceil(experts / ranks) + 1;
  const placement = packPlacement(
    Array.from({ length: layers }, () => Array.from({ length: experts }, (_, e) => e + 1)),
    ranks,
    slots,
  );
  const map: ExpertMap = {
    id: 'region-dc-agent-1/abcdef/m1',
    layers: placement.map((l) => l.map((r) => [...r])),
  };
  const reply: RankReply = {
    done: true,
    incarnation: 'abcdefgh-0123456789ab',
    promised: 1e6,
    step: 1e6,
    mapId: map.id,
    lastConfirmed: 1e6,
    counts: Array.from({ length: layers }, () => Array.from({ length: slots }, () => 12_345)),
  };
  const order = {
    group: 'region-dc-group-1',
    kind: 'promise',
    epoch: 1e6,
    incarnation: reply.incarnation,
    knownMapIds: [map.id],
  };
  const bytesOf = (data: object): number => Buffer.byteLength(JSON.stringify(data)) + HTTP_BYTES;
  const promiseReply = bytesOf(reply);
  const prepare = bytesOf({ ...order, map: packMap(map) });
  const small = bytesOf({ ...reply, counts: undefined }) + bytesOf(order);
  return {
    promiseReply,
    prepare,
    round: ranks * (promiseReply + bytesOf(order)),
    change: ranks * (prepare + 3 * small),
  };
}

/** Headers of one trpc call and its answer, bytes (seen on the wire of the daemons: about this). */
const HTTP_BYTES = 400;

function placementTime(layers: number): number {
  const deployment = { ...NYUNGWE, ranks: 32, experts: 64, layers, slotsPerRank: 3 };
  const trace = makeTrace(deployment, 3);
  const start = packPlacement(trace.shares(0), 32, 3);
  const policy: PlacementPolicy = {
    skewWeight: 4,
    costWeight: 1,
    expertBytes: 44e6,
    slotsPerRank: 3,
    bytesPerSecond: 4e8,
    budgetBytes: 1.2e10,
    balancedStepMs: 5,
    horizonSteps: 12_000,
  };
  const drifted = trace.shares(400);
  return timeMs(() => void planPlacement(start, drifted, policy), 3);
}

/** All slopes of one process. */
export function measureInProcess(): Slope[] {
  const sizes = [100, 600, 1700, 3400];
  return [
    slope('configuration held, by organisations', 'KB', sizes, (n) =>
      heldKb(() => storeWith(bodyOfSize(n, 600))),
    ),
    slope(
      'configuration text, by organisations',
      'KB',
      sizes,
      (n) => JSON.stringify(documentOf(bodyOfSize(n, 600))).length / 1000,
    ),
    slope('judging a document, by organisations', 'ms', sizes, (n) => {
      const doc = documentOf(bodyOfSize(n, 600));
      return timeMs(() => void judgeDocument(doc), 10);
    }),
    slope('one changed organisation passed on, by organisations', 'KB', sizes, deltaKb),
    slope('finding what changed, by organisations', 'ms', sizes, (n) => {
      const [before, after] = twoDocuments(n);
      return timeMs(() => void diffConfig(before, after), 10);
    }),
    slope('list held and indexed, by instances', 'KB', [64, 250, 1010], (n) =>
      heldKb(() => buildInstanceView(listOf(Math.floor(n * 0.4), Math.ceil(n * 0.6)))),
    ),
    slope(
      'list text, by instances',
      'KB',
      [64, 250, 1010],
      (n) => JSON.stringify(listOf(Math.floor(n * 0.4), Math.ceil(n * 0.6))).length / 1000,
    ),
    slope('indexing a list, by instances', 'ms', [64, 250, 1010], (n) => {
      const list = listOf(Math.floor(n * 0.4), Math.ceil(n * 0.6));
      return timeMs(() => void buildInstanceView(list), 10);
    }),
    slope('admission held, by organisations', 'KB', sizes, (n) => heldKb(() => admissionWith(n))),
    slope('one placement of 32 ranks and 64 experts, by layers', 'ms', [8, 30, 60], placementTime),
  ];
}
