/** Limits that protect an entry from its callers, tested with real processes. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  sendRequest,
  Cluster,
  SERVICE,
  testKey,
  type RequestResult,
  type Member,
} from '../../bench/harness/index.js';

let cluster: Cluster;
const OPEN_AT_ONCE = 2;

before(async () => {
  cluster = await Cluster.start({
    dataCentres: ['kgl-a'],
    entriesPerDataCentre: 1,
    servicesPerDataCentre: 1,
    ranksPerDataCentre: 1,
    organisations: [
      { id: 'rwandair', weight: 1, tokensPerSecond: 100_000 },
      { id: 'akagera', weight: 1, tokensPerSecond: 100_000 },
    ],
    limits: { streamsPerOrganisation: OPEN_AT_ONCE, bodyMs: 300 },
  });
});

after(() => cluster.stop());

function entry(): Member {
  const [first] = cluster.entries;
  assert.ok(first);
  return first;
}

function stream(nonce: string, organisation: string, tokens: number): Promise<RequestResult> {
  return sendRequest(
    { kind: 'chat', nonce, organisation, port: entry().ports.callers },
    { tokens },
  );
}

test('an organisation with too many open requests is refused at once, another one is not', async () => {
  const held = Array.from({ length: OPEN_AT_ONCE }, (_, i) => stream(`held-${i}`, 'rwandair', 150));
  for (
    let n = 0;
    n < 100 && Number((await cluster.status(entry()))['running']) < OPEN_AT_ONCE;
    n += 1
  )
    await sleep(20);
  const refused = await stream('third', 'rwandair', 4);
  assert.deepEqual([refused.outcome, refused.reason], ['not-run', 'streams-exceeded']);
  assert.equal((await stream('other', 'akagera', 4)).outcome, 'answered');
  for (const ask of await Promise.all(held))
    assert.deepEqual([ask.outcome, ask.isComplete], ['answered', true]);
  assert.equal((await stream('later', 'rwandair', 4)).outcome, 'answered');
});

test('a request whose body arrives too slowly is refused and does not run', async () => {
  const executedBefore = await cluster.serviceExecutions();
  const socket = connect(entry().ports.callers, '127.0.0.1');
  let answer = '';
  socket.on('data', (text) => (answer += String(text)));
  socket.write(
    `POST /services/${SERVICE}/bags HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${testKey('rwandair')}\r\ncontent-length: 100\r\n\r\n{"nonce":`,
  );
  await new Promise((resolve) => socket.once('close', resolve));
  assert.match(answer, /^HTTP\/1.1 408 /);
  assert.match(answer, /"reason":"body-late"/);
  assert.match(answer, /"outcome":"not-run"/);
  assert.deepEqual(await cluster.serviceExecutions(), executedBefore);
});
