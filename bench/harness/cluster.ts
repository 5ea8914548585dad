/** A deployment in separate processes on loopback: platform and endpoint fakes, agents and entries. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import type { EngineExecution, MapUse } from '../../fakes/model-engine/index.js';
import type { PlatformMode } from '../../fakes/platform/index.js';
import type { ServiceExecution } from '../../fakes/service-engine/index.js';
import type {
  ConfigurationBody,
  ConfigurationDocument,
} from '../../src/generated/configuration.types.js';
import type { InstanceRecord } from '../../src/generated/instances.types.js';
import type { Settings } from '../../src/generated/settings.types.js';
import {
  killProcess,
  parseJsonLine,
  parseDaemonPorts,
  signalProcess,
  startProcess,
  type DaemonPorts,
  type SpawnedProcess,
} from './processes.js';
import { initialConfiguration, type ClusterSpec } from './cluster-spec.js';

/** One daemon of the cluster; it keeps its name across restarts. */
export interface Member {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly dataCentre: string;
  readonly endpoint: string | undefined;
  settings: Settings;
  process: SpawnedProcess;
  ports: DaemonPorts;
}

/** A running cluster. */
export class Cluster {
  readonly members: Member[] = [];
  readonly engines: { endpoint: string; url: string; process: SpawnedProcess }[] = [];
  readonly services: { endpoint: string; url: string; process: SpawnedProcess }[] = [];
  publishedDocument: ConfigurationDocument | undefined;
  private platform: SpawnedProcess | undefined;
  private platformUrl = '';
  private readonly leaving = new Set<string>();
  /** Directory of the settings files of the daemons. */
  private readonly settingsDir = mkdtempSync(join(tmpdir(), 'harrierglade-'));

  private constructor(readonly spec: ClusterSpec) {}

  /** Starts all processes; waits until every daemon has the configuration and the instance list. */
  static async start(spec: ClusterSpec): Promise<Cluster> {
    const cluster = new Cluster(spec);
    try {
      await cluster.startAll();
    } catch (err) {
      await cluster.stop();
      throw err;
    }
    return cluster;
  }

  get entries(): Member[] {
    return this.members.filter((m) => m.role === 'entry');
  }

  get agents(): Member[] {
    return this.members.filter((m) => m.role === 'agent');
  }

  member(name: string): Member {
    const found = this.members.find((m) => m.name === name);
    if (!found) throw new Error(`the cluster has no daemon named ${name}`);
    return found;
  }

  /** Publishes a configuration. */
  async publish(body: ConfigurationBody, basedOn?: number): Promise<ConfigurationDocument> {
    this.publishedDocument = (await this.postControl('publish', {
      body,
      basedOn,
    })) as ConfigurationDocument;
    return this.publishedDocument;
  }

  async setPlatformMode(mode: PlatformMode): Promise<void> {
    await this.postControl('mode', { mode });
  }

  /** Makes the platform serve an old document and no instance list until its mode is set again. */
  async freezePlatform(version: number): Promise<void> {
    await this.postControl('freeze', { freezeAt: version });
  }

  async platformCalls(): Promise<number> {
    return ((await this.postControl('calls', {})) as { calls: number }).calls;
  }

  /** Publishes the instance list of all daemons and endpoints; some may be marked as leaving. */
  async publishList(): Promise<void> {
    const daemons = this.members.map((m): InstanceRecord => ({
      instance: m.name,
      role: m.role,
      dataCentre: m.dataCentre,
      host: '127.0.0.1',
      port: m.ports.daemons,
      state: this.leaving.has(m.name) ? 'leaving' : 'live',
      ...(m.endpoint ? { endpoint: m.endpoint } : {}),
    }));
    const endpoints = [...this.engines, ...this.services].map(
      ({ endpoint, url }): InstanceRecord => ({
        instance: endpoint,
        role: 'endpoint',
        dataCentre: this.dataCentreOf(endpoint),
        host: '127.0.0.1',
        port: Number(new URL(url).port),
        state: this.leaving.has(endpoint) ? 'leaving' : 'live',
        endpoint,
      }),
    );
    const instances = [...daemons, ...endpoints];
    await this.postControl('instances', { instances });
  }

