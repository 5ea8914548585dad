/**
 * Engines send an answer once more, late, in the place where the next answer on that channel is due. If the
 * answer that comes again is a 503 with X-Not-Executed, the entry takes it for the answer to the next
 * request, which the engine runs all the same.
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
} from '../lib/deployment.mjs';
import { send } from '../lib/client.mjs';
import { startPlainEngine } from '../lib/plain-engine.mjs';
import { Recorder } from '../lib/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** The site's dose of `garble extra late`: for 5 s, at 0.6 of the engines, 0.03 of their answers. */
const ENGINES = 5;
const GARBLE = { forMs: 5000, engines: 3, x: 0.03 };
const SPELLS = 8;
const SPELL_GAP_MS = 1500;
const CLIENTS = 80;
/** Pause of a client that was refused, ms. */
const THINK_MS = 700;
/** Time budget of the site's bp-lookup, ms. */
const BUDGET_MS = 1504;
/** Mean work of the site's bp-lookup, ms. */
const WORK_MS = 85.7;
const PROMISES = new Set([408, 421, 429, 503]);

const HOST = 'checkin.example';
const KEY = 'key-1';
const ROUTES = [
  { name: 'bp-lookup', 'path-prefix': '/bp/', 'max-attempts': 1 },
  { name: 'bp-lookup-2', 'path-prefix': '/bp2/', 'max-attempts': 2 },
];
const CONFIG = {
  version: 7,
  routes: ROUTES.map((route) => ({
    host: HOST,
    kind: 'non_idempotent',
    'timeout-ms': 800,
    'target-latency-ms': 300,
    priority: 2,
    service: 'counter-api',
    ...route,
  })),
  services: [{ name: 'counter-api', 'max-connections': 100 }],
  limits: {
    'max-header-bytes': 16384,
    'max-body-bytes': 4194304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15000,
  },
  tenants: [{ name: 'carrier-1', 'api-keys': [KEY] }],
};

const recorder = new Recorder(new URL('record.txt', import.meta.url));
const deployment = new Deployment();

/** Surplus answers yet to come, by channel. */
const surplus = new Map();
let garbled = new Set();

function engineOptions(host, index) {
  const id = `i-${index}a${Math.floor(Math.random() * 1e6).toString(16)}`;
  return {
    host,
    id,
    record: recorder.add,
    slots: 6,
    queue: 2,
    maxConnections: 100,
    workMs: () => WORK_MS * (0.5 + Math.random()),
    afterAnswer: (bytes, channel, status) => {
      if (!garbled.has(index) || Math.random() >= GARBLE.x) return;
      surplus.set(channel, { bytes, status });
    },
    beforeRequest: (channel) => {
      const late = surplus.get(channel);
      if (!late) return;
      surplus.delete(channel);
      recorder.add({ engine: id, at: nowMs(), what: 'surplus', status: late.status });
      channel.write(late.bytes);
    },
  };
}

async function runSpells() {
  for (let i = 0; i < SPELLS; i += 1) {
    await sleep(SPELL_GAP_MS);
    if (HAS_TROUBLE) {
      const order = Array.from({ length: ENGINES }, (_, i) => i).sort(() => Math.random() - 0.5);
      garbled = new Set(order.slice(0, GARBLE.engines));
    }
    await sleep(GARBLE.forMs);
    garbled = new Set();
  }
}

/**
 * One client: a kept channel to its entry, one task after the other. After a 503, which promises that the
 * request has not run, it tries once more as the pages say: after Retry-After, but at most a third of the time
 * left, under a new id, on a new channel, at the other entry.
 */
