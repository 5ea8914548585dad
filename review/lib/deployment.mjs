/**
 * A small deployment on loopback addresses: the platform's store as a stand-in, and the project's own
 * programs as processes, started with the commands of deploy/system.toml.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, closeSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Milliseconds since the start of the script, for the record. */
const startedAt = performance.now();
export const nowMs = () => performance.now() - startedAt;

/** Ports as in a settings file; each machine has a loopback address of its own. */
export const PORT = { front: 8227, ready: 8220, control: 8229, app: 8228, internal: 7340 };

function canBind(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A network 127.A.B.0/24 of which the ports of the first hosts are free. */
export async function freeNetwork(hosts = 4) {
  for (let i = 0; i < 50; i += 1) {
    const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 256)}`;
    const checks = Array.from({ length: hosts }, (_, host) =>
      [...Object.values(PORT), 9464].map((port) => canBind(`${prefix}.${host + 1}`, port)),
    ).flat();
    if ((await Promise.all(checks)).every(Boolean)) return prefix;
  }
  throw new Error('no free loopback network');
}

/** Runs the command of a role of the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1]?.split('\n[')[0] ?? '';
  const run = /^run = "([^"]+)"/m.exec(section)?.[1];
  if (!run) throw new Error(`deploy/system.toml has no command for role ${role}`);
  return run.split(' ');
}

/** The settings file of a machine, with the values of the site's sheet. */
export function settingsText({ name, role, ip, zone, seeds, storeAddress, bounds = {}, app }) {
  const isFront = role === 'entry';
  const allBounds = {
    'seed-lag-s': 3,
    'addr-reuse-s': 2,
    'contact-ms': 3000,
    'ack-ms': 4000,
    'catch-up-s': 4,
    'drain-ms': 2000,
    'grace-s': 8,
    'loss-slack-ms': 200,
    'config-apply-ms': 2000,
    'rollback-slack-ms': 250,
    'outer-ms': 5000,
    'fail-closed': true,
    'revoke-ms': 5000,
    'retry-budget-ratio': 0.2,
    'budget-window-s': 10,
    'retry-budget-extra': 90,
    'recovery-s': 12,
    'pass-ms': 120,
    'retry-after-s': 0,
    stall_ms: 1500,
    'fencing-required': true,
    ...bounds,
  };
  return [
    `node-name = "${name}"`,
    `role = "${role}"`,
    `machine-class = "${isFront ? 'front' : 'side'}"`,
    `serves = [${isFront ? '"front","control"' : '"side"'}]`,
    `ip = "${ip}"`,
    `zone = "${zone}"`,
    'region = "kigali"',
    `internal-port-range = [${PORT.internal},${PORT.internal + 15}]`,
    `seed-nodes = [${seeds.map((seed) => `"${seed}"`).join(',')}]`,
    'bootstrap = true',
    'discovery = "platform"',
    'entry = "virtual_ip"',
    'heartbeat-ms = 1200',
    ...(app ? [`app = "${app}"`] : []),
    '[listen]',
    ...(isFront
      ? [
          `front = "${ip}:${PORT.front}"`,
          `ready = "${ip}:${PORT.ready}"`,
          `control = "${ip}:${PORT.control}"`,
        ]
      : []),
    '[limits]',
    'cpu-share = 0.675',
    'cpu-cores = 1',
    `memory-mb = ${isFront ? 350 : 218}`,
    `max-fds = ${isFront ? 4200 : 1494}`,
    'link-mbps = 1000.0',
    '[bounds]',
    ...Object.entries(allBounds).map(([key, value]) => `${key} = ${value}`),
    '[platform]',
    `address = "${storeAddress}"`,
    'form = "read"',
    'reads-per-s = 2000',
    'history-s = 20',
    'value-bytes = 1048576',
    '',
  ].join('\n');
}

/** Longest time of a script, ms. */
const LONGEST_MS = 117_000;

/** Processes and files of this script; `end` stops and removes them all. */
export class Deployment {
  constructor() {
    this.folder = mkdtempSync(join(tmpdir(), 'harrierglade-review-'));
    this.children = new Set();
    this.closers = [];
    // The case could not run to its end: what was started must not outlive the script.
    const abandon = () => {
      for (const child of this.children) child.kill('SIGKILL');
      rmSync(this.folder, { recursive: true, force: true });
      process.exit(2);
    };
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, abandon);
    setTimeout(abandon, LONGEST_MS).unref();
  }

  /** Starts a program of the deploy file; `exited` resolves with its code. */
  start(role, settings) {
    const boot = join(this.folder, `${settings.name}.toml`);
    const logPath = join(this.folder, `${settings.name}.log`);
    writeFileSync(boot, settingsText({ ...settings, role }));
    const [program, ...args] = commandOf(role);
    const log = openSync(logPath, 'a');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, HARRIERGLADE_BOOT: boot },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.children.add(child);
    const exited = new Promise((resolve) =>
      child.on('exit', (code, signal) => {
        this.children.delete(child);
        resolve({ code, signal });
      }),
    );
    return { child, exited, log: () => readFileSync(logPath, 'utf8') };
  }

  /** Has something closed at the end. */
  add(closable) {
    this.closers.push(closable);
    return closable;
  }

  /** Ends every process that this script started, and removes the temporary folder. */
  async end() {
    const ends = [...this.children].map((child) => {
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      return ended;
    });
    await Promise.all(ends);
    for (const closable of this.closers) closable.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Asks an entry's readiness, as the platform does; resolves once it answers 200. */
export async function untilReady(ip, withinMs = 20_000) {
  const untilMs = nowMs() + withinMs;
  while (nowMs() < untilMs) {
    const status = await new Promise((resolve) => {
      const req = http.get(
        { host: ip, port: PORT.ready, path: '/harrierglade/readiness', agent: false, timeout: 500 },
        (res) => {
          res.resume();
          resolve(res.statusCode);
        },
      );
      req.on('error', () => resolve(0));
      req.on('timeout', () => req.destroy());
    });
    if (status === 200) return;
    await sleep(100);
  }
  throw new Error(`${ip} did not become ready`);
}

/**
 * The platform's store: revisions, reads, ranges and watches, as PROTOCOL.md describes them. It can be
 * away, and come back from an older copy in a new era.
 */
export async function startStore(host) {
  let items = new Map();
  let changes = [];
  let revision = 1;
  let era = 1;
  let isAway = false;
  const sockets = new Set();
  const waiting = new Set();
  const encode = (document) => Buffer.from(JSON.stringify(document)).toString('base64');

  const send = (res, status, body) => {
    const text = JSON.stringify(body);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'store-era': String(era),
    });
    res.end(text);
  };
  const item = (key) => ({ key, ...items.get(key), 'created-rev': 1, lease: 0 });
  const range = (prefix, after) => {
    const keys = [...items.keys()].filter((k) => k.startsWith(prefix) && (!after || k > after));
    keys.sort();
    return {
      items: keys.slice(0, 50).map(item),
      'has-more': keys.length > 50,
      'as-of': revision,
    };
  };
  const watch = (query, res) => {
    const prefix = query.get('path-prefix') ?? '';
    const after = Number(query.get('after-revision'));
    if (after > revision) return send(res, 410, {});
    const attempt = (isOver) => {
      const events = changes.filter((c) => c.revision > after && c.key.startsWith(prefix));
      if (events.length === 0 && !isOver) return;
      clearTimeout(timer);
      waiting.delete(attempt);
      send(res, 200, { events, 'as-of': revision });
    };
    const timer = setTimeout(() => attempt(true), Number(query.get('wait-ms')));
    waiting.add(attempt);
    res.on('close', () => {
      clearTimeout(timer);
      waiting.delete(attempt);
    });
    attempt(false);
  };
  const server = http.createServer((req, res) => {
    if (isAway) return void req.socket.resetAndDestroy();
    const url = new URL(req.url, 'http://store');
    if (url.pathname === '/harrierglade/kv-key') {
      const key = url.searchParams.get('key');
      if (!items.has(key)) return send(res, 404, {});
      return send(res, 200, { ...item(key), 'as-of': revision });
    }
    if (url.pathname === '/harrierglade/kv-range')
      return send(
        res,
        200,
        range(url.searchParams.get('path-prefix') ?? '', url.searchParams.get('after-revision')),
      );
    if (url.pathname === '/harrierglade/kv-watch') return watch(url.searchParams, res);
    return send(res, 404, {});
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const announce = () => {
    for (const attempt of [...waiting]) attempt(false);
  };
  return {
    address: `${host}:${server.address().port}`,
    put(key, document) {
      revision += 1;
      items.set(key, { value: encode(document), revision });
      changes.push({ key, value: items.get(key).value, revision, lease: 0 });
      announce();
    },
    remove(key) {
      revision += 1;
      items.delete(key);
      changes.push({ key, revision, tombstone: true });
      announce();
    },
    /** A copy of all that the store holds now. */
    copy: () => ({ items: new Map(items), changes: [...changes], revision }),
    /** The store refuses all calls from now on. */
    goAway() {
      isAway = true;
      for (const socket of sockets) socket.resetAndDestroy();
    },
    /** The store is back; with a copy, it holds what that holds, in a new era. */
    comeBack(copy) {
      if (copy) {
        items = new Map(copy.items);
        changes = [...copy.changes];
        revision = copy.revision;
        era += 1;
      }
      isAway = false;
    },
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