  async markLeaving(name: string): Promise<void> {
    this.leaving.add(name);
    await this.publishList();
  }

  /** Restarts a daemon that was marked as leaving and lists it as live. */
  async unmarkLeaving(name: string): Promise<void> {
    this.leaving.delete(name);
    await this.restart(name);
  }

  /** Kills a daemon and starts a new incarnation under the same name. */
  async restart(name: string): Promise<void> {
    const member = this.member(name);
    await killProcess(member.process);
    await this.startDaemon(member);
    await this.publishList();
  }

  /** Starts a daemon again without publishing it in the instance list. */
  async restartUnlisted(name: string): Promise<void> {
    await this.startDaemon(this.member(name));
  }

  signal(name: string, signal: NodeJS.Signals): void {
    signalProcess(this.member(name).process, signal);
  }

  async status(member: Member): Promise<Record<string, unknown>> {
    return (await getJson(`http://127.0.0.1:${member.ports.operators}/status`)) as Record<
      string,
      unknown
    >;
  }

  async counters(member: Member): Promise<Record<string, number>> {
    return (await getJson(`http://127.0.0.1:${member.ports.operators}/counters`)) as Record<
      string,
      number
    >;
  }

  async serviceExecutions(): Promise<ServiceExecution[]> {
    const lists = await Promise.all(
      this.services.map((s) => getJson(`${s.url}/control/executions`)),
    );
    return lists.flat() as ServiceExecution[];
  }

  async engineExecutions(): Promise<EngineExecution[]> {
    const lists = await Promise.all(
      this.engines.map((e) => getJson(`${e.url}/control/executions`)),
    );
    return lists.flat() as EngineExecution[];
  }

  /** Expert maps that each rank has used. */
  async mapUses(): Promise<{ rank: string; uses: MapUse[] }[]> {
    return Promise.all(
      this.engines.map(async (e) => ({
        rank: e.endpoint,
        uses: (await getJson(`${e.url}/control/maps`)) as MapUse[],
      })),
    );
  }

  async stallEngine(endpoint: string, data: object): Promise<void> {
    const engine = this.engines.find((e) => e.endpoint === endpoint);
    if (engine) await postJson(`${engine.url}/control/stall`, data);
  }

  /** Kills every process of the cluster and removes the settings files. */
  async stop(): Promise<void> {
    const processes = [
      ...this.members.map((m) => m.process),
      ...this.engines.map((e) => e.process),
      ...this.services.map((s) => s.process),
    ];
    if (this.platform) processes.push(this.platform);
    await Promise.all([...new Set(processes)].map(killProcess));
    rmSync(this.settingsDir, { recursive: true, force: true });
  }

  /** First configuration of the cluster. */
  initialConfiguration(): ConfigurationBody {
    return initialConfiguration(
      this.spec,
      this.engines.map((e) => e.endpoint),
      this.services.map((e) => e.endpoint),
    );
  }

  private async startAll(): Promise<void> {
    const { spec } = this;
    const platform = await startProcess(
      'platform',
      'fakes/platform/main.js',
      [String(spec.listDelayMs ?? 0)],
      parseJsonLine<{ url: string }>,
    );
    this.platform = platform.process;
    this.platformUrl = platform.value.url;
    await Promise.all(spec.dataCentres.map((dc) => this.startEndpoints(dc)));
    await this.publish(this.initialConfiguration(), 0);
    const daemonStarts = [
      ...this.engines.map((e) => this.addMember(`${e.endpoint}-agent`, 'agent', e.endpoint, e.url)),
      ...spec.dataCentres.flatMap((dc) =>
        Array.from({ length: spec.entriesPerDataCentre }, (_, i) =>
          this.addMember(`${dc}-entry-${i + 1}`, 'entry', undefined, undefined),
        ),
      ),
    ];
    await Promise.all(daemonStarts);
    await this.publishList();
    await this.waitUntilConfigured();
  }

