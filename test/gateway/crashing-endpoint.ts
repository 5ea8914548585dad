/** An endpoint that crashes when it begins to run certain requests, and restarts shortly after. */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

/** Time from a crash to the restart, ms. */
const RESTART_MS = 300;
/** Service time of an ordinary request, and time to its first event, ms. */
const SERVICE_TIME_MS = 30;
/** Events of a stream, and the time between two of them, ms. */
const STREAM_EVENTS = 8;
const EVENT_INTERVAL_MS = 10;
/** Time for which the ranks of a group stand still before they reject requests, ms. */
const STALL_MS = 100;

/** Decides by path and headers whether a request crashes the endpoint. */
export type CrashesOn = (path: string, headers: IncomingHttpHeaders) => boolean;

/** What an endpoint has sent of a response when it crashes. */
export type SentBeforeCrash = 'nothing' | 'head' | 'event';

/** Options of an endpoint. */
export interface CrashingEndpointOptions {
  readonly sentBeforeCrash?: SentBeforeCrash;
  /** Whether it answers with event streams. */
  readonly isStream?: boolean;
  /** Ranks in lock-step: a crash of one takes all out of service. */
  readonly group?: LockStepGroup;
}

/** A request that an endpoint began to run. */
export interface CrashingRun {
  readonly path: string;
  readonly id: string;
  readonly atMs: number;
  readonly isCrashing: boolean;
}

/** Ranks of a group, out of service from the crash of one until it has restarted. */
export class LockStepGroup {
  private stoppedAtMs: number | undefined;

  stop(): void {
    this.stoppedAtMs ??= performance.now();
  }

  restart(): void {
    this.stoppedAtMs = undefined;
  }

  get isStopped(): boolean {
    return this.stoppedAtMs !== undefined;
  }

  /** Waits while the ranks stand still; false if the group is stopped afterwards. */
  async step(ms: number): Promise<boolean> {
    await wait(ms);
    if (!this.isStopped) return true;
    await wait(STALL_MS);
    return !this.isStopped;
  }
}

/** A running endpoint. */
export class CrashingEndpoint {
  /** Monotonic times of its crashes, ms. */
  readonly crashedAtMs: number[] = [];
  /** Requests that it began to run. */
  readonly began: CrashingRun[] = [];
  private server: Server | undefined;
  private isClosed = false;

  private constructor(
    private readonly crashesOn: CrashesOn,
    private readonly options: CrashingEndpointOptions,
    private port = 0,
  ) {}

  /** Starts an endpoint that crashes on requests for which `crashesOn` is true. */
  static async start(
    crashesOn: CrashesOn,
    options: CrashingEndpointOptions = {},
  ): Promise<CrashingEndpoint> {
    const endpoint = new CrashingEndpoint(crashesOn, options);
    await endpoint.listen();
    return endpoint;
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Paths of the requests that it began to run. */
  get runs(): string[] {
    return this.began.map(({ path }) => path);
  }

  /** Crashes with all requests in flight, and restarts after a delay. */
  async crash(): Promise<void> {
    const { server } = this;
    if (!server) return;
    this.server = undefined;
    this.crashedAtMs.push(performance.now());
    this.options.group?.stop();
    server.close();
    server.closeAllConnections();
    await wait(RESTART_MS);
    if (this.isClosed) return;
    await this.listen();
    this.options.group?.restart();
  }

  close(): void {
    this.isClosed = true;
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

  /** Waits for a part of the work; false if the endpoint no longer runs the request. */
  private async work(res: ServerResponse, ms: number): Promise<boolean> {
    const { group } = this.options;
    const isRunning = group ? await group.step(ms) : await wait(ms, true);
    return isRunning && !res.destroyed;
  }

  private async run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    req.on('error', () => undefined);
    req.resume();
    const path = req.url ?? '';
    const id = String(req.headers['x-request-id']);
    const { group, isStream = false, sentBeforeCrash = 'nothing' } = this.options;
    if (group?.isStopped && !(await this.work(res, 0)))
      return void res.writeHead(503, { 'x-request-id': id, 'x-not-executed': '1' }).end();
    const isCrashing = this.crashesOn(path, req.headers);
    this.began.push({ path, id, atMs: performance.now(), isCrashing });
    const head = { 'x-request-id': id, 'x-server-stamp': 's.1' };
    if (isCrashing) {
      if (sentBeforeCrash !== 'nothing') res.writeHead(200, head).flushHeaders();
      if (sentBeforeCrash === 'event') res.write(`id: 1\ndata: 1\n\n`);
      if (sentBeforeCrash !== 'nothing') await wait(5);
      return void this.crash();
    }
    if (!(await this.work(res, SERVICE_TIME_MS))) return void res.destroy();
    if (!isStream) return void res.writeHead(200, { ...head, 'content-length': 2 }).end('ok');
    res.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
    for (let event = 1; event <= STREAM_EVENTS; event += 1) {
      res.write(`id: ${event}\ndata: ${event}\n\n`);
      if (!(await this.work(res, EVENT_INTERVAL_MS))) return void res.destroy();
    }
    res.end();
  }
}
