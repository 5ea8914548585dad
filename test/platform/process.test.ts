/** The platform's programs as processes, before stand-ins of the store and of an endpoint. */
import assert from 'node:assert/strict';
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  rmSync,
  writeFileSync,
  writeSync,
} from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { listensForSignals } from '../../bench/soak/signals.js';
import { okAnswer, startRawEndpoint } from '../../fakes/raw-endpoint/index.js';
import { startStore } from '../../fakes/store/index.js';
import { until } from '../fixtures/until.js';
import { bootText } from './boot-text.js';

const MAIN = join(import.meta.dirname, '../../platform/main.js');

const CONFIG = {
  version: 3,
  routes: [
    {
      name: 'r-1',
      host: 'a.example',
      'path-prefix': '/x/',
      kind: 'non_idempotent',
      'timeout-ms': 3000,
      service: 's-1',
    },
  ],
  services: [{ name: 's-1', 'max-connections': 100 }],
  limits: {},
  tenants: [{ name: 'org-1', 'api-keys': ['k-1'] }],
};

/**
 * A loopback address of this run's own: another test file must neither take a port that is asked for here nor
 * be reached where nothing is meant to answer.
 */
const OWN_IP = `127.${1 + (process.pid % 200)}.0.1`;
const FRONT_PORT = 8227;
const READY_PORT = 8220;
const METRICS_PORT = 9464;
/** Ports where nothing listens. */
const AWAY = { app: 8228, store: 8223 };

interface Program {
  readonly child: ChildProcess;
  readonly boot: string;
  readonly output: () => string;
  readonly ended: Promise<number | null>;
}

function startProgram(
  role: string,
  boot: Record<string, string>,
  nodeArgs: readonly string[] = [],
): Program {
  const dir = mkdtempSync(join(tmpdir(), 'harrierglade-'));
  const path = join(dir, 'boot.toml');
  writeFileSync(path, bootText({ ip: `"${OWN_IP}"`, ...boot }));
  const child = spawn(process.execPath, [...nodeArgs, MAIN, role], {
    env: { ...process.env, HARRIERGLADE_BOOT: path },
  });
  let output = '';
  child.stdout.on('data', (text) => (output += String(text)));
  child.stderr.on('data', (text) => (output += String(text)));
  const ended = new Promise<number | null>((resolve) =>
    child.on('exit', (code) => {
      rmSync(dir, { recursive: true });
      resolve(code);
    }),
  );
  return { child, boot: path, output: () => output, ended };
}

interface Answer {
  readonly status: number;
  readonly body: string;
}

function ask(port: number, path: string, headers: Record<string, string> = {}): Promise<Answer> {
  return new Promise((resolve) => {
    const req = http.get({ host: OWN_IP, port, path, headers, agent: false }, (res) => {
      let body = '';
      res.on('data', (piece) => (body += String(piece)));
      res.on('end', () => resolve({ status: res.statusCode ?? 0, body }));
      res.on('error', () => resolve({ status: 0, body }));
    });
    req.on('error', () => resolve({ status: 0, body: '' }));
  });
}

const asking = (id: string): Record<string, string> => ({
  host: 'a.example',
  'x-request-id': id,
  authorization: 'Bearer k-1',
});

test('an entry becomes ready, serves, keeps running through SIGHUP, and finishes before it stops', async () => {
  const store = await startStore();
  const raw = await startRawEndpoint((req) =>
    setTimeout(() => req.socket.write(okAnswer(req, 'fine')), 400),
  );
  store.put('op/config', CONFIG);
  store.put('servers/i-1', {
    service: 's-1',
    address: raw.address,
    zone: 'a',
    slots: 4,
    state: 'ready',
  });
  const fields = {
    front: `"${OWN_IP}:${FRONT_PORT}"`,
    ready: `"${OWN_IP}:${READY_PORT}"`,
    address: `"127.0.0.1:${store.port}"`,
  };
  const entry = startProgram('entry', fields);
  const isReady = async (): Promise<boolean> =>
    (await ask(READY_PORT, '/harrierglade/readiness')).status === 200;
  try {
    await until('ready', isReady);
    assert.equal((await ask(FRONT_PORT, '/x/1', asking('q-1'))).body, 'fine');
    assert.match((await ask(METRICS_PORT, '/metrics')).body, /harrierglade_requests_total\{.*\} 1/);

    entry.child.kill('SIGHUP');
    await until('a line on the settings', () => entry.output().includes('event=settings.reread'));
    writeFileSync(entry.boot, 'broken = = 1');
    entry.child.kill('SIGHUP');
    await until('a line on settings kept', () => entry.output().includes('event=settings.kept'));
    assert.ok(await isReady());

    const running = ask(FRONT_PORT, '/x/2', asking('q-2'));
    await until('the request at the endpoint', () => raw.requests.length === 2);
    entry.child.kill('SIGTERM');
    await until('no longer ready', async () => !(await isReady()));
    assert.equal((await running).body, 'fine');
    assert.equal(await entry.ended, 0);
    assert.match(entry.output(), /event=process\.stopped .*cut=0/);
    assert.match(entry.output(), /event=request\.end .*request=q-2 .*outcome=answered/);
  } finally {
    entry.child.kill('SIGKILL');
    raw.close();
    store.close();
  }
});

