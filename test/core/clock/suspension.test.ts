/**
 * Story: an instance may be suspended for seconds. The steady clock of its processes does not count that time, so that all they
 * knew seemed as young as before: an entry that woke after 5 s honoured a key whose last proof was 7 s old, where 5 s are
 * allowed.
 * Evidence: with the steady clock in place of the one under test the key below was honoured, status 200.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { SuspensionClock, type Clock } from '../../../src/core/clock/index.js';
import { okAnswer, startRawEndpoint } from '../../../fakes/raw-endpoint/index.js';
import { config, endpoint, route, startGateway } from '../../gateway/harness.js';

/** The clocks of a machine in a test. */
class Machine implements Clock {
  private steadyMs = 1000;
  private timeOfDayMs = 1_700_000_000_000;
  /** Time that has truly passed, ms. */
  passedMs = 0;

  readonly nowMs = (): number => this.steadyMs;
  readonly wallMs = (): number => this.timeOfDayMs;

  run(ms: number): void {
    this.steadyMs += ms;
    this.suspend(ms);
  }

  suspend(ms: number): void {
    this.passedMs += ms;
    this.timeOfDayMs += ms;
  }

  setTimeOfDay(byMs: number): void {
    this.timeOfDayMs += byMs;
  }
}

test('time for which the machine was suspended counts at the first look', () => {
  const machine = new Machine();
  const steps: number[] = [];
  const clock = new SuspensionClock(machine, (stepMs) => steps.push(stepMs));
  const startedAtMs = clock.nowMs();
  machine.run(500);
  assert.equal(clock.nowMs() - startedAtMs, 500);
  machine.suspend(5000);
  assert.equal(clock.nowMs() - startedAtMs, 5500);
  machine.run(10);
  assert.equal(clock.nowMs() - startedAtMs, 5510);
  assert.deepEqual(steps, [5000]);
});

test('the time of day that is set back, or slewed, changes no age', () => {
  const machine = new Machine();
  const clock = new SuspensionClock(machine);
  const startedAtMs = clock.nowMs();
  machine.setTimeOfDay(-3000);
  for (let i = 0; i < 100; i += 1) {
    machine.run(100);
    machine.setTimeOfDay(1);
    clock.nowMs();
  }
  assert.equal(clock.nowMs() - startedAtMs, 10_000);
});

const EVENT = fc.record({
  kind: fc.constantFrom('run', 'suspend', 'ahead', 'back', 'look'),
  ms: fc.integer({ min: 0, max: 10_000 }),
});

test('it never goes back, and is never behind the time that has passed by more than a slew for each look', () => {
  fc.assert(
    fc.property(fc.array(EVENT, { maxLength: 40 }), (events) => {
      const machine = new Machine();
      const clock = new SuspensionClock(machine);
      const startedAtMs = clock.nowMs();
      let last = startedAtMs;
      let looks = 1;
      for (const { kind, ms } of events) {
        if (kind === 'run') machine.run(ms);
        if (kind === 'suspend') machine.suspend(ms);
        // Set back and suspended between the same two looks is what it cannot see.
        if (kind === 'ahead' || kind === 'back') {
          clock.nowMs();
          machine.setTimeOfDay(kind === 'back' ? -ms : ms);
        }
        const nowMs = clock.nowMs();
        looks += 2;
        assert.ok(nowMs >= last);
        assert.ok(nowMs - startedAtMs >= machine.passedMs - 100 * looks);
        last = nowMs;
      }
    }),
  );
});

test('an entry that wakes honours no key that it knew before it was suspended, until it is proved anew', async () => {
  const raw = await startRawEndpoint((req) => req.socket.write(okAnswer(req, 'x')));
  const machine = new Machine();
  const under = await startGateway(config([route()]), [endpoint('e-1', raw.address)], {
    clock: machine,
  });
  try {
    assert.equal((await under.send('q-1')).status, 200);
    machine.run(2000);
    machine.suspend(5000);
    const refused = await under.send('q-2');
    assert.equal(refused.status, 503);
    assert.equal(under.gateway.isReady(), false);
    under.state.proveConfig(under.ctx.ageClock.nowMs());
    assert.equal((await under.send('q-3')).status, 200);
  } finally {
    under.close();
    raw.close();
  }
});
