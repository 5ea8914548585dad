/** Guards against clients that end an entry, or keep it from serving others, by what they send to its callers' port. */
import { test } from 'node:test';
import { checkCrowds } from './check.js';
import { chunks, crowdOf, type Crowd } from './crowd.js';
import { ENTRY_MACHINE } from './machine.js';
import { callerHead, MAX_BODY_BYTES, PORT, startEntry } from './programs.js';

const CHUNKED = 'Transfer-Encoding: chunked';
const KB = 1024;
const LAST_CHUNK = '0\r\n\r\n';

const post = (...headers: string[]): string => `${callerHead('POST', '/x/1', ...headers)}\r\n`;

const TINY = chunks(160 * KB, 1);
const LARGE = chunks(MAX_BODY_BYTES - 1, 64 * KB) + chunks(64 * KB - 1, 64 * KB - 1);
const manyRequests = (head: string): string => head.repeat(200);
const get = (path: string, ...headers: string[]): string =>
  `${callerHead('GET', path, ...headers)}\r\n`;

const LONG_HEAD = get('/slow/1', ...Array.from({ length: 1500 }, (_, i) => `X${i}: y`));
const TRAILERS = `${post(CHUNKED)}1\r\nx\r\n0\r\n${'ab:cd\r\n'.repeat(9000)}`;

const CROWDS: Readonly<Record<string, readonly Crowd[]>> = {
  'chunks of 1 byte, never ended': [crowdOf(40, post(CHUNKED) + TINY)],
  'chunks of 16 bytes, never ended': [crowdOf(80, post(CHUNKED) + chunks(900 * KB, 16))],
  'chunks of 1 byte with an extension': [
    crowdOf(40, post(CHUNKED) + chunks(160 * KB, 1, ';a=01234567890123456789')),
  ],
  'chunks of 1 byte, ended properly': [crowdOf(40, post(CHUNKED) + TINY + LAST_CHUNK)],
  'chunks of 1 byte, ended properly, to a slow endpoint': [
    crowdOf(40, `${callerHead('POST', '/slow/1', CHUNKED)}\r\n${TINY}${LAST_CHUNK}`),
  ],
  'large chunks, a byte short of the largest body': [crowdOf(200, post(CHUNKED) + LARGE)],
  'one chunk, a byte short of the largest body': [
    crowdOf(200, post(CHUNKED) + chunks(MAX_BODY_BYTES, MAX_BODY_BYTES).slice(0, -3)),
  ],
  'a length, a byte short of the largest body': [
    crowdOf(200, post(`Content-Length: ${MAX_BODY_BYTES}`) + 'x'.repeat(MAX_BODY_BYTES - 1)),
  ],
  'a length, far short of the largest body': [
    crowdOf(400, post(`Content-Length: ${MAX_BODY_BYTES}`) + 'x'.repeat(1000)),
  ],
  'a second crowd while a first one stays': [
    crowdOf(200, post(CHUNKED) + LARGE),
    crowdOf(100, post(CHUNKED) + TINY),
  ],
  'clients that come back at once': [
    crowdOf(100, post(CHUNKED) + chunks(400 * KB, 16), { comesBack: true }),
  ],
  'large chunks, from clients that come back for seconds': [
    crowdOf(150, post(CHUNKED) + LARGE, { comesBack: true, staysMs: 6000 }),
  ],
  'more clients than descriptors, which come back with large chunks for seconds': [
    crowdOf(400, post(CHUNKED) + LARGE, { comesBack: true, staysMs: 6000 }),
  ],
  'chunks of 1 byte with an unknown key': [
    crowdOf(80, `${post(CHUNKED).replace('k-1', 'k-9')}${TINY}`),
  ],
  'chunks of 1 byte with an unknown key, from clients that come back at once': [
    crowdOf(200, `${post(CHUNKED).replace('k-1', 'k-9')}${TINY}`, { comesBack: true }),
  ],
  'chunks of 1 byte on a path without a route': [
    crowdOf(80, `${callerHead('POST', '/none/', CHUNKED)}\r\n${TINY}`),
  ],
  'whole large bodies to a slow endpoint': [
    crowdOf(
      200,
      `${callerHead('POST', '/slow/1', `Content-Length: ${MAX_BODY_BYTES}`)}\r\n${'x'.repeat(MAX_BODY_BYTES)}`,
    ),
  ],
  'many requests without an id behind a sound one': [
    crowdOf(100, get('/slow/1') + manyRequests('GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n'), {
      comesBack: true,
    }),
  ],
  'many small requests at once': [crowdOf(300, manyRequests('GET / HTTP/1.1\r\nHost:\r\n\r\n'))],
  'small requests behind a slow one, unread': [
    crowdOf(300, get('/slow/1') + 'GET / HTTP/1.1\r\nHost:\r\n\r\n'.repeat(4000)),
  ],
  'heads of many short fields that stop': [
    crowdOf(400, callerHead('GET', '/x/1') + 'ab:cd\r\n'.repeat(9000)),
  ],
  'one long header field that stops': [
    crowdOf(400, `${callerHead('GET', '/x/1')}X-Long: ${'x'.repeat(60 * KB)}`),
  ],
  'trailers that stop': [crowdOf(400, TRAILERS)],
  'whole requests with long heads to a slow endpoint': [crowdOf(400, LONG_HEAD)],
  'large responses that are never read': [crowdOf(300, get('/x/large'), { readsNothing: true })],
  'many responses that are never read': [
    crowdOf(200, get('/none/').repeat(2000), { readsNothing: true }),
  ],
  'large responses in chunks of 1 byte': [crowdOf(40, get('/x/tiny'))],
  'a request sent behind a large response that is never read': [
    crowdOf(2, get('/x/huge'), {
      readsNothing: true,
      later: Buffer.from(post('Content-Length: 9000') + 'n'.repeat(9000)),
    }),
  ],
  'more connections than the machine has descriptors, with a chunk each': [
    crowdOf(700, `${post(CHUNKED)}1\r\nx\r\n`),
  ],
  'more connections than the machine has descriptors, silent': [crowdOf(700, '')],
  'more connections than the machine has descriptors, each at rest behind a request': [
    crowdOf(700, get('/x/1')),
  ],
  'more connections than the machine has descriptors, each with a slow request': [
    crowdOf(700, get('/slow/1')),
  ],
};

/** Crowds for which an entry has descriptors. */
const LARGE_CROWDS: Readonly<Record<string, Crowd>> = {
  'whole requests with long heads': crowdOf(900, LONG_HEAD),
  'trailers that stop': crowdOf(900, TRAILERS),
  'large responses that are never read': crowdOf(900, get('/x/large'), { readsNothing: true }),
};

for (const [name, crowd] of Object.entries(LARGE_CROWDS))
  test(`an entry with many descriptors outlives a crowd of callers: ${name}`, async (t) => {
    const entry = await startEntry({ ...ENTRY_MACHINE, descriptors: 2400 });
    try {
      await checkCrowds(entry, PORT.callers, [crowd], (text) => t.diagnostic(text));
    } finally {
      await entry.stop();
    }
  });

for (const [name, crowds] of Object.entries(CROWDS))
  test(`an entry outlives a crowd of callers: ${name}`, async (t) => {
    const entry = await startEntry();
    try {
      await checkCrowds(entry, PORT.callers, crowds, (text) => t.diagnostic(text));
    } finally {
      await entry.stop();
    }
  });
