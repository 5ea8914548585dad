/**
 * Random wires: what up to four requests and the endpoints of one entry do to each other. Each connection of an
 * endpoint follows a script of its own, and the endpoint keeps the account of what it received and ran.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import fc from 'fast-check';
import type { RawEndpoint, RawRequest } from '../../../fakes/raw-endpoint/index.js';
import { asId } from '../../../src/core/ids/index.js';
import type { PublishedConfig, Route, ServiceId } from '../../../src/core/published/index.js';
import { ASSUMED_CONNECTION_PEERS } from '../../../src/gateway/consts.js';
import { config, route, SERVICE, withRawEndpoints, type TestResponse } from '../harness.js';

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** None if the caller left, 408 for a body that came too slowly; other ones below 500 are of endpoints, and not for callers. */
const EXPECTED_STATUSES = new Set([0, 200, 408, 500, 502, 503, 504]);
/** Time for which requests may still arrive after all callers have their responses, ms. */
const SETTLE_MS = 40;
const ROUTE_TIMEOUT_MS = 400;
const MAX_BODY_BYTES = 400_000;
/** An id that no caller sends. */
const UNKNOWN_ID = 'unknown';

/** Ids of the requests of all wires. */
const OWN_ID = /^q\d+-\d$/;

/** What an endpoint says about a request. */
interface Statement {
  readonly status: string;
  readonly isNotRun: boolean;
}

const STATEMENTS = {
  ok: { status: '200 OK', isNotRun: false },
  failed: { status: '500 Failed', isNotRun: false },
  unproved: { status: '503 Failed', isNotRun: false },
  full: { status: '503 Full', isNotRun: true },
  limited: { status: '429 Too Many', isNotRun: true },
  misdirected: { status: '421 Misdirected', isNotRun: true },
  bad: { status: '400 Bad', isNotRun: true },
} satisfies Record<string, Statement>;

/** Whose id a response carries: of the request in flight, none, one of this connection before, or one that is to come. */
type Subject = 'own' | 'none' | 'earlier' | 'later';

/** A response of an endpoint. */
export interface Answer {
  readonly act: 'answer';
  readonly says: keyof typeof STATEMENTS;
  readonly of: Subject;
  readonly framing: 'length' | 'chunked' | 'closing';
  /** Where it breaks off; nothing follows on the connection. */
  readonly cut?: 'head' | 'body';
  /** Whether it requests a backoff, which cancels the requests that wait for a connection. */
  readonly rests?: boolean;
}

/** One thing that an endpoint does to a connection. */
export type Act =
  | Answer
  | { readonly act: 'interim' }
  | { readonly act: 'garble'; readonly text: string }
  | { readonly act: 'wait'; readonly ms: number }
  | { readonly act: 'close' }
  | { readonly act: 'reset' }
  /** Refuses further connections. */
  | { readonly act: 'refuse' }
  /** The connection fails at the entry with an error of this code. */
  | { readonly act: 'fail'; readonly code: string };

/** What an endpoint does with one request. */
export interface Step {
  readonly acts: readonly Act[];
  /** Whether it begins before the body is in. */
  readonly early?: boolean;
}

/** What an endpoint does on one connection; requests after the steps are served. */
export interface Script {
  readonly greeting: readonly Act[];
  readonly steps: readonly Step[];
}

/** One request of a caller. */
export interface Call {
  readonly afterMs: number;
  readonly deadlineMs: number;
  readonly bodyBytes: number;
  readonly leaveMs?: number;
}

/** One case. */
export interface Wire {
  readonly kind: Extract<Route['kind'], 'once' | 'repeatable'>;
  readonly maxAttempts: number;
  readonly endpoints: number;
  readonly connections: number;
  readonly calls: readonly Call[];
  /** By the order in which connections are accepted, from the start again after the last. */
  readonly scripts: readonly Script[];
}

const answers: fc.Arbitrary<Act> = fc.record(
  {
    act: fc.constant('answer' as const),
    says: fc.constantFrom(...(Object.keys(STATEMENTS) as (keyof typeof STATEMENTS)[])),
    of: fc.constantFrom<Subject>('own', 'own', 'own', 'none', 'earlier', 'later'),
    framing: fc.constantFrom('length' as const, 'length' as const, 'chunked', 'closing'),
    cut: fc.option(fc.constantFrom('head' as const, 'body'), { freq: 5, nil: undefined }),
    rests: fc.option(fc.constant(true), { freq: 5, nil: undefined }),
  },
  { requiredKeys: ['act', 'says', 'of', 'framing'] },
);

