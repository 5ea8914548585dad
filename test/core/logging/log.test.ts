import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BoundedLineWriter, formatLine } from '../../../src/core/logging/index.js';

function createSink(): { writableLength: number; lines: string[]; write(text: string): boolean } {
  const lines: string[] = [];
  return { writableLength: 0, lines, write: (text) => lines.push(text) > 0 };
}

test('a line holds key=value pairs; values with spaces are quoted, undefined ones are omitted', () => {
  assert.equal(
    formatLine({ event: 'start', port: 80, why: 'a b', none: undefined }),
    'event=start port=80 why="a b"',
  );
});

test('lines beyond the rate limit are dropped and counted', () => {
  const out = createSink();
  const lines = new BoundedLineWriter(out);
  for (let i = 0; i < 2000; i += 1) lines.write(`n=${i}`, 5000);
  assert.ok(out.lines.length <= 500);
  lines.write('n=later', 6000);
  assert.match(out.lines.at(-2) ?? '', /event=log\.dropped .*lines=1500/);
  assert.equal(out.lines.at(-1), 'n=later\n');
});

test('the lines that explain failed requests are not dropped because of routine lines', () => {
  const out = createSink();
  const lines = new BoundedLineWriter(out);
  for (let i = 0; i < 2000; i += 1) lines.write(`n=${i}`, 5000, true);
  lines.write('event=attempt.fault', 5000, false);
  assert.equal(out.lines.at(-1), 'event=attempt.fault\n');
});

test('a stalled reader costs bounded memory', () => {
  const out = createSink();
  const lines = new BoundedLineWriter(out);
  out.writableLength = 1024 * 1024;
  lines.write('n=1', 1000);
  assert.equal(out.lines.length, 0);
  out.writableLength = 0;
  lines.write('n=2', 1001);
  assert.equal(out.lines.length, 2);
});
