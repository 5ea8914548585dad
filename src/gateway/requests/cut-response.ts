/** Ends a response before it is complete. */
import type { ServerResponse } from 'node:http';

/** The parts of a response that are needed to cut it. */
export type CuttableResponse = Pick<
  ServerResponse,
  'headersSent' | 'chunkedEncoding' | 'hasHeader' | 'socket' | 'destroy'
>;

/**
 * Closes the connection inside a response, so that it cannot look complete.
 * @example cutResponse(res);
 */
export function cutResponse(res: CuttableResponse): void {
  // To an HTTP/1.0 caller, a response without a length is complete when its connection closes.
  const endsWithConnection = !res.chunkedEncoding && !res.hasHeader('content-length');
  if (res.headersSent && endsWithConnection) res.socket?.resetAndDestroy();
  res.destroy();
}
