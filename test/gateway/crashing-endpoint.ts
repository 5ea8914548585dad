/** An endpoint that falls when it begins to run a certain request, and is back a moment later as another process. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

/** Time for which a fallen endpoint is away, ms. */
const AWAY_MS = 300;
/** Time of an ordinary request, ms. */
const WORK_MS = 30;

/** A running endpoint. */
export class CrashingEndpoint {
  /** When each of its processes fell, monotonic ms. */
  readonly fellAtMs: number[] = [];
  /** Requests that it began to run, by path. */
  readonly runs: string[] = [];
  private server: Server | undefined;

  private constructor(
    private readonly crashes: (path: string) => boolean,
    private port = 0,
  ) {}

  /** Starts one that falls by requests whose path is told so. */
  static async start(crashes: (path: string) => boolean): Promise<CrashingEndpoint> {
    const endpoint = new CrashingEndpoint(crashes);
    await endpoint.listen();
    return endpoint;
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Ends its process with all that runs there; it starts again by itself. */
  async fall(): Promise<void> {
    const { server } = this;
    if (!server) return;
    this.server = undefined;
    this.fellAtMs.push(performance.now());
    server.close();
    server.closeAllConnections();
    await wait(AWAY_MS);
    await this.listen();
  }

  close(): void {
    const { server } = this;
    this.server = undefined;
    server?.close();
    server?.closeAllConnections();
  }

  private async listen(): Promise<void> {
    const server = createServer((req, res) => void this.run(req, res));
    await new Promise<void>((resolve) => server.listen(this.port, '127.0.0.1', resolve));
    this.port = (server.address() as AddressInfo).port;
    this.server = server;
  }

  private async run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    req.on('error', () => undefined);
    req.resume();
    const path = req.url ?? '';
    this.runs.push(path);
    if (this.crashes(path)) return void this.fall();
    await wait(WORK_MS);
    if (res.destroyed) return;
    const id = String(req.headers['x-request-id']);
    res.writeHead(200, { 'x-request-id': id, 'x-server-stamp': 's.1', 'content-length': 2 });
    res.end('ok');
  }
}
