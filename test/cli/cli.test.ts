/** The command line as operators run it, in a separate process. */
import assert from 'node:assert/strict';
import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { parseDaemonPorts, signalProcess, startProcess } from '../../bench/harness/index.js';
import { FakePlatform } from '../../fakes/platform/index.js';
import { sampleBody } from '../fixtures/configuration.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
let folder: string;
let platform: FakePlatform;

before(async () => {
  folder = mkdtempSync(join(tmpdir(), 'harrierglade-'));
  platform = await FakePlatform.start();
  platform.publish(sampleBody(), 0);
});

after(() => {
  platform.close();
  rmSync(folder, { recursive: true });
});

function run(
  program: 'cli' | 'daemon',
  ...args: string[]
): Promise<{ code: number; out: string; err: string }> {
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [join(ROOT, 'dist/src', program, 'main.js'), ...args],
      (err, out, errText) => {
        resolve({ code: err ? Number(err.code) : 0, out, err: errText });
      },
    );
  });
}

function file(name: string, data: unknown): string {
  const path = join(folder, name);
  writeFileSync(path, typeof data === 'string' ? data : JSON.stringify(data));
  return path;
}

const INTENT = {
  id: 'morning-bank',
  start: new Date(Date.now() + 3_600_000).toISOString(),
  durationMinutes: 60,
  organisations: ['rwandair'],
  surge: [{ target: 'passenger-summary', requestsPerSecond: 5, tokensPerRequest: 60 }],
  sacrifice: [],
};

test('plan and confirm turn an intent into a document, and confirm refuses a plan of an older version', async () => {
  const plan = join(folder, 'plan.json');
  const planned = await run(
    'cli',
    'plan',
    file('intent.json', INTENT),
    '--platform',
    platform.url,
    '--out',
    plan,
  );
  assert.equal(planned.code, 0);
  assert.match(planned.out, /Capacity against surge/);
  const out = join(folder, 'document.json');
  const confirmed = await run('cli', 'confirm', plan, '--platform', platform.url, '--out', out);
  assert.equal(confirmed.code, 0);
  assert.match(confirmed.err, /changes against version 1: events; publish with basedOn 1/);
  const publication = JSON.parse(readFileSync(out, 'utf8')) as {
    basedOn: number;
    body: ReturnType<typeof sampleBody>;
  };
  platform.publish(publication.body, publication.basedOn);
  const outdated = await run('cli', 'confirm', plan, '--platform', platform.url);
  assert.equal(outdated.code, 1);
  assert.match(outdated.err, /The plan rests on version 1, in force is 2/);
});

test('plan suggests --daemon if the newest version is refused', async () => {
  platform.publish(sampleBody(), 0);
  const refused = await run('cli', 'plan', file('intent.json', INTENT), '--platform', platform.url);
  assert.equal(refused.code, 1);
  assert.match(refused.err, /--daemon HOST:PORT/);
});

test('check reports the errors in settings and configurations', async () => {
  const bad = await run('cli', 'check', file('settings.json', { role: 'entri' }));
  assert.equal(bad.code, 1);
  assert.match(bad.err, /use one of entry, agent/);
  const good = await run(
    'cli',
    'check',
    file('body.json', sampleBody()),
    '--kind',
    'configuration',
  );
  assert.equal(good.code, 0);
  const twice = { ...sampleBody(), models: [...sampleBody().models, ...sampleBody().models] };
  const unsafe = await run('cli', 'check', file('next.json', twice), '--kind', 'configuration');
  assert.equal(unsafe.code, 1);
  assert.match(unsafe.err, /model "passenger-summary" stands twice; keep one/);
});

test('check accepts the shipped examples', async () => {
  for (const site of ['nyungwe', 'sao-mai']) {
    const body = await run(
      'cli',
      'check',
      join(ROOT, 'examples', site, 'configuration.json'),
      '--kind',
      'configuration',
    );
    assert.equal(body.code, 0, body.err);
    for (const name of ['entry.json', 'agent-model.json']) {
      const settings = await run('cli', 'check', join(ROOT, 'examples', site, name));
      assert.equal(settings.code, 0, settings.err);
    }
    const intent = await run(
      'cli',
      'check',
      join(ROOT, 'examples', site, 'intent.json'),
      '--kind',
      'intent',
    );
    assert.equal(intent.code, 0, intent.err);
  }
});

test('unreadable input, wrong usage and unreachable services have their documented exit codes', async () => {
  assert.equal((await run('cli', 'check', '/nowhere.json')).code, 2);
  assert.equal((await run('cli', 'check', file('x.json', {}), '--kind', 'setings')).code, 2);
  assert.equal((await run('cli', 'nonsense')).code, 2);
  assert.equal((await run('cli', 'status', '127.0.0.1:1')).code, 3);
  assert.equal((await run('cli', '--help')).code, 0);
});

test('a reader that closes the pipe early ends the command with exit code 0 and no message', async () => {
  const end = (second: number, request: string): string =>
    `time=2026-01-01T00:00:${String(second).padStart(2, '0')}Z event=request.end request=${request} outcome=answered`;
  const log = join(folder, 'entry.log');
  writeFileSync(log, Array.from({ length: 5000 }, (_, i) => end(i % 60, `q-${i}`)).join('\n'));
  const args = [join(ROOT, 'dist/src/cli/main.js'), 'account', log, '--span', '0.02'];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
  let err = '';
  child.stderr.on('data', (text) => (err += String(text)));
  child.stdout.once('data', () => child.stdout.destroy());
  const [code] = (await once(child, 'close')) as [number];
  assert.deepEqual([code, err], [0, '']);
});

test('the daemon refuses invalid settings with exit code 2', async () => {
  const daemon = await run(
    'daemon',
    '--settings',
    file('settings.json', { role: 'entry', lisen: {} }),
  );
  assert.equal(daemon.code, 2);
  assert.match(daemon.err, /did you mean "listen"/);
});

test('the built daemon starts with valid settings and exits with code 0 on SIGTERM', async () => {
  const anyPort = { host: '127.0.0.1', port: 0 };
  const settings = file('good.json', {
    role: 'entry',
    instance: 'kgl-a-entry-1',
    dataCentre: 'kgl-a',
    platform: { url: platform.url },
    listen: { callers: anyPort, daemons: anyPort, operators: anyPort },
  });
  const main = 'src/daemon/main.js';
  const started = await startProcess('daemon', main, ['--settings', settings], parseDaemonPorts);
  const status = await run('cli', 'status', `127.0.0.1:${started.value.operators}`);
  assert.match(status.out, /kgl-a-entry-1 .*ready/);
  signalProcess(started.process, 'SIGTERM');
  assert.equal(await started.process.exited, 0);
});
