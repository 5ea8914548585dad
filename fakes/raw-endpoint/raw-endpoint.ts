/** Fake endpoint whose responses are raw bytes, so that they can violate HTTP or the API. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** A request as received. */
export interface RawRequest {
  /** Request line, such as `GET /x HTTP/1.1`. */
  readonly line: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly socket: Socket;
}

/** Responds to a request by writing to its socket. */
export type RawResponder = (req: RawRequest) => void;

/** A running fake endpoint. */
export interface RawEndpoint {
  readonly address: string;
  /** Requests received, in order. */
  readonly requests: RawRequest[];
  /** Number of connections accepted. */
  connections: number;
  respond: RawResponder;
  /** Called with each accepted connection, before any request on it. */
  greet: (socket: Socket) => void;
  /** Called when the head of a request is in and its body is not. */
  onHead: RawResponder;
  /** Refuses further connections. */
  refuse(): void;
  close(): void;
}

const HEAD_END = '\r\n\r\n';

function parseHead(head: string): { line: string; headers: Record<string, string> } {
  const [line = '', ...headerLines] = head.split('\r\n');
  const headers: Record<string, string> = {};
  for (const headerLine of headerLines) {
    const colon = headerLine.indexOf(':');
    headers[headerLine.slice(0, colon).toLowerCase()] = headerLine.slice(colon + 1).trim();
  }
  return { line, headers };
}

/**
 * Starts a fake endpoint.
 * @example const endpoint = await startRawEndpoint((req) => req.socket.write(okResponse(req, 'x')));
 */
export async function startRawEndpoint(respond: RawResponder): Promise<RawEndpoint> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    fake.connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    fake.greet(socket);
    let text = '';
    let isHeadSeen = false;
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      for (let end = text.indexOf(HEAD_END); end >= 0; end = text.indexOf(HEAD_END)) {
        const { line, headers } = parseHead(text.slice(0, end));
        const length = Number(headers['content-length'] ?? 0);
        const bodyStart = end + HEAD_END.length;
        if (text.length < bodyStart + length) {
          if (!isHeadSeen) fake.onHead({ line, headers, body: '', socket });
          isHeadSeen = true;
          return;
        }
        isHeadSeen = false;
        const req = { line, headers, body: text.slice(bodyStart, bodyStart + length), socket };
        text = text.slice(bodyStart + length);
        fake.requests.push(req);
        fake.respond(req);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const fake: RawEndpoint = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests: [],
    connections: 0,
    respond,
    greet: () => undefined,
    onHead: () => undefined,
    refuse: () => void server.close(),
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  return fake;
}

/** Response head with the ID of the request and the stamp of the server. */
export function responseHead(
  req: RawRequest,
  status: string,
  extraHeaders: readonly string[],
): string {
  const id = req.headers['x-request-id'] ?? '';
  return [
    `HTTP/1.1 ${status}`,
    `X-Request-Id: ${id}`,
    'X-Server-Stamp: s.1',
    ...extraHeaders,
    '',
    '',
  ].join('\r\n');
}

/** A complete response with status 200. */
export function okResponse(req: RawRequest, body: string): string {
  return responseHead(req, '200 OK', [`Content-Length: ${body.length}`]) + body;
}

/** One chunk of a chunked response; an empty text gives the last chunk. */
export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** One server-sent event. */
export function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}