async function runClient(client, hosts, route, untilMs) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (let i = 0; nowMs() < untilMs(); i += 1) {
    const startedMs = nowMs();
    const request = {
      port: PORT.front,
      record: recorder.add,
      path: `${route['path-prefix']}${client}-${i}`,
      headers: { host: HOST, authorization: `Bearer ${KEY}` },
      body: 'seat 14C',
    };
    const first = await send({ ...request, host: hosts[0], agent, budgetMs: BUDGET_MS });
    if (first.status !== 503) continue;
    const leftMs = BUDGET_MS - (nowMs() - startedMs);
    await sleep(Math.min(1000 * Number(first.headers['retry-after'] ?? 0), leftMs / 3));
    const budgetMs = Math.floor(BUDGET_MS - (nowMs() - startedMs));
    await send({ ...request, host: hosts[1], agent: false, budgetMs });
    await sleep(THINK_MS);
  }
  agent.destroy();
}

function judge() {
  const runs = new Map();
  const tasks = new Map();
  for (const { id, path } of recorder.of('run')) {
    runs.set(id, (runs.get(id) ?? 0) + 1);
    tasks.set(path, (tasks.get(path) ?? 0) + 1);
  }
  const answers = recorder.of('answered');
  const twice = [...runs].filter(([, count]) => count > 1).map(([id]) => id);
  const refused = answers.filter(({ id, status }) => PROMISES.has(status) && runs.has(id));
  const count = (what) => recorder.of(what).length;
  const late = recorder.of('surplus').filter(({ status }) => status.startsWith('503')).length;
  const shown = new Set([...twice, ...refused.map(({ id }) => id)]);
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `requests sent: ${count('sent')}, runs: ${count('run')}, turned away: ${count('turned-away')}`,
    `surplus answers: ${count('surplus')}, of them 503 with X-Not-Executed: ${late}`,
    `answers by status: ${JSON.stringify(countBy(answers, ({ status }) => status))}`,
    `TWICE: ${twice.length} requests that are not idempotent ran more than once`,
    `REFUSED: ${refused.length} requests got 503 and had run`,
    `effect: ${[...tasks.values()].filter((runCount) => runCount > 1).length} tasks of clients were done more than once`,
    'below: all lines of these requests, and the surplus answers',
  ];
  recorder.write(summary, ({ id, what }) => shown.has(id) || what === 'surplus');
  for (const line of summary) console.log(line);
  const isBusy = count('run') > 1000 && count('turned-away') > 20;
  if (!isBusy || (HAS_TROUBLE && late === 0)) return 2;
  return twice.length + refused.length > 0 ? 1 : 0;
}

function countBy(list, keyOf) {
  const counts = {};
  for (const one of list) counts[keyOf(one)] = (counts[keyOf(one)] ?? 0) + 1;
  return counts;
}

let code = 2;
try {
  const net = await freeNetwork();
  const entries = [`${net}.1`, `${net}.2`];
  const store = deployment.add(await startStore(`${net}.4`));
  store.put('op/config', CONFIG);
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = deployment.add(await startPlainEngine(engineOptions(`${net}.3`, index)));
    store.put(`servers/${engine.id}`, {
      service: 'counter-api',
      address: engine.address,
      zone: 'kanombe-a',
      version: 1,
      slots: 6,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 0,
      born: Date.now(),
    });
  }
  const seeds = entries.map((ip) => `${ip}:${PORT.control}`);
  entries.forEach((ip, i) =>
    deployment.start('entry', {
      name: `front-kanombe-a-${i + 1}`,
      ip,
      zone: 'kanombe-a',
      seeds,
      storeAddress: store.address,
    }),
  );
  await Promise.all(entries.map((ip) => untilReady(ip)));
  let isOver = false;
  const untilMs = () => (isOver ? 0 : Number.POSITIVE_INFINITY);
  const clients = Array.from({ length: CLIENTS }, (_, i) =>
    runClient(i, [entries[i % 2], entries[(i + 1) % 2]], ROUTES[Math.floor(i / 2) % 2], untilMs),
  );
  await runSpells();
  isOver = true;
  await Promise.all(clients);
  await sleep(500);
  code = judge();
} catch (err) {
  console.error(err);
} finally {
  await deployment.end();
}
process.exit(code);
