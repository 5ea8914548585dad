/** A caller as real ones are: asks an entry, and asks again elsewhere when it got no clear word. */
import { request, type Dispatcher } from 'undici';
import { EventSplitter } from '../../src/gateway/event-splitter.js';
import { MODEL, SERVICE, testKey } from './cluster-spec.js';

/** What one ask came to. */
export type AskOutcome = 'answered' | 'not-run' | 'unknown' | 'broken';

/** One ask of one request at one entry. */
export interface Ask {
  readonly kind: 'chat' | 'chat-whole' | 'once' | 'many';
  /** Names the request in prompts and bodies; each ask of a model has its own. */
  readonly nonce: string;
  readonly organisation: string;
  readonly port: number;
  readonly startMs: number;
  endMs: number;
  outcome: AskOutcome;
  reason: string;
  /** Whether the answer held all of its own parts. */
  whole: boolean;
  /** Whether the answer held anything of another request. */
  crossed: boolean;
}

/** What to ask. */
export interface AskOptions {
  readonly tokens?: number;
  readonly deadlineMs?: number;
  readonly prompt?: string;
  readonly dispatcher?: Dispatcher;
}

const TIMEOUT_MS = 20_000;

function judgeText(ask: Ask, text: string, tokens: number): void {
  const parts = text.split(' ').filter((p) => p !== '');
  ask.crossed = parts.some((p) => !p.startsWith(`${ask.nonce}:`));
  ask.whole = parts.length === tokens && parts.every((p, i) => p === `${ask.nonce}:${i}`);
}

async function readProblem(ask: Ask, res: Dispatcher.ResponseData): Promise<void> {
  const problem = (await res.body.json()) as { outcome?: string; reason?: string };
  ask.outcome = problem.outcome === 'not-run' ? 'not-run' : 'unknown';
  ask.reason = problem.reason ?? String(res.statusCode);
}

/** Data of the last event of a whole stream. */
const END_MARK = '[DONE]';

async function readStream(ask: Ask, res: Dispatcher.ResponseData, tokens: number): Promise<void> {
  const splitter = new EventSplitter();
  let text = '';
  ask.outcome = 'broken';
  for await (const piece of res.body as AsyncIterable<Buffer>) {
    for (const { bytes } of splitter.push(piece)) {
      const data = /^data: (.*)$/m.exec(bytes.toString())?.[1] ?? '';
      if (data === END_MARK) ask.outcome = 'answered';
      else text += deltaOf(data);
    }
  }
  if (ask.outcome === 'answered') judgeText(ask, text, tokens);
}

function deltaOf(data: string): string {
  const chunk = JSON.parse(data) as { choices: { delta: { content: string } }[] };
  return chunk.choices[0]?.delta.content ?? '';
}

async function askChat(ask: Ask, stream: boolean, options: AskOptions): Promise<void> {
  const tokens = options.tokens ?? 16;
  const content = `${options.prompt ?? 'Passenger summary.'} nonce=${ask.nonce}`;
  const res = await request(`http://127.0.0.1:${ask.port}/v1/chat/completions`, {
    method: 'POST',
    headers: headersOf(ask, options),
    body: JSON.stringify({
      model: MODEL,
      stream,
      max_tokens: tokens,
      messages: [{ role: 'user', content }],
    }),
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
    dispatcher: options.dispatcher,
  });
  if (res.statusCode !== 200) return readProblem(ask, res);
  if (stream) return readStream(ask, res, tokens);
  const data = (await res.body.json()) as { choices: { message: { content: string } }[] };
  ask.outcome = 'answered';
  judgeText(ask, data.choices[0]?.message.content ?? '', tokens);
}

async function askService(ask: Ask, options: AskOptions): Promise<void> {
  const once = ask.kind === 'once';
  const path = once
    ? `/services/${SERVICE}/bags`
    : `/services/${SERVICE}/passes?nonce=${ask.nonce}`;
  const res = await request(`http://127.0.0.1:${ask.port}${path}`, {
    method: once ? 'POST' : 'GET',
    headers: headersOf(ask, options),
    ...(once ? { body: JSON.stringify({ nonce: ask.nonce }) } : {}),
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
    dispatcher: options.dispatcher,
  });
  if (res.statusCode !== 200) return readProblem(ask, res);
  const data = (await res.body.json()) as { nonce: string };
  ask.outcome = 'answered';
  ask.crossed = data.nonce !== ask.nonce;
  ask.whole = !ask.crossed;
}

function headersOf(ask: Ask, options: AskOptions): Record<string, string> {
  return {
    authorization: `Bearer ${testKey(ask.organisation)}`,
    'content-type': 'application/json',
    ...(options.deadlineMs ? { 'harrierglade-deadline': String(options.deadlineMs) } : {}),
  };
}

/** Asks once and notes what came of it; never throws. */
export async function askOnce(
  base: Pick<Ask, 'kind' | 'nonce' | 'organisation' | 'port'>,
  options: AskOptions = {},
): Promise<Ask> {
  const ask: Ask = {
    ...base,
    startMs: Date.now(),
    endMs: 0,
    outcome: 'broken',
    reason: '',
    whole: false,
    crossed: false,
  };
  try {
    if (ask.kind === 'chat' || ask.kind === 'chat-whole')
      await askChat(ask, ask.kind === 'chat', options);
    else await askService(ask, options);
  } catch (err) {
    ask.outcome = 'broken';
    ask.reason = String((err as NodeJS.ErrnoException).code ?? err);
  }
  ask.endMs = Date.now();
  return ask;
}
