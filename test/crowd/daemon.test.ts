/** Guards against clients that end a daemon of the product's own interface. */
import { test } from 'node:test';
import { checkCrowds } from './check.js';
import { chunks, crowdOf, type Crowd } from './crowd.js';
import { CALL_CROWDS, POLL_CROWDS } from './internal-crowds.js';
import { MAX_BODY_BYTES, ownHead, startDaemon } from './programs.js';

const KB = 1024;
const CHUNKED = 'Transfer-Encoding: chunked';

const CALLER_CROWDS: Readonly<Record<string, readonly Crowd[]>> = {
  'chunks of 1 byte, never ended': [crowdOf(40, `${ownHead(CHUNKED)}\r\n${chunks(160 * KB, 1)}`)],
  'large chunks, short of the largest body': [
    crowdOf(200, `${ownHead(CHUNKED)}\r\n${chunks(MAX_BODY_BYTES - KB, 60 * KB)}`),
  ],
  'chunks of 1 byte with an unknown key': [
    crowdOf(80, `${ownHead(CHUNKED).replace('Bearer ', 'Bearer not-')}\r\n${chunks(160 * KB, 1)}`),
  ],
  'more connections than the machine has descriptors': [crowdOf(700, '')],
};

const AGENT_CROWDS = Object.fromEntries(
  ['chunks of 1 byte', 'large chunks', 'many calls whose responses are never read'].map((name) => [
    name,
    CALL_CROWDS[name] ?? [],
  ]),
);

const PORTS = [
  ['entry', 'callers', CALLER_CROWDS],
  ['entry', 'daemons', CALL_CROWDS],
  ['entry', 'operators', POLL_CROWDS],
  ['agent', 'daemons', AGENT_CROWDS],
] as const;

for (const [role, port, allCrowds] of PORTS)
  for (const [name, crowds] of Object.entries(allCrowds))
    test(`a daemon (${role}) outlives a crowd at its port for ${port}: ${name}`, async (t) => {
      const daemon = await startDaemon(role);
      try {
        await checkCrowds(daemon, daemon.ports[port], crowds, (text) => t.diagnostic(text));
      } finally {
        await daemon.stop();
      }
    });
