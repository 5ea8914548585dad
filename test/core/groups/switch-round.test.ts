import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { asId, type Incarnation } from '../../../src/core/ids/index.js';
import {
  ESTIMATED_COUNT_BYTES,
  nextEpoch,
  ESTIMATED_ORDER_BYTES,
  SwitchParticipant,
  MAX_ROUND_BYTES_PER_SECOND,
  roundDelayMs,
  callEachRank,
  runSwitch,
  type CallRank,
  type EngineOrder,
  type EngineState,
  type OrderOutcome,
  type ExpertMap,
  type RankOrder,
  type RankEngine,
} from '../../../src/core/groups/index.js';

const INITIAL: ExpertMap = { id: 'm0', layers: [[[0], [1], [2]]] };
const RANKS = 3;

/** Simulated engine of one rank, whose state survives restarts of its agent. */
class SimEngine implements RankEngine {
  step = 0;
  fence = 0;
  map = INITIAL;
  armed: { epoch: number; map: ExpertMap; step: number; confirmed: boolean } | undefined;
  lastConfirmed = 0;
  readonly usedMapIds: string[] = [];

  constructor(
    private readonly checksFences: boolean,
    private readonly holdsWhenArmed: boolean,
  ) {}

  read(): Promise<EngineState> {
    const armed = this.armed && {
      epoch: this.armed.epoch,
      mapId: this.armed.map.id,
      step: this.armed.step,
      confirmed: this.armed.confirmed,
    };
    return Promise.resolve({
      step: this.step,
      map: this.map,
      armed,
      lastConfirmed: this.lastConfirmed,
    });
  }

  order(order: EngineOrder): Promise<OrderOutcome> {
    if (this.checksFences && order.epoch < this.fence) return Promise.resolve('fenced');
    if (this.checksFences) this.fence = order.epoch;
    return Promise.resolve(this.apply(order) ? 'done' : 'refused');
  }

  mustHold(): boolean {
    return (
      this.holdsWhenArmed &&
      this.armed !== undefined &&
      !this.armed.confirmed &&
      this.step + 1 >= this.armed.step
    );
  }

  enterNext(): void {
    this.step += 1;
    if (this.armed?.confirmed && this.step >= this.armed.step) {
      this.map = this.armed.map;
      this.armed = undefined;
    }
    this.usedMapIds.push(this.map.id);
  }

  private apply(order: EngineOrder): boolean {
    if (order.kind === 'arm') {
      if (this.armed || order.step <= this.step) return false;
      this.armed = { epoch: order.epoch, map: order.map, step: order.step, confirmed: false };
    }
    if (order.kind === 'confirm') {
      if (this.armed?.epoch === order.target) this.armed = { ...this.armed, confirmed: true };
      else if (order.target > this.lastConfirmed) return false;
      this.lastConfirmed = Math.max(this.lastConfirmed, order.target);
    }
    if (order.kind === 'abort' && this.armed?.epoch === order.target) {
      if (this.armed.confirmed) return false;
      this.armed = undefined;
    }
    return true;
  }
}

interface Variant {
  readonly checksFences: boolean;
  readonly holdsWhenArmed: boolean;
}

const CORRECT: Variant = { checksFences: false, holdsWhenArmed: true };

/** Simulated ranks, agents and coordinators; every message may be delayed or lost. */
class SimCluster {
  readonly engines: SimEngine[];
  readonly participants: SwitchParticipant[] = [];
  private readonly restarts: number[] = [];

  constructor(
    private readonly s: fc.Scheduler,
    variant: Variant,
  ) {
    this.engines = Array.from(
      { length: RANKS },
      () => new SimEngine(variant.checksFences, variant.holdsWhenArmed),
    );
    this.engines.forEach((_, rank) => this.startAgent(rank));
  }

  startAgent(rank: number): void {
    this.restarts[rank] = (this.restarts[rank] ?? 0) + 1;
    const incarnation = asId<Incarnation>(`r${rank}-${this.restarts[rank]}`);
    this.participants[rank] = new SwitchParticipant(
      incarnation,
      this.engines[rank] as SimEngine,
      () => rank,
    );
  }

  /** All ranks enter the next step together, unless an armed rank waits for a decision. */
  advance(): void {
    if (this.engines.some((e) => e.mustHold())) return;
    for (const engine of this.engines) engine.enterNext();
  }

