/** Measures memory, message sizes and CPU time in one process, by size; run with --expose-gc. */
import { performance } from 'node:perf_hooks';
import { Admission } from '../../src/core/admission/index.js';
import { systemClock } from '../../src/core/clock/index.js';
import {
  bodyDigest,
  diffConfig,
  EMPTY_BODY,
  FeedStore,
  checkDocument,
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
import { fitLine, type LinearFit } from '../harness/index.js';

/** A quantity measured at several sizes, with a linear fit. */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  readonly points: readonly (readonly [number, number])[];
  readonly fit: LinearFit;
}

/** A configuration body with the given number of organisations and endpoints. */
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

function toDocument(body: ConfigurationBody): ConfigurationDocument {
  return { version: 1, basedOn: 0, digest: bodyDigest(body), body };
}

function instanceList(entries: number, agents: number): InstanceList {
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

function measureSlope(
  name: string,
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope {
  const points = sizes.map((size) => [size, measure(size)] as const);
  return { name, unit, points, fit: fitLine(points) };
}

/** Memory retained by the result of `make`, KB. */
function retainedKb(make: () => unknown): number {
  const before = heapMb();
  const retained = make();
  const after = heapMb();
  if (retained === undefined)
    throw new Error('make() returned undefined; there is nothing to measure');
  return (after - before) * 1000;
}

function meanTimeMs(run: () => void, iterations: number): number {
  run();
  const start = performance.now();
  for (let i = 0; i < iterations; i += 1) run();
  return (performance.now() - start) / iterations;
}

function buildFeedStore(body: ConfigurationBody): unknown {
  const store = new FeedStore(systemClock, silentLog, new Metrics());
  // Parsed from text, as a document received over the network.
  store.offerConfig(JSON.parse(JSON.stringify(toDocument(body))), 'bench');
  return [store, new Map(body.organisations.map((o) => [o.keySha256, o]))];
}

/** A document and its successor, which differ in one organisation. */
function successiveDocuments(
  organisations: number,
): [ConfigurationDocument, ConfigurationDocument] {
  const before = toDocument(bodyOfSize(organisations, 600));
  const [first, ...others] = before.body.organisations;
  const changed = first ? [{ ...first, weight: 2 }, ...others] : [];
  return [
    before,
    { ...toDocument({ ...before.body, organisations: changed }), version: 2, basedOn: 1 },
  ];
}

function deltaKb(organisations: number): number {
  return JSON.stringify(diffConfig(...successiveDocuments(organisations))).length / 1000;
}

function buildAdmission(organisations: number): unknown {
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

/** Bytes of a group's messages in one placement round and one switch. */
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
  const bytesOf = (message: object): number =>
    Buffer.byteLength(JSON.stringify(message)) + HTTP_OVERHEAD_BYTES;
  const promiseReply = bytesOf(reply);
  const prepare = bytesOf({ ...order, map: packMap(map) });
  const smallExchange = bytesOf({ ...reply, counts: undefined }) + bytesOf(order);
  return {
    promiseReply,
    prepare,
    round: ranks * (promiseReply + bytesOf(order)),
    change: ranks * (prepare + 3 * smallExchange),
  };
}

/** Approximate size of the HTTP headers of one tRPC call and its response between daemons, bytes. */
const HTTP_OVERHEAD_BYTES = 400;

function measurePlacementMs(layers: number): number {
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
  return meanTimeMs(() => void planPlacement(start, drifted, policy), 3);
}

/** Measures all quantities of one process. */
export function measureInProcess(): Slope[] {
  const sizes = [100, 600, 1700, 3400];
  return [
    measureSlope('memory of the configuration, by organisations', 'KB', sizes, (n) =>
      retainedKb(() => buildFeedStore(bodyOfSize(n, 600))),
    ),
    measureSlope(
      'size of the configuration as JSON, by organisations',
      'KB',
      sizes,
      (n) => JSON.stringify(toDocument(bodyOfSize(n, 600))).length / 1000,
    ),
    measureSlope('validating a document, by organisations', 'ms', sizes, (n) => {
      const doc = toDocument(bodyOfSize(n, 600));
      return meanTimeMs(() => void checkDocument(doc), 10);
    }),
    measureSlope('delta of one changed organisation, by organisations', 'KB', sizes, deltaKb),
    measureSlope('computing a delta, by organisations', 'ms', sizes, (n) => {
      const [before, after] = successiveDocuments(n);
      return meanTimeMs(() => void diffConfig(before, after), 10);
    }),
    measureSlope('memory of the indexed instance list, by instances', 'KB', [64, 250, 1010], (n) =>
      retainedKb(() => buildInstanceView(instanceList(Math.floor(n * 0.4), Math.ceil(n * 0.6)))),
    ),
    measureSlope(
      'size of the instance list as JSON, by instances',
      'KB',
      [64, 250, 1010],
      (n) => JSON.stringify(instanceList(Math.floor(n * 0.4), Math.ceil(n * 0.6))).length / 1000,
    ),
    measureSlope('indexing the instance list, by instances', 'ms', [64, 250, 1010], (n) => {
      const list = instanceList(Math.floor(n * 0.4), Math.ceil(n * 0.6));
      return meanTimeMs(() => void buildInstanceView(list), 10);
    }),
    measureSlope('memory of admission control, by organisations', 'KB', sizes, (n) =>
      retainedKb(() => buildAdmission(n)),
    ),
    measureSlope(
      'one placement of 32 ranks and 64 experts, by layers',
      'ms',
      [8, 30, 60],
      measurePlacementMs,
    ),
  ];
}
