/** Callers: they go to entries that say they are ready, keep their connections, and sometimes leave. */
import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { entryAddress, KEYS, type Deployment, type SoakInstance } from './deployment.js';
import { pick } from './faults.js';
import type { Ask, AskKind } from './record.js';

/** Pause between two requests, ms. */
const PAUSE_MS = 25;
/** How often entries are asked whether they are ready, ms; the platform's pages say once a second. */
const READY_PAUSE_MS = 1000;
const READY_MS = 800;
/** Time that a caller waits, ms. */
const DEADLINE_MS = 3000;
/** Share of callers that leave before they have their answer. */
const LEAVING_SHARE = 0.03;
/** Share of requests with a key that never was one. */
const UNKNOWN_KEY_SHARE = 0.02;
/** Share of requests that crash what runs them, while there are such. */
const CRASHING_SHARE = 0.06;
/** Connections that a caller keeps to one entry. */
const CONNECTIONS = 16;

const PREFIX: Readonly<Record<AskKind, string>> = {
  once: '/once/',
  repeatable: '/again/',
  stream: '/stream/',
};
const KINDS: readonly AskKind[] = ['once', 'repeatable', 'stream', 'stream'];

function isReady(entry: SoakInstance): Promise<boolean> {
  const { host, port } = entryAddress(entry).ready;
  return new Promise((resolve) => {
    const req = http.get(
      { host, port, path: '/harrierglade/readiness', agent: false, timeout: READY_MS },
      (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(false));
  });
}

/** Callers of one deployment. */
export class Callers {
  private readonly agents = new Map<string, http.Agent>();
  private ready: SoakInstance[] = [];
  private sequence = 0;
  private isStopped = false;

  constructor(
    private readonly deployment: Deployment,
    private readonly random: () => number,
  ) {}

  /** Asks on until `stop`. */
  async run(): Promise<void> {
    await Promise.all([this.watchReady(), this.askOn()]);
  }

  /** Ends all connections; what is not answered by now never is. */
  close(): void {
    for (const agent of this.agents.values()) agent.destroy();
  }

  /** Ends asking; what was sent may still be answered. */
  stop(): void {
    this.isStopped = true;
  }

  /** Resolves once an entry is ready. */
  async untilReady(withinMs: number): Promise<boolean> {
    const untilMs = performance.now() + withinMs;
    while (performance.now() < untilMs) {
      if ((await Promise.all(this.deployment.entries.map(isReady))).every(Boolean)) return true;
      await sleep(50);
    }
    return false;
  }

  private async watchReady(): Promise<void> {
    while (!this.isStopped) {
      const { entries } = this.deployment;
      const answers = await Promise.all(entries.map(isReady));
      const ready = entries.filter((_, i) => answers[i]);
      // With no entry ready the platform uses all of them.
      this.ready = ready.length > 0 ? ready : [...entries];
      await sleep(READY_PAUSE_MS);
    }
  }

  private async askOn(): Promise<void> {
    while (!this.isStopped) {
      if (this.ready.length > 0 && !this.deployment.isQuiet)
        this.ask(pick(this.ready, this.random));
      const pauseMs = PAUSE_MS * (0.5 + this.random());
      await sleep(pauseMs);
    }
  }

  private nextAsk(entry: SoakInstance): Ask {
    this.sequence += 1;
    const id = `q-${this.sequence}`;
    const { crashingPaths, config } = this.deployment;
    if (crashingPaths.length > 0 && this.random() < CRASHING_SHARE)
      return this.crashingAsk(entry, id, pick(crashingPaths, this.random));
    const { extraRoutes, pastRoutes } = config;
    const extra = [...extraRoutes, ...pastRoutes];
    const kind = pick(KINDS, this.random);
    const isExtra = kind === 'repeatable' && extra.length > 0 && this.random() < 0.5;
    const prefix = isExtra ? `/${pick(extra, this.random)}/` : PREFIX[kind];
    const isKnown = this.random() >= UNKNOWN_KEY_SHARE;
    return {
      id,
      kind,
      path: `${prefix}${id}`,
      body: `body of ${id}`,
      key: isKnown ? pick(KEYS, this.random) : 'k-never',
      entry: entry.name,
      sentAtMs: this.deployment.nowMs(),
      end: undefined,
    };
  }

  /** The same request as ever, but for its id. */
  private crashingAsk(entry: SoakInstance, id: string, path: string): Ask {
    const sentAtMs = this.deployment.nowMs();
    const key = KEYS[0] ?? '';
    return {
      id,
      kind: 'repeatable',
      path,
      body: path,
      key,
      entry: entry.name,
      sentAtMs,
      end: undefined,
    };
  }

  private agentOf(entry: SoakInstance): http.Agent {
    const known = this.agents.get(entry.name);
    if (known) return known;
    const made = new http.Agent({ keepAlive: true, maxSockets: CONNECTIONS });
    this.agents.set(entry.name, made);
    return made;
  }

  private ask(entry: SoakInstance): void {
    const ask = this.nextAsk(entry);
    this.deployment.asks.push(ask);
    const isLeaving = this.random() < LEAVING_SHARE;
    const { host, port } = entryAddress(entry).callers;
    let body = '';
    let head: http.IncomingMessage | undefined;
    const end = (): void => {
      // Who left has no answer to judge.
      if (isLeaving || ask.end) return;
      ask.end = {
        atMs: this.deployment.nowMs(),
        status: head?.statusCode ?? 0,
        isSigned: head?.headers['x-server-stamp'] !== undefined,
        body,
        isComplete: head?.complete ?? false,
      };
    };
    const req = http.request(
      {
        host,
        port,
        method: 'POST',
        path: ask.path,
        agent: this.agentOf(entry),
        headers: {
          host: 'soak.example',
          'x-request-id': ask.id,
          'x-deadline-ms': String(DEADLINE_MS),
          authorization: `Bearer ${ask.key}`,
        },
      },
      (res) => {
        head = res;
        res.on('data', (piece: Buffer) => (body += piece.toString('latin1')));
        res.on('error', () => undefined);
        res.on('close', end);
      },
    );
    req.on('error', end);
    req.on('close', end);
    req.setTimeout(2 * DEADLINE_MS, () => req.destroy());
    req.end(ask.body);
    if (isLeaving) setTimeout(() => req.destroy(), 100 * this.random());
  }
}
