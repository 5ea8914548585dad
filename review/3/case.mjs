/**
 * Streams on a route without `stream-resume`. When the engine of such a stream turns slow, the entry breaks the
 * stream off to go on at another engine, which this route does not allow, and then closes the caller's
 * channel.
 */
import http from 'node:http';
import {
  Deployment,
  freeNetwork,
  PORT,
  sleep,
  startStore,
  untilReady,
} from '../lib/deployment.mjs';
import { send } from '../lib/client.mjs';
import { ENGINE, startModelGroup } from '../lib/model-group.mjs';
import { Recorder } from '../lib/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** At most the dose of the site's standard days: `srv_slow` at 0.4 of the engines, 12 times as long, for 9 s. */
const SLOW = { ranks: 2, x: 12, forMs: 3000 };
const RANKS = 5;
const SPELLS = 16;
const SPELL_GAP_MS = 2500;
const CLIENTS = 24;
/** Time budget of the site's pax-summary, ms. */
const BUDGET_MS = 8017;
const CONTACT_MS = 3000;
/** How often a machine may do it. */
const ALLOWED = 3;

const HOST = 'checkin.example';
const KEY = 'key-1';
const CONFIG = {
  version: 7,
  routes: [
    {
      name: 'pax-summary',
      host: HOST,
      'path-prefix': '/pax/',
      kind: 'stream',
      'timeout-ms': 8000,
      'target-latency-ms': 500,
      'gap-aim-ms': 120,
      priority: 1,
      'max-attempts': 2,
      service: 'agent-assist',
    },
  ],
  services: [{ name: 'agent-assist', 'max-connections': 348, engine: ENGINE }],
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
/** Requests of clients, each with its end. */
const requests = [];
let isOver = false;

async function runClient(entry, number) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (let i = 0; !isOver; i += 1) {
    const end = await send({
      host: entry,
      port: PORT.front,
      agent,
      record: recorder.add,
      path: `/pax/${number}-${i}`,
      headers: {
        host: HOST,
        authorization: `Bearer ${KEY}`,
        'x-model': 'm',
        'x-token-count': '714,96',
        'x-prompt-prefix': `5c1e07a2:40,${number.toString(16)}a${i.toString(16)}:674`,
        'x-length-hint': '96',
      },
      budgetMs: BUDGET_MS,
      body: 'summary please',
    });
    requests.push(end);
    if (end.status !== 200 || !end.isWhole) await sleep(300);
  }
  agent.destroy();
}

/** Engines turn slow, a while apart. */
async function runSpells(group) {
  for (let i = 0; i < SPELLS; i += 1) {
    await sleep(SPELL_GAP_MS);
    const order = Array.from({ length: RANKS }, (_, rank) => rank).sort(() => Math.random() - 0.5);
    if (HAS_TROUBLE) group.slow(new Set(order.slice(0, SLOW.ranks)), SLOW.x);
    await sleep(SLOW.forMs);
    if (HAS_TROUBLE) group.slow(new Set(), 1);
  }
}

function judge() {
  const ran = new Set(recorder.of('run').map(({ id }) => id));
  const dropped = new Set(recorder.of('dropped').map(({ id }) => id));
  // The engine was at work, and its channel was closed by the entry; the client had not given up.
  const broken = requests.filter(
    ({ id, isWhole, tookMs }) =>
      !isWhole && ran.has(id) && dropped.has(id) && tookMs < BUDGET_MS - 500,
  );
  const lost = broken.filter(({ status, isKept }) => status === 0 && isKept);
  const whole = requests.filter(({ status, isWhole }) => status === 200 && isWhole);
  const ends = countBy(requests, ({ status, isWhole }) => `${status} ${isWhole ? 'whole' : 'cut'}`);
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `streams sent: ${requests.length}; ends as clients saw them (0: no answer): ${JSON.stringify(ends)}`,
    `broken off by an entry while their engine was at work: ${broken.length}`,
    `LOST: ${lost.length} of them on kept channels that were closed with no answer (allowed: ${ALLOWED})`,
    'below: all lines of the streams that were broken off',
  ];
  const shown = new Set(broken.map(({ id }) => id));
  recorder.write(summary, ({ id, what }) => shown.has(id) || what === 'slow');
  for (const line of summary) console.log(line);
  if (whole.length < 100) return 2;
  return lost.length > ALLOWED ? 1 : 0;
}

function countBy(list, keyOf) {
  const counts = {};
  for (const one of list) counts[keyOf(one)] = (counts[keyOf(one)] ?? 0) + 1;
  return counts;
}

let code = 2;
try {
  const net = await freeNetwork(RANKS + 2);
  const store = deployment.add(await startStore(`${net}.${RANKS + 2}`));
  const hosts = Array.from({ length: RANKS }, (_, rank) => `${net}.${rank + 2}`);
  const group = deployment.add(await startModelGroup({ hosts, record: recorder.add }));
  store.put('op/config', CONFIG);
  for (const { id, address } of group.ranks)
    store.put(`servers/${id}`, {
      service: 'agent-assist',
      address,
      zone: 'kanombe-a',
      version: 1,
      slots: ENGINE.slots,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 0,
      born: Date.now(),
    });
  const entry = `${net}.1`;
  const common = {
    zone: 'kanombe-a',
    seeds: [`${entry}:${PORT.control}`],
    storeAddress: store.address,
  };
  deployment.start('entry', { name: 'front-1', ip: entry, ...common });
  hosts.forEach((ip, i) =>
    deployment.start('agent', { name: `side-${i + 1}`, ip, app: `${ip}:${PORT.app}`, ...common }),
  );
  await untilReady(entry);
  await sleep(CONTACT_MS);
  const clients = Array.from({ length: CLIENTS }, (_, i) => runClient(entry, 16 + i));
  await runSpells(group);
  isOver = true;
  await Promise.all(clients);
  code = judge();
} catch (err) {
  console.error(err);
} finally {
  await deployment.end();
}
process.exit(code);
