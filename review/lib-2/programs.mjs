/** Starts the project's own programs by the commands of the deploy file, with the settings of a small deployment. */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const ROOT = join(import.meta.dirname, '../..');
export const PORT = { front: 8227, ready: 8220, control: 8229, metrics: 9464 };

/** The command of a role in the deploy file, as the platform splits it. */
function commandOf(role) {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = deploy.split(/^\[roles\./m).find((part) => part.startsWith(`${role}]`));
  return /^run = "([^"]*)"/m.exec(section)[1].split(' ');
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A loopback network 127.a.b.0 on whose first `count` hosts the ports of a machine are free. */
export async function freeNetwork(count) {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const a = 10 + Math.floor(Math.random() * 200);
    const b = Math.floor(Math.random() * 250);
    const hosts = Array.from({ length: count }, (_, i) => `127.${a}.${b}.${i + 1}`);
    const free = await Promise.all(
      hosts.flatMap((host) => Object.values(PORT).map((port) => isFree(host, port))),
    );
    if (free.every(Boolean)) return hosts;
  }
  throw new Error('no loopback network with free ports');
}

function bootText({ name, host, zone, seeds, store }) {
  const list = seeds.map((seed) => `"${seed}:${PORT.control}"`).join(',');
  return `node-name = "${name}"
role = "entry"
machine-class = "front"
serves = ["front","control"]
ip = "${host}"
zone = "${zone}"
region = "r"
internal-port-range = [7340,7355]
seed-nodes = [${list}]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[zones]
za = "r"
zb = "r"
zc = "r"
[listen]
front = "${host}:${PORT.front}"
ready = "${host}:${PORT.ready}"
control = "${host}:${PORT.control}"
[limits]
cpu-share = 0.675
cpu-cores = 1
memory-mb = 350
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
fail-closed = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-extra = 90
recovery-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 1500
fencing-required = true
[platform]
address = "${store}"
form = "read"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`;
}

const running = new Set();

/** One front machine, whose process can be killed and started again. */
export class Front {
  constructor(options) {
    this.options = options;
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    writeFileSync(join(this.dir, 'boot.toml'), bootText(options));
    this.log = '';
  }

  start() {
    const [command, ...args] = commandOf('entry');
    this.child = spawn(command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        HARRIERGLADE_BOOT: join(this.dir, 'boot.toml'),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const { child } = this;
    running.add(child);
    child.on('exit', () => running.delete(child));
    child.stdout.on('data', (text) => (this.log += text));
    child.stderr.on('data', (text) => (this.log += text));
  }

  kill(signal = 'SIGKILL') {
    const ended = new Promise((resolve) => this.child.once('exit', resolve));
    this.child.kill(signal);
    return ended;
  }

  /** The platform's readiness question. */
  isReady() {
    return new Promise((resolve) => {
      const req = http.get(
        {
          host: this.options.host,
          port: PORT.ready,
          path: '/harrierglade/readiness',
          agent: false,
          timeout: 900,
        },
        (res) => {
          res.resume();
          resolve(res.statusCode === 200);
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });
  }

  async untilReady(withinMs) {
    const endMs = performance.now() + withinMs;
    while (performance.now() < endMs) {
      if (await this.isReady()) return;
      await sleep(50);
    }
    throw new Error(`${this.options.name} is not ready within ${withinMs} ms`);
  }

  async close() {
    if (running.has(this.child)) await this.kill();
    rmSync(this.dir, { recursive: true, force: true });
  }
}

for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(2));
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Sends one request on a new channel; resolves to its status, 0 if the channel ended without an answer. */
export function send({ host, path, method = 'POST', headers, body = 'x', timeoutMs = 4000 }) {
  return new Promise((resolve) => {
    const req = http.request(
      { host, port: PORT.front, path, method, headers, agent: false },
      (res) => {
        let text = '';
        res.on('data', (piece) => (text += piece));
        res.on('end', () => resolve({ status: res.statusCode, headers: res.headers, text }));
        res.on('error', () => resolve({ status: 0, headers: {}, text }));
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy());
    req.on('error', () => resolve({ status: 0, headers: {}, text: '' }));
    req.end(body);
  });
}
