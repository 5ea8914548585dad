/** Runs entry and agent as separate processes, with a fake store and a fake endpoint. */
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
import { handlesSignals } from '../../bench/soak/signals.js';
import { okResponse, startRawEndpoint } from '../../fakes/raw-endpoint/index.js';
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
 * A loopback address for this run only, so that other test files can neither occupy its ports nor
 * answer on the unused ones.
 */
const OWN_IP = `127.${1 + (process.pid % 200)}.0.1`;
const FRONT_PORT = 8227;
const READY_PORT = 8220;
const METRICS_PORT = 9464;
/** Ports on which nothing listens. */
const UNUSED_PORT = { app: 8228, store: 8223 };

interface RunningProgram {
  readonly child: ChildProcess;
  readonly boot: string;
  readonly output: () => string;
  readonly ended: Promise<number | null>;
}

function startProgram(
  role: string,
  boot: Record<string, string>,
  nodeArgs: readonly string[] = [],
): RunningProgram {
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

interface ReceivedResponse {
  readonly status: number;
  readonly body: string;
}

function sendRequest(
  port: number,
  path: string,
  headers: Record<string, string> = {},
): Promise<ReceivedResponse> {
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

const callerHeaders = (id: string): Record<string, string> => ({
  host: 'a.example',
  'x-request-id': id,
  authorization: 'Bearer k-1',
});

test('an entry becomes ready, serves, survives SIGHUP, and completes in-flight requests on SIGTERM', async () => {
  const store = await startStore();
  const endpoint = await startRawEndpoint((req) =>
    setTimeout(() => req.socket.write(okResponse(req, 'fine')), 400),
  );
  store.put('op/config', CONFIG);
  store.put('servers/i-1', {
    service: 's-1',
    address: endpoint.address,
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
    (await sendRequest(READY_PORT, '/harrierglade/readiness')).status === 200;
  try {
    await until('ready', isReady);
    assert.equal((await sendRequest(FRONT_PORT, '/x/1', callerHeaders('q-1'))).body, 'fine');
    assert.match(
      (await sendRequest(METRICS_PORT, '/metrics')).body,
      /harrierglade_requests_total\{.*\} 1/,
    );

    entry.child.kill('SIGHUP');
    await until('the log line of the re-read settings', () =>
      entry.output().includes('event=settings.reread'),
    );
    writeFileSync(entry.boot, 'broken = = 1');
    entry.child.kill('SIGHUP');
    await until('the log line of the kept settings', () =>
      entry.output().includes('event=settings.kept'),
    );
    assert.ok(await isReady());

    const inFlight = sendRequest(FRONT_PORT, '/x/2', callerHeaders('q-2'));
    await until('the request at the endpoint', () => endpoint.requests.length === 2);
    entry.child.kill('SIGTERM');
    await until('no longer ready', async () => !(await isReady()));
    assert.equal((await inFlight).body, 'fine');
    assert.equal(await entry.ended, 0);
    assert.match(entry.output(), /event=process\.stopped .*cut=0/);
    assert.match(entry.output(), /event=request\.end .*request=q-2 .*outcome=answered/);
  } finally {
    entry.child.kill('SIGKILL');
    endpoint.close();
    store.close();
  }
});

/** Longer than a stopping entry serves new requests: it exits then unless requests are in flight. */
const READS_AFTER_MS = 3200;

/**
 * A response that the entry had written but not sent was no longer counted as in flight, so that a planned stop cut it off.
 */
test('a stopping entry waits for a caller that reads its response slowly', async () => {
  const store = await startStore();
  // Beyond what the system buffers for a connection.
  const body = 'x'.repeat(7_000_000);
  const endpoint = await startRawEndpoint((req) => req.socket.write(okResponse(req, body)));
  const [route] = CONFIG.routes;
  store.put('op/config', { ...CONFIG, routes: [{ ...route, 'timeout-ms': 6000 }] });
  store.put('servers/i-1', {
    service: 's-1',
    address: endpoint.address,
    zone: 'a',
    slots: 4,
    state: 'ready',
  });
  const entry = startProgram('entry', {
    front: `"${OWN_IP}:${FRONT_PORT}"`,
    ready: `"${OWN_IP}:${READY_PORT}"`,
    address: `"127.0.0.1:${store.port}"`,
  });
  try {
    await until(
      'ready',
      async () => (await sendRequest(READY_PORT, '/harrierglade/readiness')).status === 200,
    );
    let length = 0;
    const isComplete = new Promise<boolean>((resolve) => {
      const options = { host: OWN_IP, port: FRONT_PORT, path: '/x/1', agent: false };
      const req = http.get({ ...options, headers: callerHeaders('q-1') }, (res) => {
        res.on('data', (piece: Buffer) => (length += piece.length)).pause();
        setTimeout(() => res.resume(), READS_AFTER_MS);
        res.on('error', () => undefined);
        res.on('close', () => resolve(res.complete));
      });
      req.on('error', () => resolve(false));
    });
    await until('the request at the endpoint', () => endpoint.requests.length === 1);
    await wait(200);
    entry.child.kill('SIGTERM');
    assert.deepEqual([await isComplete, length], [true, body.length]);
    assert.equal(await entry.ended, 0);
    assert.match(entry.output(), /event=process\.stopped .*cut=0/);
  } finally {
    entry.child.kill('SIGKILL');
    endpoint.close();
    store.close();
  }
});

/** Addresses of an instance whose engine and store are unreachable. */
const UNREACHABLE = {
  front: `"${OWN_IP}:${FRONT_PORT}"`,
  ready: `"${OWN_IP}:${READY_PORT}"`,
  app: `"${OWN_IP}:${UNUSED_PORT.app}"`,
  address: `"${OWN_IP}:${UNUSED_PORT.store}"`,
};

/** Preloaded module that prints a line when the last SIGTERM handler is removed. */
const REPORT_MISSING_HANDLER = `data:text/javascript,process.on('removeListener', (event) => {
  if (event === 'SIGTERM' && process.listenerCount(event) === 0) console.log('unhandled');
})`;

for (const role of ['entry', 'agent'])
  test(`${role}: a handler for SIGTERM is installed at any time during startup`, async () => {
    const program = startProgram(role, UNREACHABLE, ['--import', REPORT_MISSING_HANDLER]);
    try {
      await until('started', () => program.output().includes('event=process.started'));
      assert.doesNotMatch(program.output(), /^unhandled$/m);
    } finally {
      program.child.kill('SIGKILL');
      await program.ended;
    }
  });

test('an agent survives SIGHUP while its engine and the store are unreachable', async () => {
  const agent = startProgram('agent', UNREACHABLE);
  try {
    await until('started', () => agent.output().includes('event=process.started'));
    agent.child.kill('SIGHUP');
    await until('the log line of the re-read settings', () =>
      agent.output().includes('event=settings.reread'),
    );
    await until('the log line of the unreachable store', () =>
      agent.output().includes('event=published.lost'),
    );
    agent.child.kill('SIGTERM');
    assert.equal(await agent.ended, 0);
  } finally {
    agent.child.kill('SIGKILL');
  }
});

/** Starts a program that blocks on reading its boot file, a named pipe without a writer. */
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

/** Writes to a named pipe without waiting for a reader. */
function writeToPipe(pipe: string, text: string): void {
  const fd = openSync(pipe, constants.O_RDWR | constants.O_NONBLOCK);
  writeSync(fd, text);
  closeSync(fd);
}

for (const role of ['entry', 'agent'])
  test(`${role}: while loading, SIGHUP is ignored and SIGTERM exits with code 0`, async () => {
    const { child, boot, dir } = startLoading(role);
    const ended = new Promise<unknown>((resolve) =>
      child.on('exit', (code, signal) => resolve(code ?? signal)),
    );
    try {
      await until('listens for signals', () => handlesSignals(child.pid ?? 0));
      child.kill('SIGHUP');
      child.kill('SIGTERM');
      await wait(100);
      assert.equal(child.signalCode, null);
      writeToPipe(boot, bootText({ ip: `"${OWN_IP}"` }));
      assert.equal(await ended, 0);
    } finally {
      child.kill('SIGKILL');
      rmSync(dir, { recursive: true });
    }
  });

test('an invalid boot file or role ends the start with one line and exit code 2', async () => {
  const entry = startProgram('entry', { 'revoke-ms': '"soon"' });
  assert.equal(await entry.ended, 2);
  assert.match(entry.output(), /bounds\.revoke-ms: value "soon"; write a number/);
  const unknownRole = startProgram('nobody', {});
  assert.equal(await unknownRole.ended, 2);
  assert.match(unknownRole.output(), /role nobody: use entry or agent/);
});
