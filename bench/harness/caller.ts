/** HTTP client that sends requests to an entry and verifies the response body. */
import { request, type Dispatcher } from 'undici';
import { EventSplitter } from '../../src/gateway/requests/event-splitter.js';
import { MODEL, SERVICE, testKey } from './cluster-spec.js';

/** Outcome of a request: `unknown` if it may have run, `broken` if the response is incomplete. */
export type RequestOutcome = 'answered' | 'not-run' | 'unknown' | 'broken';

/** One request to an entry, and its result. */
export interface RequestResult {
  readonly kind: 'chat' | 'chat-whole' | 'once' | 'many';
  /** Marker in the prompt or body that the response repeats; each model request has its own. */
  readonly nonce: string;
  readonly organisation: string;
  readonly port: number;
  readonly startMs: number;
  endMs: number;
  outcome: RequestOutcome;
  reason: string;
  /** Whether the response contained everything that was requested. */
  isComplete: boolean;
  /** Whether the response contained content of another request. */
  hasForeignContent: boolean;
}

/** Optional settings of a request. */
export interface RequestOptions {
  readonly tokens?: number;
  readonly deadlineMs?: number;
  readonly prompt?: string;
  readonly dispatcher?: Dispatcher;
}

const RESPONSE_TIMEOUT_MS = 20_000;

function verifyTokens(result: RequestResult, text: string, tokens: number): void {
  const received = text.split(' ').filter((p) => p !== '');
  result.hasForeignContent = received.some((p) => !p.startsWith(`${result.nonce}:`));
  result.isComplete =
    received.length === tokens && received.every((p, i) => p === `${result.nonce}:${i}`);
}

async function readProblem(result: RequestResult, res: Dispatcher.ResponseData): Promise<void> {
  const problem = (await res.body.json()) as { outcome?: string; reason?: string };
  result.outcome = problem.outcome === 'not-run' ? 'not-run' : 'unknown';
  result.reason = problem.reason ?? String(res.statusCode);
}

/** Data of the event that ends a complete stream. */
const DONE_MARKER = '[DONE]';

async function readStream(
  result: RequestResult,
  res: Dispatcher.ResponseData,
  tokens: number,
): Promise<void> {
  const splitter = new EventSplitter();
  let text = '';
  result.outcome = 'broken';
  for await (const chunk of res.body as AsyncIterable<Buffer>) {
    for (const { bytes } of splitter.push(chunk)) {
      const data = /^data: (.*)$/m.exec(bytes.toString())?.[1] ?? '';
      if (data === DONE_MARKER) result.outcome = 'answered';
      else text += tokenText(data);
    }
  }
  if (result.outcome === 'answered') verifyTokens(result, text, tokens);
}

function tokenText(data: string): string {
  const chunk = JSON.parse(data) as { choices: { delta: { content: string } }[] };
  return chunk.choices[0]?.delta.content ?? '';
}

async function requestChat(
  result: RequestResult,
  stream: boolean,
  options: RequestOptions,
): Promise<void> {
  const tokens = options.tokens ?? 16;
  const content = `${options.prompt ?? 'Passenger summary.'} nonce=${result.nonce}`;
  const res = await request(`http://127.0.0.1:${result.port}/v1/chat/completions`, {
    method: 'POST',
    headers: requestHeaders(result, options),
    body: JSON.stringify({
      model: MODEL,
      stream,
      max_tokens: tokens,
      messages: [{ role: 'user', content }],
    }),
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
    dispatcher: options.dispatcher,
  });
  if (res.statusCode !== 200) return readProblem(result, res);
  if (stream) return readStream(result, res, tokens);
  const data = (await res.body.json()) as { choices: { message: { content: string } }[] };
  result.outcome = 'answered';
  verifyTokens(result, data.choices[0]?.message.content ?? '', tokens);
}

async function requestService(result: RequestResult, options: RequestOptions): Promise<void> {
  const isPost = result.kind === 'once';
  const path = isPost
    ? `/services/${SERVICE}/bags`
    : `/services/${SERVICE}/passes?nonce=${result.nonce}`;
  const res = await request(`http://127.0.0.1:${result.port}${path}`, {
    method: isPost ? 'POST' : 'GET',
    headers: requestHeaders(result, options),
    ...(isPost ? { body: JSON.stringify({ nonce: result.nonce }) } : {}),
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
    dispatcher: options.dispatcher,
  });
  if (res.statusCode !== 200) return readProblem(result, res);
  const data = (await res.body.json()) as { nonce: string };
  result.outcome = 'answered';
  result.hasForeignContent = data.nonce !== result.nonce;
  result.isComplete = !result.hasForeignContent;
}

function requestHeaders(result: RequestResult, options: RequestOptions): Record<string, string> {
  return {
    authorization: `Bearer ${testKey(result.organisation)}`,
    'content-type': 'application/json',
    ...(options.deadlineMs ? { 'harrierglade-deadline': String(options.deadlineMs) } : {}),
  };
}

/** Sends one request and records its result; never throws. */
export async function sendRequest(
  target: Pick<RequestResult, 'kind' | 'nonce' | 'organisation' | 'port'>,
  options: RequestOptions = {},
): Promise<RequestResult> {
  const result: RequestResult = {
    ...target,
    startMs: Date.now(),
    endMs: 0,
    outcome: 'broken',
    reason: '',
    isComplete: false,
    hasForeignContent: false,
  };
  try {
    if (result.kind === 'chat' || result.kind === 'chat-whole')
      await requestChat(result, result.kind === 'chat', options);
    else await requestService(result, options);
  } catch (err) {
    result.outcome = 'broken';
    result.reason = String((err as NodeJS.ErrnoException).code ?? err);
  }
  result.endMs = Date.now();
  return result;
}
