import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeTrait, traitsOf, type RequestContents } from '../../../src/core/crashes/index.js';

const CONTENTS: RequestContents = {
  service: 'model',
  route: 'r-1',
  organisation: 'org-1',
  path: '/x',
  caller: 'k',
  body: Buffer.from('b'),
  promptParts: ['5c1e', '91bd', 'e440'],
};

test('the trait of the whole request depends on each of path, caller and body', () => {
  const wholes = [
    CONTENTS,
    { ...CONTENTS, path: '/y' },
    { ...CONTENTS, caller: 'l' },
    { ...CONTENTS, body: Buffer.from('c') },
  ].map((contents) => traitsOf(contents)[0]);
  assert.equal(new Set(wholes).size, 4);
  assert.equal(traitsOf({ ...CONTENTS })[0], wholes[0]);
});

test('a request has its sender and the parts of its prompt as traits', () => {
  assert.deepEqual(traitsOf(CONTENTS).slice(1), [
    'sender:model:org-1:r-1',
    'first-part:model:5c1e',
    'part:model:91bd',
    'part:model:e440',
  ]);
  const anonymous = { ...CONTENTS, organisation: undefined, promptParts: [] };
  assert.equal(traitsOf(anonymous).length, 1);
});

test('callers cannot make traits longer or more than a message may hold', () => {
  const promptParts = Array.from({ length: 500 }, (_, i) => `${i}${'x"\n'.repeat(2000)}`);
  const traits = traitsOf({ ...CONTENTS, promptParts });
  assert.ok(traits.length <= 32, `${traits.length} traits`);
  for (const id of traits) assert.match(id, /^[\w.:-]{1,128}$/);
});

test('the refusal names the part of the prompt, or what else the requests have in common', () => {
  const [whole, sender, , part] = traitsOf(CONTENTS);
  assert.deepEqual(
    [whole, sender, part].map((id) => id && describeTrait(id)),
    ['path, key and body', 'organisation and route', 'prompt part "91bd"'],
  );
});
