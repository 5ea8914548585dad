/**
 * Guards against callers that send without end, fast or a byte at a time: memory that grows with what they send,
 * connections that stay open, and sound callers that are no longer served.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  FLOOD_DEADLINE_MS,
  SOUND_PATH,
  startEntryProcess,
  type EntryProcess,
} from '../entry-process.js';
import { rawHead, rawRequest } from '../raw-caller.js';

const MAX_GROWTH_BYTES = 48e6;
const FLOOD_MS = 1500;
/** Above all limits of the entry by what a busy machine takes, ms. */
const CLOSED_WITHIN_MS = 6000;
const BYTE_INTERVAL_MS = 10;
const CHUNK_BYTES = 64 * 1024;
const CHUNKED = 'Transfer-Encoding: chunked';
const DEADLINE = `X-Deadline-Ms: ${FLOOD_DEADLINE_MS}`;

interface Mode {
  /** Bytes before those that come without end. */
  readonly start: string;
  readonly endless: string;
  /** Statuses that a caller may read first, if any. */
  readonly statuses: readonly number[];
  /** Whether the connection may stay open, as all that it brings is legal. */
  readonly isLegal?: boolean;
}

const refused = (head: string): string => head.replace('/x/', '/none/');
const MODES: Record<string, Mode> = {
  head: { start: `${rawHead('q-1')}X-Long: `, endless: 'x', statuses: [431, 408] },
  'header fields': { start: rawHead('q-1'), endless: 'X-A: b\r\n', statuses: [431, 408] },
  body: {
    start: `${rawHead('q-1', CHUNKED, DEADLINE)}\r\n`,
    endless: '10\r\n0123456789abcdef\r\n',
    statuses: [413, 408],
  },
  'body of a request that is refused': {
    start: `${refused(rawHead('q-1', CHUNKED, DEADLINE))}\r\n`,
    endless: '10\r\n0123456789abcdef\r\n',
    statuses: [404],
  },
  'chunk extension': {
    start: `${rawHead('q-1', CHUNKED, DEADLINE)}\r\n1;`,
    endless: 'x',
    statuses: [413, 408],
  },
  'chunk extension of a request that is refused': {
    start: `${refused(rawHead('q-1', CHUNKED, DEADLINE))}\r\n1;`,
    endless: 'x',
    statuses: [404],
  },
  trailers: {
    start: `${rawHead('q-1', CHUNKED, DEADLINE)}\r\n1\r\nx\r\n0\r\n`,
    endless: 'X-A: b\r\n',
    statuses: [431, 408],
  },
  'requests sent ahead': {
    start: '',
    endless: rawRequest('q-1', '', DEADLINE),
    // A head by the byte is late, and so many requests at once are more than their service serves.
    statuses: [200, 408, 503, 504],
    isLegal: true,
  },
  'requests sent ahead that are refused': {
    start: '',
    endless: 'GET / HTTP/1.1\r\nHost:\r\n\r\n',
    statuses: [400],
    isLegal: true,
  },
};

let entry: EntryProcess;
before(async () => {
  entry = await startEntryProcess();
});
after(() => entry.stop());

interface Flooder {
  readonly close: () => void;
  readonly isClosed: () => boolean;
  readonly status: () => number | undefined;
}

/** Sends without end, as fast as the entry reads or a byte at a time. */
function flood({ start, endless }: Mode, byByte: boolean): Flooder {
  const socket = connect(entry.port, '127.0.0.1');
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => (text += text.length < 100 ? bytes.toString('latin1') : ''));
  socket.write(start);
  let sent = 0;
  const block = endless.repeat(Math.ceil(CHUNK_BYTES / endless.length));
  const writeBlock = (): void => {
    while (socket.writable && socket.write(block));
  };
  const timer = setInterval(() => {
    if (byByte && socket.writable) socket.write(endless[(sent += 1) % endless.length] ?? '');
  }, BYTE_INTERVAL_MS);
  if (byByte) socket.write(endless[0] ?? '');
  else socket.on('drain', writeBlock).on('connect', writeBlock);
  socket.on('close', () => clearInterval(timer));
  return {
    close: () => socket.destroy(),
    isClosed: () => socket.closed,
    status: () => (text === '' ? undefined : Number(text.split(' ')[1])),
  };
}

/** Sends sound requests until it is stopped; returns their statuses. */
function startSoundCaller(): { stop: () => Promise<number[]>; maxMs: () => number } {
  const statuses: number[] = [];
  let maxMs = 0;
  const agent = new http.Agent({ keepAlive: true });
  let isStopped = false;
  const send = (): Promise<number> =>
    new Promise((resolve) => {
      const headers = {
        host: 'a.example',
        'x-request-id': `s-${statuses.length}`,
        'x-deadline-ms': String(FLOOD_DEADLINE_MS),
        authorization: 'Bearer key-1',
      };
      const options = { host: '127.0.0.1', port: entry.port, path: SOUND_PATH, method: 'POST' };
      http
        .request({ ...options, agent, headers }, (res) => {
          res.resume().on('end', () => resolve(res.statusCode ?? 0));
        })
        .on('error', () => resolve(0))
        .end();
    });
  const done = (async () => {
    while (!isStopped) {
      const sentAtMs = performance.now();
      statuses.push(await send());
      maxMs = Math.max(maxMs, performance.now() - sentAtMs);
    }
    agent.destroy();
  })();
  return {
    maxMs: () => Math.round(maxMs),
    stop: async () => {
      isStopped = true;
      await done;
      return statuses;
    },
  };
}

async function untilClosed(flooders: readonly Flooder[]): Promise<void> {
  const untilMs = performance.now() + CLOSED_WITHIN_MS;
  while (performance.now() < untilMs && !flooders.every(({ isClosed }) => isClosed()))
    await wait(10);
}

for (const connections of [1, 40])
  for (const byByte of [false, true])
    for (const [name, mode] of Object.entries(MODES)) {
      const how = byByte ? 'a byte at a time' : 'fast';
      test(`${name} without end, ${how}, on ${connections} connections`, async (t) => {
        await wait(100);
        const { peakBytes: beforeBytes, cpuMs } = await entry.query('start');
        const startedAtMs = performance.now();
        const sound = startSoundCaller();
        const flooders = Array.from({ length: connections }, () => flood(mode, byByte));
        if (mode.isLegal) await wait(FLOOD_MS);
        else await untilClosed(flooders);
        const tookMs = performance.now() - startedAtMs;
        const statuses = await sound.stop();
        const closed = flooders.filter(({ isClosed }) => isClosed()).length;
        const used = await entry.query('measure');
        for (const { close } of flooders) close();
        const growth = used.peakBytes - beforeBytes;
        t.diagnostic(
          `grew ${Math.round(growth / 1e6)} MB from ${Math.round(beforeBytes / 1e6)}, ${Math.round(used.cpuMs - cpuMs)} ms of CPU in ${Math.round(tookMs)} ms, ` +
            `closed ${closed}, read ${[...new Set(flooders.map(({ status }) => status()))].join()}, sound ${statuses.length}, slowest ${sound.maxMs()} ms`,
        );
        assert.ok(growth <= MAX_GROWTH_BYTES, `grew by ${growth} bytes`);
        assert.deepEqual([...new Set(statuses)], [200]);
        if (!mode.isLegal) assert.equal(closed, connections);
        for (const { status } of flooders)
          assert.ok(status() === undefined || mode.statuses.includes(status() ?? 0), `${status()}`);
      });
    }
