/** Guards against a crowd of connections keeping ordinary clients out. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ConnectionLimit,
  type ConnectionState,
  type LimitedConnection,
} from '../../../src/runtime/connections/connection-limit.js';
import { shareConnections } from '../../../src/runtime/connections/index.js';

const MAX_CONNECTIONS = 4;

function createLimit(): {
  add: (name: string, state: ConnectionState, sinceMs: number) => boolean;
  closed: string[];
} {
  const closed: string[] = [];
  const limit = new ConnectionLimit<LimitedConnection>(MAX_CONNECTIONS);
  return {
    closed,
    add: (name, state, sinceMs) =>
      limit.add({ state: () => state, sinceMs, close: () => closed.push(name) }),
  };
}

test('clients that have sent no whole request are closed first, the longest of them', () => {
  const { add, closed } = createLimit();
  add('idle', 'idle', 0);
  add('new', 'arriving', 20);
  add('old', 'arriving', 10);
  add('waiting', 'waiting', 0);
  assert.ok(add('next', 'arriving', 30));
  assert.deepEqual(closed, ['old']);
});

test('a connection at rest is closed before one whose request waits', () => {
  const { add, closed } = createLimit();
  for (const name of ['r-1', 'r-2']) add(name, 'running', 0);
  add('waiting', 'waiting', 0);
  add('idle', 'idle', 10);
  assert.ok(add('next', 'running', 20));
  assert.ok(add('after it', 'running', 30));
  assert.deepEqual(closed, ['idle', 'waiting']);
});

test('a connection whose request may run is never closed for a new one', () => {
  const { add, closed } = createLimit();
  for (let i = 0; i < MAX_CONNECTIONS; i += 1) add(`r-${i}`, 'running', i);
  assert.ok(!add('next', 'arriving', 10));
  assert.deepEqual(closed, []);
});

test('the shares of all servers leave descriptors for the connections that a process opens', () => {
  for (const descriptors of [64, 600, 1024, 1494, 4200])
    for (const role of ['entry', 'agent'] as const) {
      const { callers, daemons, operators } = shareConnections(descriptors, role);
      const accepted = callers + daemons + 2 * operators;
      assert.ok(accepted < 0.8 * descriptors, `${role} ${descriptors}: ${accepted}`);
    }
  assert.equal(shareConnections(4200, 'entry').callers, 1800);
});
