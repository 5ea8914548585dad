import assert from 'node:assert/strict';
import { test } from 'node:test';
import { request } from 'undici';
import { closeServer, ownHost, serveLoopback } from '../../fakes/http/index.js';

test('processes that run at once have loopback addresses of their own', () => {
  const hosts = new Set(Array.from({ length: 4096 }, (_, pid) => ownHost(100_000 + pid)));
  assert.equal(hosts.size, 4096);
  for (const host of hosts) assert.match(host, /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/);
  assert.ok(!hosts.has('127.0.0.1'));
});

test('what a test starts is not met at the address that others use', async () => {
  const { server, port, url } = await serveLoopback((_, res) => {
    res.end('mine');
    return Promise.resolve();
  });
  assert.equal(await (await request(url)).body.text(), 'mine');
  await assert.rejects(request(`http://127.0.0.1:${port}`));
  closeServer(server);
});
