/**
 * The engines of a busy plain service are replaced one after the other. Requests that an entry had given to an
 * engine before it left, and that wait there for a free channel, are still sent to it later than `drain-ms`
 * after it was listed as draining, and are lost when it ends.
 */
import http from 'node:http';
import {
  Deployment,
  freeNetwork,
  nowMs,
  PORT,
  sleep,
  startStore,
  untilReady,
} from '../../lib/deployment.mjs';
import { send } from '../../lib/client.mjs';
import { startPlainEngine } from '../../lib/plain-engine.mjs';
import { Recorder } from '../../lib/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ENGINES = 2;
const CLIENTS = 56;
/** Most work of a request of the site's plain service, ms. */
const WORK_MS = 450;
/** Time budget of the site's nav-file, ms. */
const BUDGET_MS = 4012;
const DRAIN_MS = 2000;
/** How much longer than `drain-ms` a leaving engine serves, ms. */
const LONGER_MS = 500;
const REPLACED = 4;
const GAP_MS = 6000;

const HOST = 'funds.example';
const KEY = 'key-1';
const CONFIG = {
  version: 7,
  routes: [
    {
      name: 'nav-file',
      host: HOST,
      'path-prefix': '/nav/',
      kind: 'non_idempotent',
      'timeout-ms': 4000,
      'target-latency-ms': 387,
      priority: 2,
      'max-attempts': 1,
      service: 'price-publish',
    },
  ],
  services: [{ name: 'price-publish', 'max-connections': 48 }],
  limits: {
    'max-header-bytes': 16384,
    'max-body-bytes': 4194304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15000,
  },
  tenants: [{ name: 'bank-1', 'api-keys': [KEY] }],
};

const recorder = new Recorder(new URL('record.txt', import.meta.url));
const deployment = new Deployment();
/** When each engine was listed as draining, and when it ended, ms. */
const left = new Map();
let started = 0;
let isOver = false;

async function startEngine(store, host) {
  started += 1;
  const engine = deployment.add(
    await startPlainEngine({
      host,
      id: `i-${started}b${Math.floor(Math.random() * 1e6).toString(16)}`,
      record: recorder.add,
      slots: 6,
      queue: 24,
      maxConnections: 48,
      workMs: () => WORK_MS,
    }),
  );
  engine.list = (state) =>
    store.put(`servers/${engine.id}`, {
      service: 'price-publish',
      address: engine.address,
      zone: 'hcm-quan7',
      version: 1,
      slots: 6,
      state,
      'cold-remaining-ms': 0,
      sequence: 0,
      born: engine.bornMs,
    });
  engine.bornMs = Date.now();
  engine.list('ready');
  return engine;
}

/** Replaces engines one after the other: the new one starts first, the old one drains and ends. */
async function release(store, host, engines) {
  for (let i = 0; i < REPLACED; i += 1) {
    await sleep(GAP_MS);
    if (!HAS_TROUBLE) continue;
    const old = engines.shift();
    engines.push(await startEngine(store, host));
    old.list('draining');
    const times = { listedAt: nowMs() };
    left.set(old.id, times);
    recorder.add({ engine: old.id, at: nowMs(), what: 'draining' });
    await sleep(DRAIN_MS + LONGER_MS);
    times.endedAt = nowMs();
    recorder.add({ engine: old.id, at: nowMs(), what: 'ended' });
    old.end();
    store.remove(`servers/${old.id}`);
  }
  await sleep(GAP_MS);
}

async function runClient(entry, client) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  await sleep(Math.random() * 2000);
  for (let i = 0; !isOver; i += 1) {
    const end = await send({
      host: entry,
      port: PORT.front,
      agent,
      record: recorder.add,
      path: `/nav/${client}-${i}`,
      headers: { host: HOST, authorization: `Bearer ${KEY}` },
      budgetMs: BUDGET_MS,
      body: 'fund 7',
    });
    if (end.status !== 200) await sleep(1000);
  }
  agent.destroy();
}

function judge() {
  const late = recorder
    .of('received')
    .filter(({ engine, at }) => at > (left.get(engine)?.listedAt ?? Infinity) + DRAIN_MS);
  const lateIds = new Set(late.map(({ id }) => id));
  const done = new Set(recorder.of('done').map(({ id }) => id));
  const lost = recorder
    .of('run')
    .filter(({ engine, id }) => left.has(engine) && lateIds.has(id) && !done.has(id));
  const ends = {};
  for (const { status } of recorder.of('answered')) ends[status] = (ends[status] ?? 0) + 1;
  const lateness = late.map(({ engine, at }) => Math.round(at - left.get(engine).listedAt));
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `requests sent: ${recorder.of('sent').length}, runs: ${recorder.of('run').length}`,
    `answers by status: ${JSON.stringify(ends)}`,
    `engines replaced: ${left.size}`,
    `DRAIN: ${late.length} requests reached an engine later than ${DRAIN_MS} ms after it was listed as draining (ms after: ${lateness.join(', ')})`,
    `effect: ${lost.length} of them had begun to run there and were lost as the engine ended`,
    'below: all lines of these requests, and the engines that left',
  ];
  recorder.write(
    summary,
    ({ id, what }) => lateIds.has(id) || what === 'draining' || what === 'ended',
  );
  for (const line of summary) console.log(line);
  if (done.size < 200) return 2;
  return late.length > 0 ? 1 : 0;
}

let code = 2;
try {
  const net = await freeNetwork(3);
  const entry = `${net}.1`;
  const store = deployment.add(await startStore(`${net}.3`));
  store.put('op/config', CONFIG);
  const engines = [];
  for (let i = 0; i < ENGINES; i += 1) engines.push(await startEngine(store, `${net}.2`));
  deployment.start('entry', {
    name: 'front-1',
    ip: entry,
    zone: 'hcm-quan7',
    seeds: [`${entry}:${PORT.control}`],
    storeAddress: store.address,
  });
  await untilReady(entry);
  const clients = Array.from({ length: CLIENTS }, (_, i) => runClient(entry, i));
  await release(store, `${net}.2`, engines);
  isOver = true;
  await Promise.all(clients);
  code = judge();
} catch (err) {
  console.error(err);
} finally {
  await deployment.end();
}
process.exit(code);