const acts: fc.Arbitrary<Act> = fc.oneof(
  { arbitrary: answers, weight: 10 },
  { arbitrary: fc.constant({ act: 'interim' as const }), weight: 1 },
  {
    arbitrary: fc.record({
      act: fc.constant('garble' as const),
      text: fc.constantFrom('no response\r\n\r\n', '\r\n\r\n', '0\r\n\r\n', 'rest'),
    }),
    weight: 1,
  },
  {
    arbitrary: fc.record({
      act: fc.constant('wait' as const),
      ms: fc.constantFrom(1, 5, 20, 60, 300),
    }),
    weight: 3,
  },
  {
    arbitrary: fc.constantFrom<Act>({ act: 'close' }, { act: 'reset' }, { act: 'refuse' }),
    weight: 2,
  },
  {
    arbitrary: fc.record({
      act: fc.constant('fail' as const),
      code: fc.constantFrom('EHOSTUNREACH', 'ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'),
    }),
    weight: 1,
  },
);

const scripts: fc.Arbitrary<Script> = fc.record({
  greeting: fc.oneof(
    { arbitrary: fc.constant([]), weight: 6 },
    { arbitrary: fc.array(acts, { maxLength: 2 }), weight: 1 },
  ),
  steps: fc.array(fc.record({ acts: fc.array(acts, { maxLength: 4 }), early: fc.boolean() }), {
    maxLength: 4,
  }),
});

/** All wires. */
export const wires: fc.Arbitrary<Wire> = fc.record({
  kind: fc.constantFrom('once' as const, 'once' as const, 'repeatable' as const),
  maxAttempts: fc.integer({ min: 1, max: 2 }),
  endpoints: fc.constantFrom(1, 1, 2),
  connections: fc.constantFrom(2, 3),
  calls: fc.array(
    fc.record(
      {
        afterMs: fc.constantFrom(0, 0, 5, 30, 80),
        deadlineMs: fc.constantFrom(120, 200, ROUTE_TIMEOUT_MS),
        bodyBytes: fc.constantFrom(0, 10, 300_000),
        leaveMs: fc.option(fc.constantFrom(5, 30), { freq: 6, nil: undefined }),
      },
      { requiredKeys: ['afterMs', 'deadlineMs', 'bodyBytes'] },
    ),
    { minLength: 1, maxLength: 4 },
  ),
  scripts: fc.array(scripts, { minLength: 1, maxLength: 4 }),
});

/** Sockets of entries in this process, by their local port. */
const entrySockets = new Map<number, Socket>();
subscribe('undici:client:connected', (message) => {
  const { socket } = message as { readonly socket: Socket };
  const { localPort } = socket;
  if (localPort === undefined) return;
  entrySockets.set(localPort, socket);
  socket.once('close', () => entrySockets.delete(localPort));
});

const bodyOf = (id: string): string => `body of ${id}`;
const requestBody = ({ bodyBytes }: Call, index: number): string => String(index).repeat(bodyBytes);
const idOf = ({ headers }: Pick<RawRequest, 'headers'>): string => headers['x-request-id'] ?? '';

