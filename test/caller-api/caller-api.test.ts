import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseChatRequest } from '../../src/caller-api/chat.js';
import { readResponseHead, readRequestHead, attemptHeaders } from '../../src/caller-api/headers.js';
import {
  createCallerApi,
  DecisionRecord,
  OrganisationLimits,
  toPublishedConfig,
  toPublishedEndpoints,
  splitServicePath,
} from '../../src/caller-api/index.js';
import { systemClock } from '../../src/core/clock/index.js';
import { keyHash } from '../../src/core/config-feed/index.js';
import { asId, type OrganisationId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { buildInstanceView } from '../../src/core/membership/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import type { GatewayRequest } from '../../src/gateway/index.js';
import { sampleBody, sampleDocument } from '../fixtures/configuration.js';

const LIMITS = { headerBytes: 1000, bodyBytes: 1000, headerMs: 1000, idleMs: 1000 };
const chat = (data: object): Buffer => Buffer.from(JSON.stringify(data));
const MESSAGES = [{ role: 'user', content: 'x'.repeat(40) }];

function createLimits(mostOpen = 2): OrganisationLimits {
  return new OrganisationLimits({
    clock: systemClock,
    metrics: new Metrics(),
    body: sampleBody,
    liveEntries: () => 1,
    maxOpenRequests: mostOpen,
  });
}

const api = createCallerApi({
  body: sampleBody,
  nextRequestId: () => 'r1',
  timeoutMs: 30_000,
  limits: createLimits(),
});
const config = toPublishedConfig(sampleDocument(1), LIMITS);

function req(method: string, url: string, headers: Record<string, string> = {}): IncomingMessage {
  return { method, url, headers } as IncomingMessage;
}

const routeOf = (incoming: IncomingMessage) =>
  api.routeOf?.(config, readRequestHead(incoming.headers, 'r1'), incoming);

function request(incoming: IncomingMessage, body: Buffer): GatewayRequest {
  const route = routeOf(incoming);
  assert.ok(route);
  return {
    req: incoming,
    body,
    route,
    organisation: { id: asId('rwandair'), priority: 5 },
    remainingMs: () => 30_000,
  } as GatewayRequest;
}

test('a chat request is parsed, and an error names the invalid member', () => {
  const read = parseChatRequest(
    chat({ model: 'm', messages: MESSAGES, max_tokens: 6, stream: true }),
  );
  assert.deepEqual(read.unwrap(), { model: 'm', isStream: true, tokens: 16 });
  for (const [body, detail] of [
    [Buffer.from('{'), /not JSON/],
    [chat([1]), /"model"/],
    [chat({ messages: MESSAGES }), /"model"/],
    [chat({ model: 'm', messages: [] }), /"messages"/],
    [chat({ model: 'm', messages: MESSAGES, max_tokens: 0 }), /"max_tokens"/],
  ] as const) {
    const wrong = parseChatRequest(body);
    assert.ok(wrong.err);
    assert.match(wrong.val.detail, detail);
  }
});

test('parsing arbitrary bytes as a chat request never throws', () => {
  fc.assert(fc.property(fc.uint8Array(), (bytes) => void parseChatRequest(Buffer.from(bytes))));
  fc.assert(fc.property(fc.json(), (text) => void parseChatRequest(Buffer.from(text))));
});

test('a service path is split into the service id and the forwarded path', () => {
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

test('a route depends on the path, the rules of the service and the repeatable header', () => {
  assert.equal(routeOf(req('GET', '/services/boarding/x'))?.kind, 'repeatable');
  const marked = req('GET', '/services/boarding/x', { 'harrierglade-repeatable': 'no' });
  assert.equal(routeOf(marked)?.kind, 'once');
  assert.equal(routeOf(req('GET', '/services/nowhere/x')), undefined);
  assert.equal(routeOf(req('GET', '/v1/chat/completions')), undefined);
  assert.equal(routeOf(req('GET', '/nowhere')), undefined);
});

test('a chat request is routed by the model and the stream flag in its body', () => {
  const incoming = req('POST', '/v1/chat/completions');
  const body = { model: 'passenger-summary', messages: MESSAGES };
  const stream = api.readContent?.(request(incoming, chat({ ...body, stream: true })));
  assert.equal(stream?.unwrap().route.kind, 'stream');
  assert.equal(api.readContent?.(request(incoming, chat(body)))?.unwrap().route.kind, 'repeatable');
  const other = api.readContent?.(request(incoming, chat({ ...body, model: 'gpt-0' })));
  assert.ok(other?.err);
  assert.equal(other.val.reason, 'model-unknown');
});

test('caller headers are parsed, and the API key is not forwarded to endpoints', () => {
  const head = readRequestHead(
    { authorization: 'Bearer secret', 'harrierglade-deadline': '900' },
    'r1',
  );
  assert.deepEqual([head.deadlineMs, head.key], [900, keyHash('secret')]);
  assert.match(
    readRequestHead({ 'harrierglade-deadline': 'soon' }, 'r1').invalid ?? '',
    /from 1 to/,
  );
  assert.match(
    readRequestHead({ 'harrierglade-priority': '10' }, 'r1').invalid ?? '',
    /from 0 to 9/,
  );
  const [endpoint] = toPublishedEndpoints(view(), sampleBody());
  assert.ok(endpoint);
  const sent = attemptHeaders(
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
  assert.equal(readResponseHead(503, { 'x-not-run': '1' }).isNotRun, true);
  assert.equal(readResponseHead(503, {}).isNotRun, false);
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

test('the document and the instance list are converted to the types of the gateway', () => {
  assert.equal(config.organisationsByKey?.get(keyHash('secret'))?.id, 'rwandair');
  const endpoints = toPublishedEndpoints(view(), sampleBody());
  assert.deepEqual(
    endpoints.map((e) => [e.id, e.service, e.address]),
    [
      ['kgl-a-model-1', 'passenger-summary', '10.0.0.1:2'],
      ['kgl-a-service-1', 'boarding', '10.0.0.1:3'],
    ],
  );
  assert.equal(view().agentByEndpoint.get('kgl-a-model-1')?.address, '10.0.0.1:1');
});

test('an organisation at its limit of open requests is refused until one of them ends', () => {
  const limits = createLimits(1);
  const gatewayRequest = request(req('GET', '/services/boarding/x'), Buffer.alloc(0));
  const first = limits.admit(gatewayRequest);
  const second = limits.admit(gatewayRequest);
  assert.ok(first.ok && second.err);
  assert.equal(second.val.reason, 'streams-exceeded');
  first.val();
  assert.ok(limits.admit(gatewayRequest).ok);
});

test('a request that cannot meet its deadline is refused at once', () => {
  const gatewayRequest = request(
    req('POST', '/v1/chat/completions'),
    chat({ model: 'passenger-summary', messages: MESSAGES, max_tokens: 4000 }),
  );
  const content = api.readContent?.(gatewayRequest).unwrap();
  const late = createLimits().admit({ ...gatewayRequest, ...content, remainingMs: () => 50 });
  assert.ok(late.err);
  assert.equal(late.val.reason, 'deadline-unreachable');
});

test('the ends of requests are recorded by id, and the oldest are evicted', () => {
  const record = new DecisionRecord();
  const log = record.recordFrom(silentLog);
  log.info('request.end', { request: 'r1', outcome: 'answered' });
  log.info('other', { request: 'r2' });
  assert.equal(record.find('r1')?.['outcome'], 'answered');
  assert.equal(record.find('r2'), undefined);
  for (let i = 0; i < 1200; i += 1) log.info('request.end', { request: `n${i}` });
  assert.equal(record.find('r1'), undefined);
  assert.equal(record.latest(1)[0]?.request, 'n1199');
});