  private async startEndpoints(dc: string): Promise<void> {
    const { spec } = this;
    const options = JSON.stringify({ ...spec.group, ranks: spec.ranksPerDataCentre });
    const group = await startProcess(
      `${dc}-engines`,
      'fakes/model-engine/main.js',
      [options],
      parseJsonLine<{ urls: string[] }>,
    );
    group.value.urls.forEach((url, i) =>
      this.engines.push({ endpoint: `${dc}-model-${i + 1}`, url, process: group.process }),
    );
    for (let i = 0; i < spec.servicesPerDataCentre; i += 1) {
      const service = await startProcess(
        `${dc}-service`,
        'fakes/service-engine/main.js',
        [String(spec.serviceTimeMs ?? 5)],
        parseJsonLine<{ url: string }>,
      );
      this.services.push({
        endpoint: `${dc}-service-${i + 1}`,
        url: service.value.url,
        process: service.process,
      });
    }
  }

  private async addMember(
    name: string,
    role: 'entry' | 'agent',
    endpoint: string | undefined,
    url: string | undefined,
  ): Promise<void> {
    const dataCentre = this.dataCentreOf(name);
    const anyPort = { host: '127.0.0.1', port: 0 };
    const settings: Settings = {
      role,
      instance: name,
      dataCentre,
      platform: { url: this.platformUrl },
      listen: {
        daemons: anyPort,
        operators: anyPort,
        ...(role === 'entry' ? { callers: anyPort } : {}),
      },
      ...(endpoint && url
        ? {
            endpoint: {
              id: endpoint,
              url,
              checksFences: this.spec.group?.checksFences ?? true,
            },
          }
        : {}),
      limits: this.spec.limits ?? {},
      timing: {
        startMs: 300,
        drainMs: 10_000,
        watchMs: 5000,
        fallbackMs: 500,
        ...this.spec.timing,
      },
    };
    const member = { name, role, dataCentre, endpoint, settings } as Member;
    await this.startDaemon(member);
    this.members.push(member);
  }

  private async startDaemon(member: Member): Promise<void> {
    const daemonsListen = { host: '127.0.0.1', port: member.ports?.daemons ?? 0 };
    // The port stays the same across restarts, as on a real instance.
    member.settings = {
      ...member.settings,
      listen: { ...member.settings.listen, daemons: daemonsListen },
    };
    const file = join(this.settingsDir, `${member.name}.json`);
    writeFileSync(file, JSON.stringify(member.settings));
    const started = await startProcess(
      member.name,
      'src/daemon/main.js',
      ['--settings', file],
      parseDaemonPorts,
    );
    member.process = started.process;
    member.ports = started.value;
  }

  private async waitUntilConfigured(): Promise<void> {
    for (let polls = 0; polls < 200; polls += 1) {
      const statuses = await Promise.all(this.members.map((m) => this.status(m)));
      if (statuses.every((s) => Number(s['list']) > 0 && Number(s['config']) > 0)) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(
      'not every daemon received the configuration and the instance list within 200 polls',
    );
  }

  private dataCentreOf(name: string): string {
    return this.spec.dataCentres.find((dc) => name.startsWith(`${dc}-`)) ?? '';
  }

  private postControl(path: string, data: object): Promise<unknown> {
    return postJson(`${this.platformUrl}/control/${path}`, data);
  }
}

/** Fetches a JSON document. */
export async function getJson(url: string): Promise<unknown> {
  const res = await request(url);
  return res.body.json();
}

async function postJson(url: string, data: object): Promise<unknown> {
  const res = await request(url, { method: 'POST', body: JSON.stringify(data) });
  return res.body.json();
}
