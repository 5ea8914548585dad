/** Fake plain service: answers after a fixed time and records every execution. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { closeServer, readJson, sendJson, serveLoopback } from '../http/index.js';

/** One execution, as recorded by the service. */
export interface ServiceExecution {
  readonly requestId: string;
  readonly organisation: string;
  readonly method: string;
  readonly path: string;
  readonly nonce: string;
  readonly atMs: number;
}

/** A running fake service. */
export class FakeService {
  readonly executions: ServiceExecution[] = [];

  private constructor(
    private readonly server: Server,
    readonly url: string,
    private readonly workMs: number,
  ) {}

  /** Starts on a free loopback port; each call takes `workMs`. */
  static async start(workMs = 5): Promise<FakeService> {
    const holder: { service?: FakeService } = {};
    const { server, url } = await serveLoopback(
      (req, res) => holder.service?.serve(req, res) ?? Promise.resolve(),
    );
    holder.service = new FakeService(server, url, workMs);
    return holder.service;
  }

  close(): void {
    closeServer(this.server);
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://service');
    if (url.pathname === '/control/executions') return sendJson(res, 200, this.executions);
    const body = (await readJson(req)) as { nonce?: string } | undefined;
    const nonce = body?.nonce ?? url.searchParams.get('nonce') ?? '';
    this.executions.push({
      requestId: String(req.headers['x-request-id'] ?? ''),
      organisation: String(req.headers['x-organisation'] ?? ''),
      method: req.method ?? '',
      path: url.pathname,
      nonce,
      atMs: Date.now(),
    });
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    const headers = { 'x-request-id': String(req.headers['x-request-id'] ?? '') };
    sendJson(res, 200, { nonce, path: url.pathname, done: true }, headers);
  }
}