/** Engine and store of an instance that reaches neither. */
const ALL_AWAY = {
  front: `"${OWN_IP}:${FRONT_PORT}"`,
  ready: `"${OWN_IP}:${READY_PORT}"`,
  app: `"${OWN_IP}:${AWAY.app}"`,
  address: `"${OWN_IP}:${AWAY.store}"`,
};

/** Prints a line when nothing listens for SIGTERM any more, loaded before the program. */
const SAY_WHEN_DEAF = `data:text/javascript,process.on('removeListener', (event) => {
  if (event === 'SIGTERM' && process.listenerCount(event) === 0) console.log('deaf');
})`;

for (const role of ['entry', 'agent'])
  test(`${role}: there is no moment at which it does not listen for a stop`, async () => {
    const program = startProgram(role, ALL_AWAY, ['--import', SAY_WHEN_DEAF]);
    try {
      await until('started', () => program.output().includes('event=process.started'));
      assert.doesNotMatch(program.output(), /^deaf$/m);
    } finally {
      program.child.kill('SIGKILL');
      await program.ended;
    }
  });

test('an agent keeps running through SIGHUP while its engine and the store are away', async () => {
  const agent = startProgram('agent', ALL_AWAY);
  try {
    await until('started', () => agent.output().includes('event=process.started'));
    agent.child.kill('SIGHUP');
    await until('a line on the settings', () => agent.output().includes('event=settings.reread'));
    await until('a line on the store', () => agent.output().includes('event=published.lost'));
    agent.child.kill('SIGTERM');
    assert.equal(await agent.ended, 0);
  } finally {
    agent.child.kill('SIGKILL');
  }
});

/** A program that waits for its boot file: a pipe that nobody has written to. */
function startLoading(role: string): { child: ChildProcess; boot: string; dir: string } {
  const dir = mkdtempSync(join(tmpdir(), 'harrierglade-'));
  const boot = join(dir, 'boot.toml');
  execFileSync('mkfifo', [boot]);
  const child = spawn(process.execPath, [MAIN, role], {
    env: { ...process.env, HARRIERGLADE_BOOT: boot },
    stdio: 'ignore',
  });
  return { child, boot, dir };
}

/** Writes into a pipe, whether somebody reads it by now or not. */
function fill(pipe: string, text: string): void {
  const fd = openSync(pipe, constants.O_RDWR | constants.O_NONBLOCK);
  writeSync(fd, text);
  closeSync(fd);
}

for (const role of ['entry', 'agent'])
  test(`${role}: settings that change while it loads do not end it, and a stop ends it well`, async () => {
    const { child, boot, dir } = startLoading(role);
    const ended = new Promise<unknown>((resolve) =>
      child.on('exit', (code, signal) => resolve(code ?? signal)),
    );
    try {
      await until('listens for signals', () => listensForSignals(child.pid ?? 0));
      child.kill('SIGHUP');
      child.kill('SIGTERM');
      await wait(100);
      assert.equal(child.signalCode, null);
      fill(boot, bootText({ ip: `"${OWN_IP}"` }));
      assert.equal(await ended, 0);
    } finally {
      child.kill('SIGKILL');
      rmSync(dir, { recursive: true });
    }
  });

test('a boot file that cannot be taken ends the start with one line and exit code 2', async () => {
  const entry = startProgram('entry', { 'revoke-ms': '"soon"' });
  assert.equal(await entry.ended, 2);
  assert.match(entry.output(), /bounds\.revoke-ms: value "soon"; write a number/);
  const nobody = startProgram('nobody', {});
  assert.equal(await nobody.ended, 2);
  assert.match(nobody.output(), /role nobody: name entry or agent/);
});