/** Resets a connection; Node would leave the handle of one that is being closed open. */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** The text of an answer up to where it breaks off. */
function answerText({ says, framing, cut, rests }: Answer, id: string | undefined): string {
  const { status, isNotRun } = STATEMENTS[says];
  const body = bodyOf(id ?? 'none');
  const head = [
    `HTTP/1.1 ${status}`,
    'X-Server-Stamp: s.1',
    ...(id === undefined ? [] : [`X-Request-Id: ${id}`]),
    ...(isNotRun && says !== 'misdirected' ? ['X-Not-Executed: 1'] : []),
    ...(rests ? ['Retry-After: 0.1'] : []),
    ...(framing === 'closing' ? ['Connection: close'] : []),
    framing === 'chunked' ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`,
  ].join('\r\n');
  if (cut === 'head') return head;
  const framed = framing === 'chunked' ? `${body.length.toString(16)}\r\n${body}\r\n` : body;
  if (cut === 'body') return `${head}\r\n\r\n${framed.slice(0, -4)}`;
  return `${head}\r\n\r\n${framed}${framing === 'chunked' ? '0\r\n\r\n' : ''}`;
}

const misdirected = (id: string): string =>
  answerText({ act: 'answer', says: 'misdirected', of: 'own', framing: 'length' }, id);

/** Whether a step runs its request: an endpoint does not run what it first says it has not run. */
function runsRequest({ acts: done }: Step): boolean {
  const first = done.find((act): act is Answer => act.act === 'answer' && act.of === 'own');
  return first === undefined || !STATEMENTS[first.says].isNotRun;
}

/** A connection as its endpoint sees it. */
interface Connection {
  readonly script: Script;
  /** Index of the endpoint. */
  readonly index: number;
  readonly socket: Socket;
  /** Ids of the requests on it, in order. */
  readonly ids: string[];
  /** The request whose step runs, until it is answered. */
  openId: string | undefined;
  /** Whether the step of the newest request began before its body was in. */
  isEarly: boolean;
  /** Ids of responses sent while no request was open, which the next requests may take for theirs. */
  readonly ahead: (string | undefined)[];
  /** Whether a response to no request took the place of one, so that no further request may come. */
  isFouled: boolean;
  /** Whether an answer was broken off, so that nothing may follow. */
  isMute: boolean;
}

/** The endpoints of one wire, and their account. */
class ScriptedEndpoints {
  private readonly connections = new Map<Socket, Connection>();
  /** Endpoint and id of requests that it said not to have run before they came. */
  private readonly refusedAhead = new Set<string>();
  /** Times that each request reached an endpoint, by id and endpoint. */
  readonly arrivals = new Map<string, number[]>();
  readonly runs = new Map<string, number>();
  /** Statements of endpoints about requests on their connections, as `ok q7-1`. */
  readonly said = new Set<string>();
  readonly violations: string[] = [];

  constructor(
    private readonly wire: Wire,
    /** Ids of the requests of callers. */
    private readonly ids: readonly string[],
    private readonly raws: readonly RawEndpoint[],
  ) {
    raws.forEach((raw, index) => {
      raw.greet = (socket) => this.accept(socket, index);
      raw.onHead = (req) => this.begin(req, false);
      raw.respond = (req) => this.begin(req, true);
    });
  }

  private accept(socket: Socket, index: number): void {
    const { scripts: all } = this.wire;
    const script = all[this.connections.size % all.length] ?? { greeting: [], steps: [] };
    const connection: Connection = {
      script,
      index,
      socket,
      ids: [],
      openId: undefined,
      isEarly: false,
      ahead: [],
      isFouled: false,
      isMute: false,
    };
    this.connections.set(socket, connection);
    void this.play(connection, script.greeting, undefined);
  }

  private begin(req: RawRequest, isWhole: boolean): void {
    const connection = this.connections.get(req.socket);
    if (!connection) return;
    const id = idOf(req);
    if (this.isOfOtherWire(id)) return void req.socket.write(misdirected(id));
    const isNew = !connection.isEarly;
    if (isNew) this.noteArrival(connection, id);
    const step = connection.script.steps[connection.ids.length - 1] ?? {
      acts: [{ act: 'answer', says: 'ok', of: 'own', framing: 'length' } as const],
    };
    connection.isEarly = !isWhole;
    if (isWhole) this.checkWhole(req);
    if (isWhole && runsRequest(step) && !this.refusedAhead.has(`${connection.index} ${id}`))
      this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    if (isNew ? isWhole || step.early : !step.early) void this.play(connection, step.acts, id);
  }

  /** Whether another wire sent it, whose endpoint refused connections and had this port before. */
  private isOfOtherWire(id: string): boolean {
    return OWN_ID.test(id) && !this.ids.includes(id);
  }

  private noteArrival(connection: Connection, id: string): void {
    if (connection.isFouled)
      this.violations.push(`${id} was sent on a connection that carried a foreign response`);
    connection.ids.push(id);
    const hasAhead = connection.ahead.length > 0;
    const isAnswered = hasAhead && connection.ahead.shift() === id;
    connection.openId = isAnswered ? undefined : id;
    connection.isFouled ||= hasAhead && !isAnswered;
    const counts = this.arrivals.get(id) ?? this.raws.map(() => 0);
    counts[connection.index] = (counts[connection.index] ?? 0) + 1;
    this.arrivals.set(id, counts);
  }

  private checkWhole(req: RawRequest): void {
    const id = idOf(req);
    const index = this.ids.indexOf(id);
    const call = this.wire.calls[index];
    const isOwn =
      call !== undefined &&
      req.line === `POST /x/${index} HTTP/1.1` &&
      req.body === requestBody(call, index);
    if (!isOwn) this.violations.push(`nobody sent ${id} as ${req.line} (${req.body.length} bytes)`);
  }

  private idFor(of: Subject, { ids, openId }: Connection, ownId: string | undefined) {
    if (of === 'none') return undefined;
    if (of === 'own') return ownId ?? UNKNOWN_ID;
    if (of === 'earlier') return ids.findLast((id) => id !== openId) ?? UNKNOWN_ID;
    return this.ids.find((id) => !this.arrivals.has(id)) ?? UNKNOWN_ID;
  }

  /** Notes a response with this id, or bytes that are none, to no request that is open. */
  private noteForeign(connection: Connection, id: string | undefined): void {
    if (connection.openId === undefined) connection.ahead.push(id);
    else connection.isFouled = true;
  }

  private answer(connection: Connection, act: Answer, ownId: string | undefined): void {
    const id = this.idFor(act.of, connection, ownId);
    const isOpen = connection.openId !== undefined && id === connection.openId;
    if (isOpen) {
      this.said.add(`${act.says} ${id}`);
      connection.openId = undefined;
    } else this.noteForeign(connection, id);
    if (act.of === 'later' && id !== undefined && STATEMENTS[act.says].isNotRun)
      this.refusedAhead.add(`${connection.index} ${id}`);
    if (act.of === 'later' && id !== undefined) this.said.add(`${act.says} ${id}`);
    connection.isMute = act.cut !== undefined;
    connection.socket.write(answerText(act, id));
  }

  private async play(
    connection: Connection,
    script: readonly Act[],
    ownId: string | undefined,
  ): Promise<void> {
    const { socket } = connection;
    for (const act of script) {
      if (act.act === 'wait') await wait(act.ms);
      if (socket.destroyed) return;
      if (act.act === 'refuse') this.raws[connection.index]?.refuse();
      if (act.act === 'reset') reset(socket);
      if (act.act === 'close') socket.end();
      if (act.act === 'fail')
        entrySockets
          .get(socket.remotePort ?? 0)
          ?.destroy(Object.assign(new Error('failed'), { code: act.code }));
      if (connection.isMute || !socket.writable) continue;
      if (act.act === 'answer') this.answer(connection, act, ownId);
      if (act.act === 'interim') socket.write('HTTP/1.1 102 Processing\r\n\r\n');
      if (act.act === 'garble') {
        if (act.text.trim() !== '') this.noteForeign(connection, undefined);
        socket.write(act.text);
      }
    }
  }
}

/** What is wrong with what a caller received, given the account of the endpoints. */
function checkResponse(
  { kind, maxAttempts }: Wire,
  account: ScriptedEndpoints,
  id: string,
  leaves: boolean,
  { status, body, complete }: TestResponse,
): string[] {
  const runs = account.runs.get(id) ?? 0;
  const arrivals = account.arrivals.get(id) ?? [];
  const wrong: string[] = [];
  if (NOT_RUN_STATUSES.has(status) && runs > 0) wrong.push(`${id} got ${status} and ran`);
  if (kind === 'once' && runs > 1) wrong.push(`${id} ran ${runs} times`);
  if (arrivals.some((count) => count > 1)) wrong.push(`${id} was sent twice to one endpoint`);
  if (arrivals.filter((count) => count > 0).length > maxAttempts)
    wrong.push(`${id} was sent to ${arrivals.length} endpoints`);
  if (status === 200 && complete && body !== bodyOf(id)) wrong.push(`${id} got "${body}"`);
  if (status === 200 && !account.said.has(`ok ${id}`)) wrong.push(`${id} got 200 from nobody`);
  if (status === 500 && !account.said.has(`failed ${id}`)) wrong.push(`${id} got 500 from nobody`);
  if (!EXPECTED_STATUSES.has(status)) wrong.push(`${id} got ${status}`);
  if (!leaves && (status === 0 || !complete)) wrong.push(`${id} got no whole response`);
  return wrong;
}

/** Configuration of the entry of a wire. */
function configOf({ kind, maxAttempts, connections }: Wire): PublishedConfig {
  const service = asId<ServiceId>(SERVICE);
  const maxConnections = connections * ASSUMED_CONNECTION_PEERS;
  return config([route({ kind, maxAttempts, timeoutMs: ROUTE_TIMEOUT_MS, targetMs: 60 })], {
    services: new Map([[service, { id: service, maxConnections, engine: undefined }]]),
    limits: { headerBytes: 16_384, bodyBytes: MAX_BODY_BYTES, headerMs: 3000, idleMs: 15_000 },
  });
}

/** Number of wires played by this process: no id occurs in two of them. */
let played = 0;

/**
 * Plays a wire; throws if a caller was told what is not so.
 * @example await playWire(wire);
 */
export async function playWire(wire: Wire): Promise<void> {
  const name = `q${played}`;
  played += 1;
  const ids = wire.calls.map((_, i) => `${name}-${i}`);
  const responders = Array.from({ length: wire.endpoints }, () => () => undefined);
  const wrong = await withRawEndpoints(responders, configOf(wire), async ({ entry, raws }) => {
    const account = new ScriptedEndpoints(wire, ids, raws);
    const sent = wire.calls.map(async (call, i) => {
      if (call.afterMs > 0) await wait(call.afterMs);
      return entry.send(ids[i] ?? '', {
        path: `/x/${i}`,
        body: requestBody(call, i),
        headers: { 'x-deadline-ms': String(call.deadlineMs) },
        disconnectAfterMs: call.leaveMs,
      });
    });
    const responses = await Promise.all(sent);
    await wait(SETTLE_MS);
    const wrongAt = (response: TestResponse, i: number): string[] =>
      checkResponse(wire, account, ids[i] ?? '', wire.calls[i]?.leaveMs !== undefined, response);
    return [...account.violations, ...responses.flatMap(wrongAt)];
  });
  if (wrong.length > 0) throw new Error(wrong.join('; '));
}
