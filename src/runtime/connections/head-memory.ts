/**
 * Counts the memory of fields: of heads that have arrived whole, which a request keeps until its response is closed,
 * and of trailers. Short heads are part of the state of a request, for which a process has memory anyway.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { PendingMemory } from '../../core/buffering/index.js';
import { MEMORY_PER_FIELD, SHORT_HEAD_BYTES } from './consts.js';

/**
 * Memory that the fields of a request take, bytes.
 * @example headMemory(req.rawHeaders);
 */
export function headMemory(rawHeaders: readonly string[]): number {
  let bytes = (rawHeaders.length / 2) * MEMORY_PER_FIELD;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

/**
 * Counts the head of a request until its response is closed. If there is no memory for it, its fields are removed and
 * the result is false: the request has to be refused.
 * @example if (!keepHead(limits.memory.pending, req, res)) return refuse(res);
 */
export function keepHead(
  pending: PendingMemory,
  req: IncomingMessage,
  res: ServerResponse,
): boolean {
  const bytes = headMemory(req.rawHeaders) - SHORT_HEAD_BYTES;
  if (bytes <= 0) return true;
  const account = pending.open(() => undefined);
  if (!pending.set(account, bytes)) {
    // The response may wait behind others, and refers to its request until it is sent.
    req.rawHeaders = [];
    req.headers = {};
    return false;
  }
  pending.settle(account);
  res.once('close', () => pending.close(account));
  return true;
}

/**
 * Memory of the trailers that have arrived on a connection within a body, bytes.
 * @example trailerMemory(req.socket);
 */
export function trailerMemory(socket: Socket): number {
  // The parser keeps fields until they are complete, and does not expose them in its types.
  const { parser } = socket as { readonly parser?: { readonly _headers?: readonly string[] } };
  return ((parser?._headers?.length ?? 0) / 2) * MEMORY_PER_FIELD;
}

/**
 * Frees the trailers of a request, which nobody reads.
 * @example if (req.complete) dropTrailers(req);
 */
export function dropTrailers(req: IncomingMessage): void {
  if (req.rawTrailers.length > 0) req.rawTrailers = [];
}