  async coordinate(id: number, rounds: number, lost: ReadonlySet<number>): Promise<void> {
    let highest = 0;
    let sent = 0;
    for (let round = 0; round < rounds; round += 1) {
      const epoch = nextEpoch(highest, id);
      const outcome = await runSwitch(
        {
          group: 'g',
          ranks: RANKS,
          known: undefined,
          wantsCounts: false,
          marginSteps: () => 2,
          callRanks: callEachRank(async (rank, order) => {
            sent += 1;
            const number = sent;
            await this.s.schedule(Promise.resolve(), `${id} ${order.kind} ${rank}`);
            if (lost.has(number)) throw new Error('lost');
            const reply = await (this.participants[rank] as SwitchParticipant).serve(order);
            await this.s.schedule(Promise.resolve(), `${rank} replies ${id}`);
            return reply;
          }),
        },
        epoch,
        () => ({ id: `m${id}-${round}`, layers: INITIAL.layers }),
      );
      highest = outcome.kind === 'blocked' ? Math.max(epoch, outcome.highest) : epoch;
    }
  }
}

async function runEvent(cluster: SimCluster, s: fc.Scheduler, rank: number): Promise<void> {
  await s.schedule(Promise.resolve(), rank < 0 ? 'step' : `restart ${rank}`);
  if (rank >= 0) cluster.startAgent(rank);
  else cluster.advance();
}

function consistencyProperty(variant: Variant) {
  const events = fc.array(
    fc.oneof(
      { weight: 6, arbitrary: fc.constant(-1) },
      { weight: 1, arbitrary: fc.nat({ max: RANKS - 1 }) },
    ),
    { minLength: 10, maxLength: 60 },
  );
  return fc.asyncProperty(
    fc.scheduler(),
    events,
    fc.uniqueArray(fc.nat({ max: 40 }), { maxLength: 4 }),
    async (s, eventList, lost) => {
      const cluster = new SimCluster(s, variant);
      const coordinators = [0, 1].map((id) =>
        cluster.coordinate(id, 2, new Set(lost.map((n) => n + id))),
      );
      const eventRun = (async (): Promise<void> => {
        // Sequential, so that the events spread over the whole run.
        for (const rank of eventList) await runEvent(cluster, s, rank);
      })();
      await s.waitFor(Promise.all([...coordinators, eventRun]));
      const [first, ...others] = cluster.engines;
      for (const other of others) assert.deepEqual(other.usedMapIds, first?.usedMapIds);
    },
  );
}

test('all ranks use the same map in every step despite two coordinators, lost messages and agent restarts', async () => {
  await fc.assert(consistencyProperty(CORRECT), { seed: 31, numRuns: 400 });
});

test('all ranks use the same map in every step when engines check fences as well', async () => {
  await fc.assert(consistencyProperty({ ...CORRECT, checksFences: true }), {
    seed: 32,
    numRuns: 200,
  });
});

test('the same property fails when armed ranks do not wait for the decision', async () => {
  const result = await fc.check(consistencyProperty({ ...CORRECT, holdsWhenArmed: false }), {
    seed: 33,
    numRuns: 1000,
  });
  assert.ok(result.failed);
});

/** Starts ranks whose engines check fences and wait when armed, each with its own participant. */
function startRanks(): { readonly engines: SimEngine[]; readonly call: CallRank } {
  const engines = Array.from({ length: RANKS }, () => new SimEngine(true, true));
  const participants = engines.map(
    (e, rank) => new SwitchParticipant(asId<Incarnation>(`r${rank}`), e, () => rank),
  );
  return { engines, call: (rank, order) => (participants[rank] as SwitchParticipant).serve(order) };
}

test('the next coordinator aborts the switch of one that crashed after arming, and switches itself', async () => {
  const { engines, call } = startRanks();
  const ctx = {
    group: 'g',
    ranks: RANKS,
    known: undefined,
    wantsCounts: false,
    marginSteps: () => 2,
    callRanks: callEachRank(call),
  };
  const crashing = runSwitch(
    {
      ...ctx,
      callRanks: callEachRank((rank, order) =>
        order.kind === 'confirm' || order.kind === 'abort'
          ? Promise.reject(new Error('dead'))
          : call(rank, order),
      ),
    },
    1024,
    () => ({ ...INITIAL, id: 'm1' }),
  );
  assert.equal((await crashing).kind, 'blocked');
  assert.ok(engines.every((e) => e.armed && !e.armed.confirmed));
  const next = await runSwitch(ctx, 2049, () => ({ ...INITIAL, id: 'm2' }));
  assert.equal(next.kind, 'switched');
  assert.ok(engines.every((e) => e.armed?.map.id === 'm2' && e.armed.confirmed));
});

