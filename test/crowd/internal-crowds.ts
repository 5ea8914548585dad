/** Crowds at ports whose clients should be other daemons, the platform or operators. */
import { chunks, crowdOf, type Crowd } from './crowd.js';

const KB = 1024;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const head = (method: string, path: string, headers = ''): string =>
  `${method} ${path} HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n${headers}\r\n`;

const input = encodeURIComponent('{"from":"e-1","sends":false}');
const CALL = head('GET', `/rpc/group?input=${input}`);
const POST = head('POST', '/rpc/rank', CHUNKED);
const BATCH = head('GET', `/rpc/${'hello,'.repeat(2000)}hello?batch=1`);
const LARGE = chunks(900 * KB, 60 * KB);

/** Crowds at any of these ports. */
export const POLL_CROWDS: Readonly<Record<string, readonly Crowd[]>> = {
  'chunks of 1 byte': [crowdOf(40, POST + chunks(160 * KB, 1))],
  'large chunks': [crowdOf(200, POST + LARGE)],
  'many requests whose responses are never read': [
    crowdOf(100, head('GET', '/metrics').repeat(3000), { readsNothing: true }),
  ],
  'heads that stop': [
    crowdOf(400, `GET /metrics HTTP/1.1\r\nHost: a\r\n${'ab:cd\r\n'.repeat(2000)}`),
  ],
  'more connections than the machine has descriptors, silent': [crowdOf(700, '')],
  'more connections than the machine has descriptors, at rest': [
    crowdOf(700, head('GET', '/metrics')),
  ],
};

/** Crowds at a port for the calls of daemons. */
export const CALL_CROWDS: Readonly<Record<string, readonly Crowd[]>> = {
  ...POLL_CROWDS,
  'chunks of 16 bytes': [crowdOf(80, POST + chunks(900 * KB, 16))],
  'chunks of 1 byte without a content type': [
    crowdOf(100, POST.replace('application/json', 'text/plain') + chunks(160 * KB, 1)),
  ],
  'chunks of 1 byte, ended properly': [crowdOf(40, `${POST}${chunks(160 * KB, 1)}0\r\n\r\n`)],
  'large chunks, from clients that come back at once': [
    crowdOf(100, POST + LARGE, { comesBack: true }),
  ],
  'large chunks, from clients that come back for seconds': [
    crowdOf(100, POST + LARGE, { comesBack: true, staysMs: 6000 }),
  ],
  'many calls whose responses are never read': [
    crowdOf(100, CALL.repeat(3000), { readsNothing: true }),
  ],
  'batches of many calls': [crowdOf(100, BATCH.repeat(10), { readsNothing: true })],
};
