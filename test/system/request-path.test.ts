/** The request path end to end, with separate processes and the OpenAI client that callers use. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import OpenAI from 'openai';
import { request } from 'undici';
import {
  sendRequest,
  Cluster,
  killProcess,
  getJson,
  MODEL,
  SERVICE,
  testKey,
} from '../../bench/harness/index.js';

let cluster: Cluster;
let baseUrl: string;
let client: OpenAI;

before(async () => {
  cluster = await Cluster.start({
    dataCentres: ['kgl-a'],
    entriesPerDataCentre: 1,
    servicesPerDataCentre: 1,
    ranksPerDataCentre: 2,
    organisations: [
      { id: 'rwandair', weight: 1, tokensPerSecond: 100_000 },
      { id: 'akagera', weight: 1, tokensPerSecond: 100_000 },
    ],
  });
  baseUrl = `http://127.0.0.1:${cluster.entries[0]?.ports.callers}`;
  client = new OpenAI({ baseURL: `${baseUrl}/v1`, apiKey: testKey('rwandair'), maxRetries: 0 });
});

after(() => cluster.stop());

const messages = [{ role: 'user' as const, content: 'Rebooking note. nonce=abc' }];

interface ProblemBody {
  readonly reason: string;
  readonly outcome: string;
  readonly remedy: string;
}

async function sendExpectingProblem(
  path: string,
  init: { method?: 'POST' | 'GET'; headers?: Record<string, string>; body?: string },
): Promise<{ status: number; body: ProblemBody; type: string }> {
  const headers = { authorization: `Bearer ${testKey('rwandair')}`, ...init.headers };
  const res = await request(`${baseUrl}${path}`, {
    method: init.method ?? 'POST',
    headers,
    body: init.body ?? null,
  });
  const type = String(res.headers['content-type']);
  return { status: res.statusCode, body: (await res.body.json()) as ProblemBody, type };
}

test('the OpenAI client receives a complete response', async () => {
  const answer = await client.chat.completions.create({ model: MODEL, messages, max_tokens: 5 });
  assert.equal(answer.choices[0]?.message.content, 'abc:0 abc:1 abc:2 abc:3 abc:4 ');
});

test('the OpenAI client receives a complete streamed response', async () => {
  const stream = await client.chat.completions.create({
    model: MODEL,
    messages,
    max_tokens: 4,
    stream: true,
  });
  let text = '';
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? '';
  assert.equal(text, 'abc:0 abc:1 abc:2 abc:3 ');
});

test('the OpenAI client lists models and maps a refusal to its own error type', async () => {
  const models = await client.models.list();
  assert.deepEqual(
    models.data.map((m) => m.id),
    [MODEL],
  );
  await assert.rejects(
    client.chat.completions.create({ model: 'gpt-0', messages }),
    OpenAI.NotFoundError,
  );
});

test('requests with a missing or unknown key are refused and do not run', async () => {
  const before = (await cluster.engineExecutions()).length;
  const none = await sendExpectingProblem('/v1/chat/completions', {
    headers: { authorization: '' },
    body: '{}',
  });
  assert.equal(none.status, 401);
  assert.equal(none.body.reason, 'key-unknown');
  assert.equal(none.type, 'application/problem+json');
  const wrong = await sendExpectingProblem('/v1/chat/completions', {
    headers: { authorization: 'Bearer nobody' },
    body: '{}',
  });
  assert.equal(wrong.status, 401);
  assert.equal(wrong.body.outcome, 'not-run');
  assert.equal((await cluster.engineExecutions()).length, before);
});

test('an invalid request is refused with a reason and a remedy', async () => {
  const cases: [string, object | string, Record<string, string>, number, string][] = [
    ['/v1/chat/completions', '{"model":', {}, 400, 'body-invalid'],
    ['/v1/chat/completions', { model: MODEL, messages: [] }, {}, 400, 'body-invalid'],
    ['/v1/chat/completions', { model: MODEL, messages, max_tokens: -1 }, {}, 400, 'body-invalid'],
    ['/v1/chat/completions', { model: 'gpt-0', messages }, {}, 404, 'model-unknown'],
    ['/services/nowhere/x', {}, {}, 404, 'route-unknown'],
    ['/nowhere', {}, {}, 404, 'route-unknown'],
    [
      '/v1/chat/completions',
      { model: MODEL, messages },
      { 'harrierglade-deadline': 'soon' },
      400,
      'header-invalid',
    ],
    [
      '/v1/chat/completions',
      { model: MODEL, messages },
      { 'harrierglade-repeatable': 'no' },
      400,
      'header-invalid',
    ],
    [
      '/v1/chat/completions',
      { model: MODEL, messages, max_tokens: 4000 },
      { 'harrierglade-deadline': '50' },
      503,
      'deadline-unreachable',
    ],
    ['/v1/chat/completions', 'x'.repeat(1_100_000), {}, 413, 'body-large'],
  ];
  for (const [path, body, headers, status, reason] of cases) {
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    const response = await sendExpectingProblem(path, { headers, body: text });
    assert.deepEqual(
      [response.status, response.body.reason, response.body.outcome],
      [status, reason, 'not-run'],
      `${path} ${reason}`,
    );
    assert.ok(response.body.remedy.length > 10);
  }
});

test('too large headers get a 431, and a request with a truncated body does not run', async () => {
  const large = await request(`${baseUrl}/v1/models`, {
    headers: { 'x-large': 'x'.repeat(20_000) },
  });
  await large.body.dump();
  assert.equal(large.statusCode, 431);
  const ran = (await cluster.serviceExecutions()).length;
  const socket = connect(Number(new URL(baseUrl).port), '127.0.0.1');
  await new Promise((resolve) => socket.once('connect', resolve));
  socket.write(
    `POST /services/${SERVICE}/bags HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${testKey('rwandair')}\r\ncontent-length: 100\r\n\r\n{"nonce":`,
  );
  socket.end();
  socket.resume();
  await new Promise((resolve) => socket.once('close', resolve));
  assert.equal((await cluster.serviceExecutions()).length, ran);
});

test('a request on the engine is cancelled when its caller disconnects', async () => {
  const disconnect = new AbortController();
  const stream = await client.chat.completions.create(
    {
      model: MODEL,
      messages: [{ role: 'user', content: 'nonce=gone' }],
      max_tokens: 2000,
      stream: true,
    },
    { signal: disconnect.signal },
  );
  for await (const chunk of stream) if (chunk.choices.length > 0) break;
  disconnect.abort();
  let run;
  for (let n = 0; n < 100 && run?.end !== 'cancelled'; n += 1) {
    await new Promise((resolve) => setTimeout(resolve, 50));
    run = (await cluster.engineExecutions()).find((e) => e.nonce === 'gone');
  }
  assert.equal(run?.end, 'cancelled');
  const entry = cluster.entries[0];
  assert.ok(entry);
  const disconnected = Object.entries(await cluster.counters(entry)).find(([name]) =>
    /^requests_total.*end="gone"/.test(name),
  );
  assert.equal(disconnected?.[1], 1);
});

test('a call that must not be repeated reaches its service once, with a request id of the entry', async () => {
  const port = Number(new URL(baseUrl).port);
  const ask = await sendRequest({ kind: 'once', nonce: 'tag-7', organisation: 'rwandair', port });
  assert.deepEqual([ask.outcome, ask.isComplete], ['answered', true]);
  const runs = (await cluster.serviceExecutions()).filter((e) => e.nonce === 'tag-7');
  assert.equal(runs.length, 1);
  assert.equal(runs[0]?.path, '/bags');
  assert.equal(runs[0]?.organisation, 'rwandair');
  assert.match(runs[0]?.requestId ?? '', /^kgl-a-entry-1\/.*\/r\d+$/);
});

test('a call to a stopped service is refused as not run, since nothing was sent', async () => {
  const [service] = cluster.services;
  assert.ok(service);
  await killProcess(service.process);
  const port = Number(new URL(baseUrl).port);
  const ask = await sendRequest({ kind: 'once', nonce: 'tag-8', organisation: 'rwandair', port });
  assert.equal(ask.outcome, 'not-run');
});

test('operators can read readiness, counters by reason, histograms and past decisions', async () => {
  const operators = `http://127.0.0.1:${cluster.entries[0]?.ports.operators}`;
  const metrics = await (await request(`${operators}/metrics`)).body.text();
  assert.match(
    metrics,
    /harrierglade_refusals_total\{reason="model-unknown",outcome="not-run"\} [1-9]/,
  );
  assert.match(metrics, /harrierglade_request_us\{kind="repeatable",quantile="0.99"\} [1-9]/);
  assert.equal((await request(`${operators}/readyz`)).statusCode, 200);
  const latest = (await getJson(`${operators}/explain`)) as { request: string; tries?: string }[];
  const id = latest[0]?.request ?? '';
  assert.deepEqual(await getJson(`${operators}/explain?id=${encodeURIComponent(id)}`), latest[0]);
});
