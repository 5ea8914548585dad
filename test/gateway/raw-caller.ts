/** Caller whose requests are raw bytes, so that they can violate HTTP or come before the response to the one before. */
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import type { TestGateway } from './harness.js';

const HEAD_END = '\r\n\r\n';

/** A response that a raw caller read. */
export interface RawResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A connection of a raw caller. */
export interface RawCaller {
  readonly socket: Socket;
  /** Everything that was read so far. */
  readonly text: () => string;
  /** Complete responses read so far; the last one is left out while it lacks bytes. */
  readonly responses: () => RawResponse[];
  /** Whether the connection was closed by the entry, and by a reset. */
  readonly isClosed: () => boolean;
  readonly isReset: () => boolean;
  /** Resolves to the responses once the connection is closed, or after `ms`. */
  readonly untilClosed: (ms: number) => Promise<RawResponse[]>;
}

function parseResponses(text: string): RawResponse[] {
  const responses: RawResponse[] = [];
  let rest = text;
  for (let end = rest.indexOf(HEAD_END); end >= 0; end = rest.indexOf(HEAD_END)) {
    const [line = '', ...lines] = rest.slice(0, end).split('\r\n');
    const headers = Object.fromEntries(
      lines.map((header) => {
        const colon = header.indexOf(':');
        return [header.slice(0, colon).toLowerCase(), header.slice(colon + 1).trim()];
      }),
    );
    const bodyStart = end + HEAD_END.length;
    const length = Number(headers['content-length'] ?? 0);
    if (rest.length < bodyStart + length) break;
    const body = rest.slice(bodyStart, bodyStart + length);
    responses.push({ status: Number(line.split(' ')[1]), headers, body });
    rest = rest.slice(bodyStart + length);
  }
  return responses;
}

/**
 * Opens a connection to an entry.
 * @example const caller = rawCaller(entry); caller.socket.write(rawHead('q-1') + '\r\n');
 */
export function rawCaller({ gateway }: TestGateway): RawCaller {
  const { port } = gateway.server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  let text = '';
  let isReset = false;
  socket.on('data', (bytes) => (text += bytes.toString('latin1')));
  socket.on('error', (err: NodeJS.ErrnoException) => (isReset ||= err.code === 'ECONNRESET'));
  const responses = (): RawResponse[] => parseResponses(text);
  return {
    socket,
    text: () => text,
    responses,
    isClosed: () => socket.closed,
    isReset: () => isReset,
    untilClosed: async (ms) => {
      const untilMs = performance.now() + ms;
      while (!socket.closed && performance.now() < untilMs) await wait(5);
      return responses();
    },
  };
}

/** Head of a request without its last, empty line. */
export function rawHead(id: string, ...headers: string[]): string {
  return [
    'POST /x/1 HTTP/1.1',
    'Host: a.example',
    `X-Request-Id: ${id}`,
    'Authorization: Bearer key-1',
    ...headers,
    '',
  ].join('\r\n');
}

/** A whole request. */
export function rawRequest(id: string, body = '', ...headers: string[]): string {
  return `${rawHead(id, `Content-Length: ${body.length}`, ...headers)}\r\n${body}`;
}
