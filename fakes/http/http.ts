/** Small HTTP helpers of the stand-ins. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Reads a JSON body; undefined when there is none. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
  const text = Buffer.concat(parts).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

/** Sends JSON. */
export function sendJson(
  res: ServerResponse,
  status: number,
  data: unknown,
  headers: Record<string, string> = {},
): void {
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(JSON.stringify(data));
}

/** Serves on a loopback port that the system chooses. */
export async function serveLoopback(
  handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
): Promise<{ server: Server; port: number; url: string }> {
  const server = createServer((req, res) => {
    handle(req, res).catch((err: unknown) => {
      if (!res.headersSent) sendJson(res, 500, { error: String(err) });
      else res.destroy();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return { server, port, url: `http://127.0.0.1:${port}` };
}

/** Closes a server and all its connections. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
