/** Reads and writes the headers of the product's own interface. */
import type { IncomingHttpHeaders } from 'node:http';
import { parseSignals } from '../core/backpressure/index.js';
import { keyHash } from '../core/config-feed/index.js';
import type { ResponseHead, AttemptMeta, RequestHead } from '../gateway/index.js';
import { CALLER_HEADER, ENDPOINT_HEADER, MAX_DEADLINE_MS, PRIORITY } from './consts.js';

const BEARER = /^bearer +(\S+)$/i;

/** A header that must be a number within a range, when it is there. */
interface NumberHeader {
  readonly value?: number;
  /** What is wrong with it. */
  readonly fault?: string;
}

function numberHeader(
  headers: IncomingHttpHeaders,
  name: string,
  least: number,
  most: number,
): NumberHeader {
  const text = headers[name];
  if (text === undefined) return {};
  const value = Number(text);
  if (text !== '' && value >= least && value <= most) return { value };
  return { fault: `Header ${name} is not a number from ${least} to ${most}.` };
}

/**
 * Reads a caller's headers; the request gets an id of ours.
 * @example readCaller(req.headers, 'kgl-a-entry-1/mip3/r7').deadlineMs
 */
export function readCaller(headers: IncomingHttpHeaders, requestId: string): RequestHead {
  const deadline = numberHeader(headers, CALLER_HEADER.deadline, 1, MAX_DEADLINE_MS);
  const priority = numberHeader(headers, CALLER_HEADER.priority, PRIORITY.least, PRIORITY.most);
  const key = BEARER.exec(headers.authorization ?? '')?.[1];
  const invalid = deadline.fault ?? priority.fault;
  return {
    requestId,
    host: '',
    deadlineMs: deadline.value,
    // Only hashes of keys are published.
    key: key === undefined ? undefined : keyHash(key),
    resumeAfter: undefined,
    ...(invalid !== undefined && { invalid }),
  };
}

/**
 * The headers of one attempt: what the endpoint needs to know, and nothing of the connection.
 * @example writeAttempt(req.headers, meta)['x-organisation']
 */
export function writeAttempt(
  headers: IncomingHttpHeaders,
  meta: AttemptMeta,
): Record<string, string> {
  const type = headers['content-type'];
  const priority = headers[CALLER_HEADER.priority];
  return {
    [ENDPOINT_HEADER.requestId]: meta.requestId,
    [ENDPOINT_HEADER.organisation]: meta.organisation ?? '',
    [ENDPOINT_HEADER.priority]: String(priority ?? PRIORITY.usual),
    ...(type !== undefined && { 'content-type': type }),
    ...(meta.resumeAfter !== undefined && {
      [ENDPOINT_HEADER.resumeAfter]: String(meta.resumeAfter),
    }),
  };
}

/**
 * What an endpoint's answer says; own endpoints do not sign.
 * @example readAnswer(200, res.headers).requestId
 */
export function readAnswer(status: number, headers: IncomingHttpHeaders): ResponseHead {
  const textOf = (name: string): string | undefined => headers[name]?.toString();
  const id = headers[ENDPOINT_HEADER.requestId];
  const type = headers['content-type'] ?? 'application/octet-stream';
  return {
    status,
    requestId: typeof id === 'string' ? id : undefined,
    isSigned: true,
    isNotRun: headers[ENDPOINT_HEADER.notRun] !== undefined,
    isEncoded: headers['content-encoding'] !== undefined,
    asks: parseSignals(status, {
      rest: textOf(ENDPOINT_HEADER.rest),
      leaving: textOf(ENDPOINT_HEADER.leaving),
      limit: textOf(ENDPOINT_HEADER.limit),
    }),
    headers: {
      'content-type': type,
      ...(type.startsWith('text/event-stream') && { 'cache-control': 'no-cache' }),
    },
  };
}
