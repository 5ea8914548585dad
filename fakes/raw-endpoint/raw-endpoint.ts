/** Stand-in of an endpoint whose answers are written byte by byte, so that it can break every rule. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** One request as it came. */
export interface RawRequest {
  readonly line: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly socket: Socket;
}

/** Answers a request by writing to its socket. */
export type RawAnswer = (req: RawRequest) => void;

/** A running stand-in. */
export interface RawEndpoint {
  readonly address: string;
  /** Requests that came, in order. */
  readonly requests: RawRequest[];
  /** Connections that were opened. */
  connections: number;
  answer: RawAnswer;
  close(): void;
}

const HEAD_END = '\r\n\r\n';

function parseHead(head: string): { line: string; headers: Record<string, string> } {
  const [line = '', ...rest] = head.split('\r\n');
  const headers: Record<string, string> = {};
  for (const text of rest) {
    const colon = text.indexOf(':');
    headers[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1).trim();
  }
  return { line, headers };
}

/**
 * Starts an endpoint.
 * @example const endpoint = await startRawEndpoint((req) => req.socket.write(okAnswer(req, 'x')));
 */
export async function startRawEndpoint(answer: RawAnswer): Promise<RawEndpoint> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    fake.connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let text = '';
    socket.on('data', (piece) => {
      text += piece.toString('latin1');
      for (let end = text.indexOf(HEAD_END); end >= 0; end = text.indexOf(HEAD_END)) {
        const { line, headers } = parseHead(text.slice(0, end));
        const length = Number(headers['content-length'] ?? 0);
        const bodyAt = end + HEAD_END.length;
        if (text.length < bodyAt + length) return;
        const req = { line, headers, body: text.slice(bodyAt, bodyAt + length), socket };
        text = text.slice(bodyAt + length);
        fake.requests.push(req);
        fake.answer(req);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const fake: RawEndpoint = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests: [],
    connections: 0,
    answer,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  return fake;
}

/** Head of an answer that is signed and names its request. */
export function answerHead(req: RawRequest, status: string, more: readonly string[]): string {
  const id = req.headers['x-request-id'] ?? '';
  return [`HTTP/1.1 ${status}`, `X-Request-Id: ${id}`, 'X-Server-Stamp: s.1', ...more, '', ''].join(
    '\r\n',
  );
}

/** A whole answer. */
export function okAnswer(req: RawRequest, body: string): string {
  return answerHead(req, '200 OK', [`Content-Length: ${body.length}`]) + body;
}

/** One chunk of a chunked answer; an empty text is the last one. */
export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** One event of a stream. */
export function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}
