import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ByteCollector } from '../../../src/core/buffering/index.js';

test('a message is the same, however it is divided into chunks', () => {
  const chunks = fc.array(fc.uint8Array({ maxLength: 700 }), { maxLength: 30 });
  fc.assert(
    fc.property(chunks, fc.boolean(), (parts, isDeclared) => {
      const all = Buffer.concat(parts);
      const collector = new ByteCollector(isDeclared ? all.length : undefined);
      for (const part of parts) collector.push(Buffer.from(part));
      assert.ok(collector.toBuffer().equals(all));
      assert.equal(collector.size, all.length);
      assert.ok(collector.takenBytes >= all.length);
    }),
  );
});

test('a small chunk does not keep the buffer that it was read into', () => {
  const read = Buffer.alloc(64 * 1024);
  const collector = new ByteCollector();
  collector.push(read.subarray(0, 1));
  assert.ok(collector.takenBytes <= 512);
});

test('chunks of one byte take little more than the message', () => {
  const bytes = 1_000_000;
  const collector = new ByteCollector();
  const chunk = Buffer.from('x');
  for (let i = 0; i < bytes; i += 1) collector.push(chunk);
  assert.ok(collector.takenBytes <= 2 * bytes);
});
