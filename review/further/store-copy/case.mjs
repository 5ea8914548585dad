/**
 * The store comes back from an older copy while all entries have just been killed and started again. The copy
 * still has a key that was taken away; the entries take it for current, and requests with that key run.
 */
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
const REVOKE_MS = 5000;
/** Age of the copy when the key is taken away, ms; and how long the store is away, ms. */
const COPY_BEFORE_MS = 1000;
const AWAY_MS = 1000;
/** Time until the operator and the engines have written again what was lost, ms. */
const REWRITE_MS = 2000;

const HOST = 'checkin.example';
const config = (version, keys) => ({
  version,
  routes: [
    {
      name: 'seatmap-fetch',
      host: HOST,
      'path-prefix': '/seat/',
      kind: 'idempotent',
      'timeout-ms': 800,
      'target-latency-ms': 300,
      priority: 2,
      'max-attempts': 2,
      service: 'counter-api',
    },
  ],
  services: [{ name: 'counter-api', 'max-connections': 100 }],
  limits: {
    'max-header-bytes': 16384,
    'max-body-bytes': 4194304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15000,
  },
  tenants: [{ name: 'carrier-1', 'api-keys': keys }],
});

const recorder = new Recorder(new URL('record.txt', import.meta.url));
const deployment = new Deployment();
let isOver = false;

/** Sends ten requests a second to each entry with a key. */
async function runClients(entries, key) {
  const pending = [];
  for (let i = 0; !isOver; i += 1) {
    for (const host of entries)
      pending.push(
        send({
          host,
          port: PORT.front,
          agent: false,
          method: 'GET',
          record: recorder.add,
          path: `/seat/${key}/${i}`,
          headers: { host: HOST, authorization: `Bearer ${key}` },
          budgetMs: 1503,
        }),
      );
    await sleep(100);
  }
  await Promise.all(pending);
}

let code = 2;
try {
  const net = await freeNetwork(4);
  const ips = [`${net}.1`, `${net}.2`];
  const store = deployment.add(await startStore(`${net}.4`));
  const engine = deployment.add(
    await startPlainEngine({
      host: `${net}.3`,
      id: 'i-7f3a91c2',
      record: recorder.add,
      workMs: () => 40,
    }),
  );
  const list = () =>
    store.put(`servers/${engine.id}`, {
      service: 'counter-api',
      address: engine.address,
      zone: 'kanombe-a',
      version: 1,
      slots: 6,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 0,
      born: 1,
    });
  store.put('op/config', config(7, ['key-kept', 'key-lost']));
  list();
  const common = {
    zone: 'kanombe-a',
    seeds: ips.map((ip) => `${ip}:${PORT.control}`),
    storeAddress: store.address,
  };
  const start = () =>
    ips.map((ip, i) => deployment.start('entry', { name: `front-${i + 1}`, ip, ...common }));
  let entries = start();
  await Promise.all(ips.map((ip) => untilReady(ip)));
  const clients = [runClients(ips, 'key-kept'), runClients(ips, 'key-lost')];
  await sleep(3000);
  const copy = store.copy();
  await sleep(COPY_BEFORE_MS);
  const newest = config(9, ['key-kept']);
  store.put('op/config', newest);
  const ackMs = nowMs();
  recorder.add({ at: ackMs, what: 'acknowledged', version: 9 });
  await sleep(3000);
  if (HAS_TROUBLE) {
    store.goAway();
    recorder.add({ at: nowMs(), what: 'store-away' });
    for (const { child } of entries) child.kill('SIGKILL');
    await Promise.all(entries.map(({ exited }) => exited));
    recorder.add({ at: nowMs(), what: 'entries-killed' });
    await sleep(300);
    entries = start();
    await sleep(AWAY_MS - 300);
    store.comeBack(copy);
    recorder.add({ at: nowMs(), what: 'store-back' });
    await sleep(REWRITE_MS);
    store.put('op/config', newest);
    list();
    recorder.add({ at: nowMs(), what: 'written-again' });
  } else await sleep(AWAY_MS + REWRITE_MS);
  await sleep(4000);
  isOver = true;
  await Promise.all(clients);
  const sentAt = new Map(recorder.of('sent').map(({ id, at }) => [id, at]));
  const late = recorder
    .of('run')
    .filter(({ id, path }) => path.includes('/key-lost/') && sentAt.get(id) > ackMs + REVOKE_MS);
  const lateIds = new Set(late.map(({ id }) => id));
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `requests sent: ${sentAt.size}, runs: ${recorder.of('run').length}`,
    `CONFIG: ${late.length} requests with the key that was taken away ran though they were sent more than ${REVOKE_MS} ms after the ack`,
  ];
  recorder.write(summary, ({ id }) => !id || lateIds.has(id));
  for (const line of summary) console.log(line);
  code = late.length > 0 ? 1 : 0;
} catch (err) {
  console.error(err);
} finally {
  await deployment.end();
}
process.exit(code);
