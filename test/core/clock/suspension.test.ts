/**
 * Guards against ages that omit suspended time. The monotonic clock stops while an instance is
 * suspended, so held state looked as fresh as before: an entry resuming after 5 s accepted a key last
 * confirmed 7 s ago, where 5 s are allowed. With the monotonic clock instead of SuspensionClock, the
 * key below is accepted with status 200.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { SuspensionClock, type Clock } from '../../../src/core/clock/index.js';
import { okResponse, startRawEndpoint } from '../../../fakes/raw-endpoint/index.js';
import { config, endpoint, route, startGateway } from '../../gateway/harness.js';

/** Simulated clocks of an instance. */
class FakeInstanceClock implements Clock {
  private monotonicMs = 1000;
  private wallClockMs = 1_700_000_000_000;
  /** Time that has actually elapsed, ms. */
  elapsedMs = 0;

  readonly nowMs = (): number => this.monotonicMs;
  readonly wallMs = (): number => this.wallClockMs;

  run(ms: number): void {
    this.monotonicMs += ms;
    this.suspend(ms);
  }

  suspend(ms: number): void {
    this.elapsedMs += ms;
    this.wallClockMs += ms;
  }

  stepWallClock(byMs: number): void {
    this.wallClockMs += byMs;
  }
}

test('suspended time is counted at the first reading', () => {
  const instanceClock = new FakeInstanceClock();
  const steps: number[] = [];
  const clock = new SuspensionClock(instanceClock, (stepMs) => steps.push(stepMs));
  const startedAtMs = clock.nowMs();
  instanceClock.run(500);
  assert.equal(clock.nowMs() - startedAtMs, 500);
  instanceClock.suspend(5000);
  assert.equal(clock.nowMs() - startedAtMs, 5500);
  instanceClock.run(10);
  assert.equal(clock.nowMs() - startedAtMs, 5510);
  assert.deepEqual(steps, [5000]);
});

test('setting the wall clock back or slewing it changes no age', () => {
  const instanceClock = new FakeInstanceClock();
  const clock = new SuspensionClock(instanceClock);
  const startedAtMs = clock.nowMs();
  instanceClock.stepWallClock(-3000);
  for (let i = 0; i < 100; i += 1) {
    instanceClock.run(100);
    instanceClock.stepWallClock(1);
    clock.nowMs();
  }
  assert.equal(clock.nowMs() - startedAtMs, 10_000);
});

const EVENT = fc.record({
  kind: fc.constantFrom('run', 'suspend', 'ahead', 'back', 'read'),
  ms: fc.integer({ min: 0, max: 10_000 }),
});

test('the clock never goes back, and lags elapsed time by at most one slew per reading', () => {
  fc.assert(
    fc.property(fc.array(EVENT, { maxLength: 40 }), (events) => {
      const instanceClock = new FakeInstanceClock();
      const clock = new SuspensionClock(instanceClock);
      const startedAtMs = clock.nowMs();
      let last = startedAtMs;
      let readings = 1;
      for (const { kind, ms } of events) {
        if (kind === 'run') instanceClock.run(ms);
        if (kind === 'suspend') instanceClock.suspend(ms);
        // A set-back and a suspension between the same two readings cannot be detected.
        if (kind === 'ahead' || kind === 'back') {
          clock.nowMs();
          instanceClock.stepWallClock(kind === 'back' ? -ms : ms);
        }
        const nowMs = clock.nowMs();
        readings += 2;
        assert.ok(nowMs >= last);
        assert.ok(nowMs - startedAtMs >= instanceClock.elapsedMs - 100 * readings);
        last = nowMs;
      }
    }),
  );
});

test('an entry that resumes refuses a key known before the suspension until it is confirmed again', async () => {
  const raw = await startRawEndpoint((req) => req.socket.write(okResponse(req, 'x')));
  const instanceClock = new FakeInstanceClock();
  const harness = await startGateway(config([route()]), [endpoint('e-1', raw.address)], {
    clock: instanceClock,
  });
  try {
    assert.equal((await harness.send('q-1')).status, 200);
    instanceClock.run(2000);
    instanceClock.suspend(5000);
    const refused = await harness.send('q-2');
    assert.equal(refused.status, 503);
    assert.equal(harness.gateway.isReady(), false);
    harness.state.confirmConfig(harness.ctx.ageClock.nowMs());
    assert.equal((await harness.send('q-3')).status, 200);
  } finally {
    harness.close();
    raw.close();
  }
});
