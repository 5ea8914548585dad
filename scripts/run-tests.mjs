/**
 * Runs the compiled tests with Node's test runner. Tests listed in KNOWN-RED.txt may fail, and their
 * names are printed. Tests of crowds measure what a process takes, and run alone behind all others.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

const TEST_DIR = 'dist/test';
const CROWD_DIR = join(TEST_DIR, 'crowd');
/** Source folder of the tests whose entries do not count against the maximum. */
const UNCOUNTED = 'test/crowd/';
const MAX_KNOWN_RED = 3;

function testFiles(dir) {
  return readdirSync(dir, { withFileTypes: true }).flatMap((entry) => {
    const path = join(dir, entry.name);
    if (entry.isDirectory()) return testFiles(path);
    return entry.name.endsWith('.test.js') ? [path] : [];
  });
}

/** Entries of the tests that may fail: name, file and further fields. */
function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  const lines = readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .map((line) => line.trim());
  return lines
    .filter((line) => line !== '' && !line.startsWith('#'))
    .map((line) => line.split('|').map((field) => field.trim()))
    .map(([name, file = '']) => ({ name, file }));
}

/** Runs some test files; returns the names of the tests that failed. */
function run(files, options) {
  const args = ['--test', '--test-reporter=spec', ...options, ...files];
  const result = spawnSync(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
    encoding: 'utf8',
    maxBuffer: 1 << 28,
  });
  process.stdout.write(result.stdout);
  if (result.status === 0) return [];
  const failed = [
    ...result.stdout.matchAll(/^\s*(?:✖|not ok \d+ -) (.+?)(?: \([\d.]+ms\))?$/gm),
  ].map((m) => m[1].trim());
  const names = failed.filter((name) => name !== 'failing tests:' && !name.endsWith('.test.js'));
  return names.length > 0 ? names : [`the test runner ended with ${result.status}`];
}

const knownRed = readKnownRed();
const counted = knownRed.filter(({ file }) => !file.startsWith(UNCOUNTED));
if (counted.length > MAX_KNOWN_RED) {
  console.error(`KNOWN-RED.txt lists ${counted.length} tests; the limit is ${MAX_KNOWN_RED}`);
  process.exit(1);
}
const files = testFiles(TEST_DIR);
const isCrowd = (file) => file.startsWith(CROWD_DIR);
const failed = [
  // Each test of the whole system starts a dozen processes, so only a few files run concurrently.
  ...run(
    files.filter((file) => !isCrowd(file)),
    ['--test-concurrency=3', '--test-timeout=120000'],
  ),
  // The time limit is that of a whole file.
  ...run(files.filter(isCrowd), ['--test-concurrency=1', '--test-timeout=900000']),
];
if (failed.length === 0) process.exit(0);
for (const { name } of knownRed) console.log(`known red: ${name}`);
const unexpected = failed.filter((name) => knownRed.every((entry) => entry.name !== name));
for (const name of new Set(unexpected)) console.log(`failed: ${name}`);
process.exit(unexpected.length === 0 ? 0 : 1);
