/** HTTP helpers shared by the fakes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Parses the JSON body of a request; undefined if the body is empty. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

/** Ends a response with a JSON body. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(JSON.stringify(body));
}

/**
 * Listens on a free loopback port, and resolves to the port.
 * @example const port = await listenLoopback(server);
 */
export async function listenLoopback(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

/** Serves on a free loopback port; a handler that fails gives status 500 or a closed connection. */
export async function serveLoopback(
  handler: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
): Promise<{ server: Server; port: number; url: string }> {
  const server = createServer((req, res) => {
    handler(req, res).catch((err: unknown) => {
      if (!res.headersSent) sendJson(res, 500, { error: String(err) });
      else res.destroy();
    });
  });
  const port = await listenLoopback(server);
  return { server, port, url: `http://127.0.0.1:${port}` };
}

/** Stops listening and closes all connections, also those in use. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