test('the switch margin is computed after all ranks have prepared and before any is armed', async () => {
  const { call } = startRanks();
  const kinds: string[] = [];
  let kindsBeforeMargin: readonly string[] = [];
  const outcome = await runSwitch(
    {
      group: 'g',
      ranks: RANKS,
      known: undefined,
      wantsCounts: false,
      marginSteps: () => {
        kindsBeforeMargin = [...kinds];
        return 5;
      },
      callRanks: callEachRank(async (rank, order) => {
        const reply = await call(rank, order);
        kinds.push(order.kind);
        return reply;
      }),
    },
    1024,
    () => ({ ...INITIAL, id: 'm1' }),
  );
  assert.ok(outcome.kind === 'switched' && outcome.step === 5);
  assert.equal(kindsBeforeMargin.filter((kind) => kind === 'prepare').length, RANKS);
  assert.ok(!kindsBeforeMargin.includes('arm'));
});

test('two coordinators never use the same epoch', () => {
  fc.assert(
    fc.property(
      fc.nat({ max: 1e6 }),
      fc.nat({ max: 1e6 }),
      fc.nat({ max: 31 }),
      fc.nat({ max: 31 }),
      (seenA, seenB, a, b) => {
        assert.ok(nextEpoch(seenA, a) > seenA);
        if (a !== b) assert.notEqual(nextEpoch(seenA, a), nextEpoch(seenB, b));
      },
    ),
    { seed: 34 },
  );
});

test('small groups use the configured delay, large ones stay within the bandwidth limit', () => {
  assert.equal(roundDelayMs({ ranks: 4, layers: 8, slotsPerRank: 3 }, 2000), 2000);
  const large = roundDelayMs({ ranks: 32, layers: 60, slotsPerRank: 3 }, 2000);
  const bytes = 32 * (ESTIMATED_ORDER_BYTES + 60 * 3 * ESTIMATED_COUNT_BYTES);
  assert.ok(bytes / (large / 1000) <= MAX_ROUND_BYTES_PER_SECOND + 1);
});

test('recovery makes no decision when a restarted agent has lost its promise', async () => {
  const engines = Array.from({ length: RANKS }, () => new SimEngine(false, true));
  const start = (rank: number, n: number): SwitchParticipant =>
    new SwitchParticipant(
      asId<Incarnation>(`r${rank}-${n}`),
      engines[rank] as SimEngine,
      () => rank,
    );
  const participants = engines.map((_, rank) => start(rank, 1));
  const serve = (rank: number, order: RankOrder) =>
    (participants[rank] as SwitchParticipant).serve(order);
  const ctx = {
    group: 'g',
    ranks: RANKS,
    known: undefined,
    wantsCounts: false,
    marginSteps: () => 2,
    callRanks: callEachRank(serve),
  };
  // A coordinator arms only rank 1 and then stops.
  await runSwitch(
    {
      ...ctx,
      callRanks: callEachRank((rank, order) =>
        order.kind === 'promise' || order.kind === 'prepare' || (order.kind === 'arm' && rank === 1)
          ? serve(rank, order)
          : Promise.reject(new Error('late')),
      ),
    },
    1024,
    () => ({ ...INITIAL, id: 'm1' }),
  );
  assert.equal(engines[1]?.armed?.map.id, 'm1');
  // The next coordinator gets every promise, but the agent of rank 0 restarts before the decision.
  const outcome = await runSwitch(
    {
      ...ctx,
      callRanks: callEachRank(async (rank, order) => {
        const reply = await serve(rank, order);
        if (order.kind === 'promise' && rank === 0) participants[0] = start(0, 2);
        return reply;
      }),
    },
    2049,
    () => undefined,
  );
  assert.deepEqual(
    [outcome.kind, outcome.kind === 'blocked' && outcome.detail.startsWith('recheck')],
    ['blocked', true],
  );
  assert.equal(engines[1]?.armed?.map.id, 'm1', 'nothing was aborted');
  assert.equal((await runSwitch(ctx, 3073, () => undefined)).kind, 'kept');
  assert.ok(engines.every((e) => e.armed === undefined));
});
