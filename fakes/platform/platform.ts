/** Fake platform: a configuration and a lagging instance list, which daemons read and watch. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { ChangeSignal } from '../../src/core/clock/index.js';
import { bodyDigest } from '../../src/core/config-feed/index.js';
import type {
  ConfigurationBody,
  ConfigurationDocument,
} from '../../src/generated/configuration.types.js';
import type { InstanceList, InstanceRecord } from '../../src/generated/instances.types.js';
import { closeServer, readJson, sendJson, serveLoopback } from '../http/index.js';

/** How the platform responds: normally, closing every connection, or with an earlier snapshot. */
export type PlatformMode = 'up' | 'down' | 'stale';

interface Snapshot {
  config: ConfigurationDocument | undefined;
  list: InstanceList | undefined;
}

/** A running fake platform. */
export class FakePlatform {
  /** Reads and watches received; a long-polling watch counts once. */
  calls = 0;
  private mode: PlatformMode = 'up';
  private current: Snapshot = { config: undefined, list: undefined };
  private frozenSnapshot: Snapshot = this.current;
  private readonly publishedDocuments = new Map<number, ConfigurationDocument>();
  private readonly changes = new ChangeSignal();

  private constructor(
    private readonly server: Server,
    readonly url: string,
    private readonly listLagMs: number,
  ) {}

  /** Starts on a free loopback port. */
  static async start(listLagMs = 0): Promise<FakePlatform> {
    const holder: { platform?: FakePlatform } = {};
    const { server, url } = await serveLoopback(
      (req, res) => holder.platform?.serve(req, res) ?? Promise.resolve(),
    );
    holder.platform = new FakePlatform(server, url, listLagMs);
    return holder.platform;
  }

  /** Publishes a body as the next version; `basedOn` is the version that its author had read. */
  publish(
    body: ConfigurationBody,
    basedOn = this.current.config?.version ?? 0,
  ): ConfigurationDocument {
    const version = (this.current.config?.version ?? 0) + 1;
    const doc = { version, basedOn, digest: bodyDigest(body), body };
    this.publishedDocuments.set(version, doc);
    this.current = { ...this.current, config: doc };
    this.changes.notify();
    return doc;
  }

  /** Sets the instance list, which becomes visible after the lag. */
  setInstances(instances: InstanceRecord[]): void {
    const apply = (): void => {
      this.current = {
        ...this.current,
        list: { version: (this.current.list?.version ?? 0) + 1, instances },
      };
      this.changes.notify();
    };
    if (this.listLagMs > 0) setTimeout(apply, this.listLagMs).unref();
    else apply();
  }

  /** Sets the response mode; `stale` freezes the current snapshot. */
  setMode(mode: PlatformMode): void {
    if (mode === 'stale' && this.mode !== 'stale') this.frozenSnapshot = { ...this.current };
    this.mode = mode;
    this.changes.notify();
  }

  /** Serves an older document and no list, as a lagging replica would. */
  freezeAt(version: number): void {
    this.frozenSnapshot = { config: this.publishedDocuments.get(version), list: undefined };
    this.mode = 'stale';
    this.changes.notify();
  }

  close(): void {
    this.changes.notify();
    closeServer(this.server);
  }

  private visibleSnapshot(): Snapshot {
    return this.mode === 'stale' ? this.frozenSnapshot : this.current;
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://platform');
    if (url.pathname.startsWith('/control/')) return this.control(url.pathname, req, res);
    this.calls += 1;
    const field = url.pathname === '/configuration' ? 'config' : 'list';
    const aboveVersion = Number(url.searchParams.get('above') ?? 0);
    const untilMs = Date.now() + Number(url.searchParams.get('wait') ?? 0);
    while (!res.destroyed) {
      if (this.mode === 'down') return void res.destroy();
      const value = this.visibleSnapshot()[field];
      if (value && value.version > aboveVersion) return sendJson(res, 200, value);
      const leftMs = untilMs - Date.now();
      if (leftMs <= 0) return void res.writeHead(304).end();
      await this.changes.next(leftMs);
    }
  }

  private async control(path: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const command = (await readJson(req)) as
      | {
          body?: ConfigurationBody;
          basedOn?: number;
          instances?: InstanceRecord[];
          mode?: PlatformMode;
          freezeAt?: number;
        }
      | undefined;
    if (path === '/control/publish' && command?.body)
      return sendJson(res, 200, this.publish(command.body, command.basedOn));
    if (path === '/control/instances' && command?.instances) this.setInstances(command.instances);
    if (path === '/control/freeze' && command?.freezeAt) this.freezeAt(command.freezeAt);
    if (path === '/control/mode' && command?.mode) this.setMode(command.mode);
    sendJson(res, 200, { calls: this.calls });
  }
}
