import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { LoopbackProxy, resetConnection, HEALTHY_LINK } from '../../bench/soak/proxy.js';

const HOST = '127.0.0.1';

interface Link {
  readonly proxy: LoopbackProxy;
  readonly near: Socket;
  /** Data received at each end so far. */
  readonly received: { near: string; far: string };
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
  const received = { near: '', far: '' };
  near.on('data', (piece) => (received.near += piece.toString()));
  far.on('data', (piece) => (received.far += piece.toString()));
  for (const socket of [near, far]) socket.on('error', () => undefined);
  try {
    await run({ proxy, near, far, received });
  } finally {
    proxy.close();
    near.destroy();
    server.close();
  }
}

test('a healthy link forwards both directions in order', async () => {
  await withLink(async ({ near, far, received: got }) => {
    near.write('a');
    near.write('b');
    far.write('c');
    await wait(60);
    assert.deepEqual(got, { near: 'c', far: 'ab' });
  });
});

test('a client that reads a flood slowly, but without a stop, is not taken for one that does not read', async () => {
  await withLink(async ({ proxy, near, far }) => {
    let unread = 0;
    proxy.onUnread = () => (unread += 1);
    near.on('data', () => {
      near.pause();
      setTimeout(() => near.resume(), 10);
    });
    far.write(Buffer.alloc(64 << 20));
    await wait(4000);
    assert.equal(unread, 0);
    assert.ok(!near.destroyed);
  });
});

test('a delay postpones chunks and keeps their order', async () => {
  await withLink(async ({ proxy, near, received: got }) => {
    proxy.setLinkState({ delayMs: 150, blocked: [] });
    near.write('a');
    await wait(60);
    assert.equal(got.far, '');
    near.write('b');
    await wait(500);
    assert.equal(got.far, 'ab');
  });
});

test('a blocked direction leaves the other open and delivers held-back data once unblocked', async () => {
  await withLink(async ({ proxy, near, far, received: got }) => {
    proxy.setLinkState({ delayMs: 0, blocked: ['out'] });
    near.write('a');
    far.write('c');
    await wait(100);
    assert.deepEqual(got, { near: 'c', far: '' });
    proxy.setLinkState(HEALTHY_LINK);
    await wait(100);
    assert.equal(got.far, 'a');
  });
});

test('a reset is seen as a reset at both ends', async () => {
  await withLink(async ({ proxy, near, far }) => {
    const errors: string[] = [];
    for (const socket of [near, far])
      socket.on('error', (err: NodeJS.ErrnoException) => errors.push(err.code ?? ''));
    proxy.reset();
    await wait(100);
    assert.deepEqual(errors, ['ECONNRESET', 'ECONNRESET']);
  });
});

test('a reset of a connection that is ending or still connecting closes it', async () => {
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

test('connections whose client does not read are reset, and only those', async () => {
  await withLink(async ({ proxy, near, far }) => {
    const unread: number[] = [];
    proxy.onUnread = (unreadMs) => void unread.push(unreadMs);
    far.write(Buffer.alloc(24e6));
    await wait(2300);
    assert.deepEqual(unread, []);
    near.pause();
    far.write(Buffer.alloc(24e6));
    await new Promise((resolve) => far.on('close', resolve));
    assert.equal(unread.length, 1);
  });
});
