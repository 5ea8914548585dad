/**
 * Runs the compiled tests with Node's test runner. Tests listed in KNOWN-RED.txt may fail, and their
 * names are printed.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

const TEST_DIR = 'dist/test';
const MAX_KNOWN_RED = 3;

function testFiles(dir) {
  return readdirSync(dir, { withFileTypes: true }).flatMap((entry) => {
    const path = join(dir, entry.name);
    if (entry.isDirectory()) return testFiles(path);
    return entry.name.endsWith('.test.js') ? [path] : [];
  });
}

/** Names of the tests that may fail: the first field of each line. */
function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  const lines = readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .map((line) => line.trim());
  return lines
    .filter((line) => line !== '' && !line.startsWith('#'))
    .map((line) => line.split('|')[0].trim());
}

const knownRed = readKnownRed();
if (knownRed.length > MAX_KNOWN_RED) {
  console.error(`KNOWN-RED.txt lists ${knownRed.length} tests; the limit is ${MAX_KNOWN_RED}`);
  process.exit(1);
}
// Each test of the whole system starts a dozen processes, so only a few files run concurrently.
const args = [
  '--test',
  '--test-reporter=spec',
  '--test-concurrency=3',
  '--test-timeout=120000',
  ...testFiles(TEST_DIR),
];
const result = spawnSync(process.execPath, args, {
  stdio: ['ignore', 'pipe', 'inherit'],
  encoding: 'utf8',
  maxBuffer: 1 << 28,
});
process.stdout.write(result.stdout);
if (result.status === 0) process.exit(0);
const failed = [...result.stdout.matchAll(/^\s*(?:✖|not ok \d+ -) (.+?)(?: \([\d.]+ms\))?$/gm)].map(
  (m) => m[1].trim(),
);
const unexpected = failed.filter(
  (name) => name !== 'failing tests:' && !knownRed.includes(name) && !name.endsWith('.test.js'),
);
for (const name of knownRed) console.log(`known red: ${name}`);
process.exit(knownRed.length > 0 && unexpected.length === 0 && failed.length > 0 ? 0 : 1);
