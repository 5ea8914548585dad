import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { LoopbackProxy, resetConnection, WHOLE } from '../../bench/soak/proxy.js';

const HOST = '127.0.0.1';

interface Link {
  readonly proxy: LoopbackProxy;
  readonly near: Socket;
  /** What came at each end so far. */
  readonly got: { near: string; far: string };
  readonly far: Socket;
}

async function withLink(run: (link: Link) => Promise<void>): Promise<void> {
  const server = createServer();
  server.listen(0, HOST);
  await once(server, 'listening');
  const probe = createServer().listen(0, HOST);
  await once(probe, 'listening');
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  const target = { host: HOST, port: (server.address() as AddressInfo).port };
  const proxy = await LoopbackProxy.start({ host: HOST, port }, target);
  const near = connect(port, HOST);
  const [far] = (await once(server, 'connection')) as [Socket];
  const got = { near: '', far: '' };
  near.on('data', (piece) => (got.near += piece.toString()));
  far.on('data', (piece) => (got.far += piece.toString()));
  for (const socket of [near, far]) socket.on('error', () => undefined);
  try {
    await run({ proxy, near, far, got });
  } finally {
    proxy.close();
    near.destroy();
    server.close();
  }
}

test('a whole link carries both ways, in order', async () => {
  await withLink(async ({ near, far, got }) => {
    near.write('a');
    near.write('b');
    far.write('c');
    await wait(60);
    assert.deepEqual(got, { near: 'c', far: 'ab' });
  });
});

test('a delay makes pieces late and keeps their order', async () => {
  await withLink(async ({ proxy, near, got }) => {
    proxy.set({ delayMs: 150, cut: [] });
    near.write('a');
    await wait(60);
    assert.equal(got.far, '');
    near.write('b');
    await wait(500);
    assert.equal(got.far, 'ab');
  });
});

test('a cut of one way lets the other through, and gives up what it held when it is healed', async () => {
  await withLink(async ({ proxy, near, far, got }) => {
    proxy.set({ delayMs: 0, cut: ['out'] });
    near.write('a');
    far.write('c');
    await wait(100);
    assert.deepEqual(got, { near: 'c', far: '' });
    proxy.set(WHOLE);
    await wait(100);
    assert.equal(got.far, 'a');
  });
});

test('a reset is a reset at both ends', async () => {
  await withLink(async ({ proxy, near, far }) => {
    const errors: string[] = [];
    for (const socket of [near, far])
      socket.on('error', (err: NodeJS.ErrnoException) => errors.push(err.code ?? ''));
    proxy.reset();
    await wait(100);
    assert.deepEqual(errors, ['ECONNRESET', 'ECONNRESET']);
  });
});

test('a reset of a connection that is about to end, or to begin, closes it', async () => {
  const server = createServer((socket) => socket.resume().on('error', () => undefined));
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  try {
    const ending = connect(port, HOST);
    await once(ending, 'connect');
    ending.end();
    const beginning = connect(port, HOST);
    for (const socket of [ending, beginning]) {
      const closed = once(socket, 'close', { signal: AbortSignal.timeout(2000) });
      resetConnection(socket);
      await closed;
    }
  } finally {
    server.close();
  }
});
