import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseChat } from '../../src/caller-api/chat.js';
import { readAnswer, readCaller, writeAttempt } from '../../src/caller-api/headers.js';
import {
  createCallerApi,
  DecisionRecord,
  OrganisationLimits,
  publishedConfig,
  publishedEndpoints,
  splitServicePath,
} from '../../src/caller-api/index.js';
import { systemClock } from '../../src/core/clock/index.js';
import { keyHash } from '../../src/core/config-feed/index.js';
import { asId, type OrganisationId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { buildInstanceView } from '../../src/core/membership/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import type { GatewayRequest } from '../../src/gateway/index.js';
import { plainBody, plainDocument } from '../fixtures/configuration.js';

const LIMITS = { headerBytes: 1000, bodyBytes: 1000, headerMs: 1000, idleMs: 1000 };
const chat = (data: object): Buffer => Buffer.from(JSON.stringify(data));
const MESSAGES = [{ role: 'user', content: 'x'.repeat(40) }];

function limitsOf(mostOpen = 2): OrganisationLimits {
  return new OrganisationLimits({
    clock: systemClock,
    metrics: new Metrics(),
    body: plainBody,
    liveEntries: () => 1,
    mostOpen,
  });
}

const api = createCallerApi({
  body: plainBody,
  nextRequestId: () => 'r1',
  timeoutMs: 30_000,
  limits: limitsOf(),
});
const config = publishedConfig(plainDocument(1), LIMITS);

function req(method: string, url: string, headers: Record<string, string> = {}): IncomingMessage {
  return { method, url, headers } as IncomingMessage;
}

const routeOf = (asked: IncomingMessage) =>
  api.routeOf?.(config, readCaller(asked.headers, 'r1'), asked);

function request(asked: IncomingMessage, body: Buffer): GatewayRequest {
  const route = routeOf(asked);
  assert.ok(route);
  return {
    req: asked,
    body,
    route,
    organisation: { id: asId('rwandair'), priority: 5 },
    remainingMs: () => 30_000,
  } as GatewayRequest;
}

test('a chat request is read, and what is wrong with it is named', () => {
  const read = parseChat(chat({ model: 'm', messages: MESSAGES, max_tokens: 6, stream: true }));
  assert.deepEqual(read.unwrap(), { model: 'm', isStream: true, tokens: 16 });
  for (const [body, detail] of [
    [Buffer.from('{'), /not JSON/],
    [chat([1]), /"model"/],
    [chat({ messages: MESSAGES }), /"model"/],
    [chat({ model: 'm', messages: [] }), /"messages"/],
    [chat({ model: 'm', messages: MESSAGES, max_tokens: 0 }), /"max_tokens"/],
  ] as const) {
    const wrong = parseChat(body);
    assert.ok(wrong.err);
    assert.match(wrong.val.detail, detail);
  }
});

test('any bytes are read or refused, never thrown at', () => {
  fc.assert(fc.property(fc.uint8Array(), (bytes) => void parseChat(Buffer.from(bytes))));
  fc.assert(fc.property(fc.json(), (text) => void parseChat(Buffer.from(text))));
});

test('a path names its service and what is passed on', () => {
  assert.deepEqual(splitServicePath('/services/boarding/passes/7?x=1'), {
    service: 'boarding',
    rest: '/passes/7?x=1',
  });
  assert.deepEqual(splitServicePath('/services/boarding'), { service: 'boarding', rest: '/' });
  assert.deepEqual(splitServicePath('/services/boarding?x=1'), {
    service: 'boarding',
    rest: '/?x=1',
  });
});

test('routes follow the path, the rules of the service, and the word of the caller', () => {
  assert.equal(routeOf(req('GET', '/services/boarding/x'))?.kind, 'repeatable');
  const marked = req('GET', '/services/boarding/x', { 'harrierglade-repeatable': 'no' });
  assert.equal(routeOf(marked)?.kind, 'once');
  assert.equal(routeOf(req('GET', '/services/nowhere/x')), undefined);
  assert.equal(routeOf(req('GET', '/v1/chat/completions')), undefined);
  assert.equal(routeOf(req('GET', '/nowhere')), undefined);
});

test('the body of a chat names the model, and whether its answer is a stream', () => {
  const asked = req('POST', '/v1/chat/completions');
  const body = { model: 'passenger-summary', messages: MESSAGES };
  const stream = api.readContent?.(request(asked, chat({ ...body, stream: true })));
  assert.equal(stream?.unwrap().route.kind, 'stream');
  assert.equal(api.readContent?.(request(asked, chat(body)))?.unwrap().route.kind, 'repeatable');
  const other = api.readContent?.(request(asked, chat({ ...body, model: 'gpt-0' })));
  assert.ok(other?.err);
  assert.equal(other.val.reason, 'model-unknown');
});

test('headers are read into what they mean, and written for endpoints without the key', () => {
  const head = readCaller({ authorization: 'Bearer secret', 'harrierglade-deadline': '900' }, 'r1');
  assert.deepEqual([head.deadlineMs, head.key], [900, keyHash('secret')]);
  assert.match(readCaller({ 'harrierglade-deadline': 'soon' }, 'r1').invalid ?? '', /from 1 to/);
  assert.match(readCaller({ 'harrierglade-priority': '10' }, 'r1').invalid ?? '', /from 0 to 9/);
  const [endpoint] = publishedEndpoints(view(), plainBody());
  assert.ok(endpoint);
  const sent = writeAttempt(
    { authorization: 'Bearer secret', cookie: 'c', 'content-type': 'application/json' },
    {
      requestId: 'r1',
      endpoint,
      organisation: asId<OrganisationId>('rwandair'),
      deadlineMs: 5,
      resumeAfter: 3,
    },
  );
  assert.deepEqual(sent, {
    'x-request-id': 'r1',
    'x-organisation': 'rwandair',
    'x-priority': '5',
    'content-type': 'application/json',
    'last-event-id': '3',
  });
  assert.equal(readAnswer(503, { 'x-not-run': '1' }).isNotRun, true);
  assert.equal(readAnswer(503, {}).isNotRun, false);
});

function view() {
  const record = { dataCentre: 'kgl-a', host: '10.0.0.1', state: 'live' as const };
  return buildInstanceView({
    version: 1,
    instances: [
      { ...record, instance: 'a-1', role: 'agent', port: 1, endpoint: 'kgl-a-model-1' },
      { ...record, instance: 'm-1', role: 'endpoint', port: 2, endpoint: 'kgl-a-model-1' },
      { ...record, instance: 's-1', role: 'endpoint', port: 3, endpoint: 'kgl-a-service-1' },
      { ...record, instance: 'x-1', role: 'endpoint', port: 4, endpoint: 'unused' },
    ],
  });
}

test('the document and the list become what the gateway decides by', () => {
  assert.equal(config.organisationsByKey?.get(keyHash('secret'))?.id, 'rwandair');
  const endpoints = publishedEndpoints(view(), plainBody());
  assert.deepEqual(
    endpoints.map((e) => [e.id, e.service, e.address]),
    [
      ['kgl-a-model-1', 'passenger-summary', '10.0.0.1:2'],
      ['kgl-a-service-1', 'boarding', '10.0.0.1:3'],
    ],
  );
  assert.equal(view().agentByEndpoint.get('kgl-a-model-1')?.address, '10.0.0.1:1');
});

test('an organisation may have so many requests open, and gets its place back', () => {
  const limits = limitsOf(1);
  const asked = request(req('GET', '/services/boarding/x'), Buffer.alloc(0));
  const first = limits.admit(asked);
  const second = limits.admit(asked);
  assert.ok(first.ok && second.err);
  assert.equal(second.val.reason, 'streams-exceeded');
  first.val();
  assert.ok(limits.admit(asked).ok);
});

test('a request that cannot end in time is refused at once', () => {
  const asked = request(
    req('POST', '/v1/chat/completions'),
    chat({ model: 'passenger-summary', messages: MESSAGES, max_tokens: 4000 }),
  );
  const content = api.readContent?.(asked).unwrap();
  const late = limitsOf().admit({ ...asked, ...content, remainingMs: () => 50 });
  assert.ok(late.err);
  assert.equal(late.val.reason, 'deadline-unreachable');
});

test('ends of requests are kept for a while, by their id', () => {
  const record = new DecisionRecord();
  const log = record.watch(silentLog);
  log.info('request.end', { request: 'r1', outcome: 'answered' });
  log.info('other', { request: 'r2' });
  assert.equal(record.find('r1')?.['outcome'], 'answered');
  assert.equal(record.find('r2'), undefined);
  for (let i = 0; i < 1200; i += 1) log.info('request.end', { request: `n${i}` });
  assert.equal(record.find('r1'), undefined);
  assert.equal(record.latest(1)[0]?.request, 'n1199');
});
