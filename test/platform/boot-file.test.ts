import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeBootFile, readBootFile } from '../../platform/boot-file.js';
import { bootText } from './boot-text.js';

const decode = (text: string) => decodeBootFile(text, 'boot.toml');

test('a boot file is decoded into settings; unknown fields are ignored', () => {
  const read = decode(`${bootText()}\n[later]\nwhat = "new"\n`);
  assert.ok(read.ok, String(read.val));
  const settings = read.unwrap();
  assert.equal(settings.instance, 'front-a-1');
  assert.deepEqual(settings.callers, { host: '127.0.0.1', port: 8227 });
  assert.equal(settings.internalPort, 7340);
  assert.equal(settings.gateway.keyFreshnessMs, 5000);
  assert.equal(settings.stopGraceMs, 8000);
  assert.equal(settings.retryShare, 0.2);
  assert.equal(settings.gateway.retryExtra, 90);
  assert.equal(settings.gateway.retryWindowMs, 10_000);
  assert.deepEqual([settings.relays, settings.control], [['127.0.0.1:8229'], undefined]);
  assert.equal(settings.gateway.memoryBytes, 256e6);
  const withMemory = decode(`${bootText()}\n[limits]\nmemory-mb = 350\n`);
  assert.equal(withMemory.unwrap().gateway.memoryBytes, 350e6);
  const control = bootText().replace('[listen]', '[listen]\ncontrol = "127.0.0.1:8229"');
  assert.deepEqual(decode(control).unwrap().control, { host: '127.0.0.1', port: 8229 });
  const withoutSeedNodes = bootText().replace(/^seed-nodes.*$/m, '');
  assert.deepEqual(decode(withoutSeedNodes).unwrap().relays, []);
});

test('keys are accepted without a time limit only if fail-closed is false', () => {
  const keyFreshnessMs = (text: string): number => decode(text).unwrap().gateway.keyFreshnessMs;
  assert.equal(keyFreshnessMs(bootText({ 'fail-closed': 'false' })), Number.POSITIVE_INFINITY);
  assert.equal(keyFreshnessMs(bootText().replace(/^fail-closed.*$/m, '')), 5000);
});

const INVALID_FILES: readonly (readonly [string, string, RegExp])[] = [
  ['invalid TOML', 'a = = 1', /boot\.toml: .*/],
  [
    'an empty name',
    bootText({ 'node-name': '""' }),
    /node-name: value "".* write a non-empty string/,
  ],
  ['an address without port', bootText({ front: '"10.1.0.40"' }), /listen\.front: .*IP:PORT/],
  ['a port out of range', bootText({ front: '"10.1.0.40:99999"' }), /listen\.front: .*IP:PORT/],
  ['a string for a number', bootText({ 'revoke-ms': '"soon"' }), /bounds\.revoke-ms: value "soon"/],
  ['an absurd duration', bootText({ 'revoke-ms': '1e300' }), /bounds\.revoke-ms: .* to 3600000/],
  ['a negative duration', bootText({ 'grace-s': '-1' }), /bounds\.grace-s: value -1/],
  [
    'a string for a boolean',
    bootText({ 'fail-closed': '"no"' }),
    /bounds\.fail-closed: value "no"; write true or false/,
  ],
  ['NaN', bootText({ 'revoke-ms': 'nan' }), /bounds\.revoke-ms: value NaN/],
  [
    'a number for a table',
    bootText().replace('[listen]', '[other]').replace(/^/, 'listen = 3\n'),
    /listen: expected a table; write it as \[listen\]/,
  ],
  [
    'a seed node that is not an address',
    bootText({ 'seed-nodes': '["front-a-1"]' }),
    /seed-nodes: value \["front-a-1"\]; write a list of IP:PORT/,
  ],
  [
    'a string for the list of seed nodes',
    bootText({ 'seed-nodes': '"127.0.0.1:8229"' }),
    /seed-nodes: .* a list/,
  ],
  [
    'no memory',
    `${bootText()}\n[limits]\nmemory-mb = 0\n`,
    /limits\.memory-mb: value 0; write a number from 1 to 1048576/,
  ],
  [
    'a string for the port range',
    bootText({ 'internal-port-range': '"7340"' }),
    /internal-port-range: .*FIRST PORT/,
  ],
];

for (const [description, text, message] of INVALID_FILES) {
  test(`a boot file with ${description} is refused with one line that names the field and the remedy`, () => {
    const read = decode(text);
    assert.ok(read.err);
    const reason = (read.val as Error).message;
    assert.match(reason, message);
    assert.ok(!reason.includes('\n'));
  });
}

test('an unset variable and a missing file are reported by name', () => {
  assert.match(
    (readBootFile({}).val as Error).message,
    /HARRIERGLADE_BOOT is unset or empty; set it to the path of the boot file/,
  );
  const read = readBootFile({ HARRIERGLADE_BOOT: '/nowhere/boot.toml' });
  assert.match((read.val as Error).message, /\/nowhere\/boot\.toml: ENOENT/);
});
