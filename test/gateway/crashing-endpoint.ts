/** An endpoint that crashes when it begins to run certain requests, and restarts shortly after. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

/** Time from a crash to the restart, ms. */
const RESTART_MS = 300;
/** Service time of an ordinary request, ms. */
const SERVICE_TIME_MS = 30;

/** A running endpoint. */
export class CrashingEndpoint {
  /** Monotonic times of its crashes, ms. */
  readonly crashedAtMs: number[] = [];
  /** Paths of the requests that it began to run. */
  readonly runs: string[] = [];
  private server: Server | undefined;

  private constructor(
    private readonly crashesOn: (path: string) => boolean,
    private port = 0,
  ) {}

  /** Starts an endpoint that crashes on requests whose path matches `crashesOn`. */
  static async start(crashesOn: (path: string) => boolean): Promise<CrashingEndpoint> {
    const endpoint = new CrashingEndpoint(crashesOn);
    await endpoint.listen();
    return endpoint;
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Crashes with all requests in flight, and restarts after a delay. */
  async crash(): Promise<void> {
    const { server } = this;
    if (!server) return;
    this.server = undefined;
    this.crashedAtMs.push(performance.now());
    server.close();
    server.closeAllConnections();
    await wait(RESTART_MS);
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
    if (this.crashesOn(path)) return void this.crash();
    await wait(SERVICE_TIME_MS);
    if (res.destroyed) return;
    const id = String(req.headers['x-request-id']);
    res.writeHead(200, { 'x-request-id': id, 'x-server-stamp': 's.1', 'content-length': 2 });
    res.end('ok');
  }
}
