/** One attempt at an endpoint: sends the request and reads the head of the answer. */
import type { Dispatcher } from 'undici';
import { errorText } from '../core/errors/index.js';
import { Err, Ok, type Result } from '../core/result/index.js';
import { wasNotSent, withStart } from './connect.js';
import { SILENT_CONNECTION_MS } from './consts.js';
import type { EndpointState } from './endpoints.js';
import type { AnswerHead, AttemptFault, GatewayRequest, CallerInterface } from './types.js';

/** An answer whose head has been read and checked; its body has yet to come. */
export interface Answer {
  readonly head: AnswerHead;
  readonly body: Dispatcher.ResponseData['body'];
  /** Closes the connection: nothing that still comes on it may be taken for another answer. */
  readonly drop: () => void;
  /** The same after a silence; the other connections that were open by then may be as dead. */
  readonly dropSilent: (silentMs: number) => void;
}

/** What an attempt needs to know. */
export interface AttemptOptions {
  readonly callers: CallerInterface;
  readonly request: GatewayRequest;
  readonly target: EndpointState;
  /** Time that is left, ms. */
  readonly leftMs: number;
  readonly resumeAfter: number | undefined;
  /** Time for the head of the answer, ms. */
  readonly silenceMs: number;
  /** Called with each head that comes, before it is checked. */
  readonly onHead: (head: AnswerHead) => void;
}

function fault(kind: AttemptFault['kind'], detail: string): Result<never, AttemptFault> {
  return Err({ kind, detail });
}

/** What the head of an answer proves, before any byte of its body is used. */
function checkHead(
  head: AnswerHead,
  request: GatewayRequest,
  drop: () => void,
): AttemptFault | undefined {
  const { restMs } = head.asks;
  if (head.isNotRun && restMs !== undefined)
    return { kind: 'resting', detail: `endpoint answered ${head.status}, rest of ${restMs} ms` };
  if (head.isNotRun) return { kind: 'not-run', detail: `endpoint answered ${head.status}` };
  if (head.requestId !== undefined && head.requestId !== request.id) {
    drop();
    return { kind: 'broke', detail: 'the answer belongs to another request' };
  }
  const good = head.status >= 200 && head.status < 300;
  if (good && (!head.isSigned || head.isEncoded || head.requestId === undefined)) {
    drop();
    return { kind: 'broke', detail: 'the answer is not signed, not identified, or encoded' };
  }
  return undefined;
}

function pathOf(callers: CallerInterface, request: GatewayRequest): string {
  const url = request.req.url ?? '/';
  return callers.pathAt?.(url) ?? url;
}

/**
 * Sends one attempt. An error tells whether the request may have run.
 * @example const sent = await sendAttempt(options); if (sent.ok) await relay(sent.val);
 */
export async function sendAttempt(options: AttemptOptions): Promise<Result<Answer, AttemptFault>> {
  const { callers, request, target } = options;
  const ending = new AbortController();
  const drop = (): void => ending.abort();
  const onGone = (): void => ending.abort();
  request.gone.addEventListener('abort', onGone, { once: true });
  const pool = target.connections.current;
  const dropSilent = (silentMs: number): void => {
    drop();
    if (silentMs >= SILENT_CONNECTION_MS) target.connections.giveUp(pool);
  };
  let silent = false;
  const timer = setTimeout(() => {
    silent = true;
    dropSilent(options.silenceMs);
  }, options.silenceMs);
  let isHeldBack = false;
  const holdBack = (): void => {
    isHeldBack = true;
    drop();
  };
  target.waiting.add(holdBack);
  try {
    const res = await withStart(pool, () => target.waiting.delete(holdBack)).request({
      method: request.req.method as Dispatcher.HttpMethod,
      path: pathOf(callers, request),
      headers: callers.writeAttempt(request.req.headers, {
        requestId: request.id,
        endpoint: target.endpoint,
        organisation: request.organisation?.id,
        deadlineMs: Math.max(1, Math.floor(options.leftMs)),
        resumeAfter: options.resumeAfter,
      }),
      body: request.body.length > 0 ? request.body : null,
      signal: ending.signal,
    });
    // A body that breaks off while nobody reads it must not end the process.
    res.body.on('error', () => undefined);
    const head = callers.readAnswer(res.statusCode, res.headers);
    options.onHead(head);
    const wrong = checkHead(head, request, drop);
    if (!wrong) return Ok({ head, body: res.body, drop, dropSilent });
    await res.body.dump().catch(() => drop());
    return Err(wrong);
  } catch (err) {
    if (silent) return fault('silent', `no answer within ${Math.round(options.silenceMs)} ms`);
    if (isHeldBack) return fault('resting', 'the endpoint asked for rest before it was sent');
    return fault(wasNotSent(err) ? 'not-run' : 'broke', errorText(err));
  } finally {
    target.waiting.delete(holdBack);
    clearTimeout(timer);
  }
}
