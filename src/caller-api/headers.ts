/** Reads and writes the headers of the caller API. */
import type { IncomingHttpHeaders } from 'node:http';
import { parseSignals } from '../core/backpressure/index.js';
import { keyHash } from '../core/config-feed/index.js';
import type { ResponseHead, AttemptMeta, RequestHead } from '../gateway/index.js';
import { CALLER_HEADERS, ENDPOINT_HEADERS, MAX_DEADLINE_MS, PRIORITY } from './consts.js';

const BEARER = /^bearer +(\S+)$/i;

/** Result of parsing an optional numeric header; empty if the header is absent. */
interface ParsedNumber {
  readonly value?: number;
  /** Why the header is invalid. */
  readonly error?: string;
}

function parseNumberHeader(
  headers: IncomingHttpHeaders,
  name: string,
  min: number,
  max: number,
): ParsedNumber {
  const text = headers[name];
  if (text === undefined) return {};
  const value = Number(text);
  if (text !== '' && value >= min && value <= max) return { value };
  return { error: `Header ${name} is not a number from ${min} to ${max}.` };
}

/**
 * Reads the headers of a caller's request, which gets the request id passed in.
 * @example readRequestHead(req.headers, 'kgl-a-entry-1/mip3/r7').deadlineMs
 */
export function readRequestHead(headers: IncomingHttpHeaders, requestId: string): RequestHead {
  const deadline = parseNumberHeader(headers, CALLER_HEADERS.deadline, 1, MAX_DEADLINE_MS);
  const priority = parseNumberHeader(headers, CALLER_HEADERS.priority, PRIORITY.min, PRIORITY.max);
  const key = BEARER.exec(headers.authorization ?? '')?.[1];
  const invalid = deadline.error ?? priority.error;
  return {
    requestId,
    host: '',
    deadlineMs: deadline.value,
    // The published configuration holds only hashes of keys.
    key: key === undefined ? undefined : keyHash(key),
    resumeAfter: undefined,
    ...(invalid !== undefined && { invalid }),
  };
}

/**
 * Headers of one attempt: only what the endpoint needs; the caller's other headers are not forwarded.
 * @example attemptHeaders(req.headers, meta)['x-organisation']
 */
export function attemptHeaders(
  headers: IncomingHttpHeaders,
  meta: AttemptMeta,
): Record<string, string> {
  const type = headers['content-type'];
  const priority = headers[CALLER_HEADERS.priority];
  return {
    [ENDPOINT_HEADERS.requestId]: meta.requestId,
    [ENDPOINT_HEADERS.organisation]: meta.organisation ?? '',
    [ENDPOINT_HEADERS.priority]: String(priority ?? PRIORITY.default),
    ...(type !== undefined && { 'content-type': type }),
    ...(meta.resumeAfter !== undefined && {
      [ENDPOINT_HEADERS.resumeAfter]: String(meta.resumeAfter),
    }),
  };
}

/**
 * Reads the head of an endpoint's response; endpoints behind this API need no signature.
 * @example readResponseHead(200, res.headers).requestId
 */
export function readResponseHead(status: number, headers: IncomingHttpHeaders): ResponseHead {
  const headerText = (name: string): string | undefined => headers[name]?.toString();
  const id = headers[ENDPOINT_HEADERS.requestId];
  const type = headers['content-type'] ?? 'application/octet-stream';
  return {
    status,
    requestId: typeof id === 'string' ? id : undefined,
    isSigned: true,
    isNotRun: headers[ENDPOINT_HEADERS.notRun] !== undefined,
    isEncoded: headers['content-encoding'] !== undefined,
    asks: parseSignals(status, {
      rest: headerText(ENDPOINT_HEADERS.rest),
      leaving: headerText(ENDPOINT_HEADERS.leaving),
      limit: headerText(ENDPOINT_HEADERS.limit),
    }),
    headers: {
      'content-type': type,
      ...(type.startsWith('text/event-stream') && { 'cache-control': 'no-cache' }),
    },
  };
}
