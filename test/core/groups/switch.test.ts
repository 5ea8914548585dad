import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { asId, type Incarnation } from '../../../src/core/ids/index.js';
import {
  COUNT_BYTES,
  nextEpoch,
  ORDER_BYTES,
  RankGate,
  ROUND_BYTES_PER_SECOND,
  roundPauseMs,
  callEachRank,
  runSwitch,
  type CallRank,
  type EngineOrder,
  type EngineState,
  type OrderEnd,
  type ExpertMap,
  type RankOrder,
  type RankEngine,
} from '../../../src/core/groups/index.js';

const INITIAL: ExpertMap = { id: 'm0', layers: [[[0], [1], [2]]] };
const RANKS = 3;

/** An engine of one rank: the truth that outlives its agent. */
class SimEngine implements RankEngine {
  step = 0;
  fence = 0;
  map = INITIAL;
  armed: { epoch: number; map: ExpertMap; step: number; confirmed: boolean } | undefined;
  lastConfirmed = 0;
  readonly used: string[] = [];

  constructor(
    private readonly checksFences: boolean,
    private readonly holds: boolean,
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

  order(order: EngineOrder): Promise<OrderEnd> {
    if (this.checksFences && order.epoch < this.fence) return Promise.resolve('fenced');
    if (this.checksFences) this.fence = order.epoch;
    return Promise.resolve(this.apply(order) ? 'done' : 'refused');
  }

  mustHold(): boolean {
    return (
      this.holds &&
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
    this.used.push(this.map.id);
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
  readonly holds: boolean;
}

const SOUND: Variant = { checksFences: false, holds: true };

/** Ranks, agents and coordinators whose every message may be late or lost. */
class World {
  readonly engines: SimEngine[];
  readonly gates: RankGate[] = [];
  private readonly restarts: number[] = [];

  constructor(
    private readonly s: fc.Scheduler,
    variant: Variant,
  ) {
    this.engines = Array.from(
      { length: RANKS },
      () => new SimEngine(variant.checksFences, variant.holds),
    );
    this.engines.forEach((_, rank) => this.startAgent(rank));
  }

  startAgent(rank: number): void {
    this.restarts[rank] = (this.restarts[rank] ?? 0) + 1;
    const incarnation = asId<Incarnation>(`r${rank}-${this.restarts[rank]}`);
    this.gates[rank] = new RankGate(incarnation, this.engines[rank] as SimEngine, () => rank);
  }

  /** Every rank enters the next step together, unless one of them holds. */
  advance(): void {
    if (this.engines.some((e) => e.mustHold())) return;
    for (const engine of this.engines) engine.enterNext();
  }

  async coordinate(id: number, rounds: number, lost: ReadonlySet<number>): Promise<void> {
    let highest = 0;
    let sent = 0;
    for (let round = 0; round < rounds; round += 1) {
      const epoch = nextEpoch(highest, id);
      const end = await runSwitch(
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
            const reply = await (this.gates[rank] as RankGate).serve(order);
            await this.s.schedule(Promise.resolve(), `${rank} replies ${id}`);
            return reply;
          }),
        },
        epoch,
        () => ({ id: `m${id}-${round}`, layers: INITIAL.layers }),
      );
      highest = end.kind === 'blocked' ? Math.max(epoch, end.highest) : epoch;
    }
  }
}

async function happen(world: World, s: fc.Scheduler, rank: number): Promise<void> {
  await s.schedule(Promise.resolve(), rank < 0 ? 'step' : `restart ${rank}`);
  if (rank >= 0) world.startAgent(rank);
  else world.advance();
}

function property(variant: Variant) {
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
    async (s, happenings, lost) => {
      const world = new World(s, variant);
      const coordinators = [0, 1].map((id) =>
        world.coordinate(id, 2, new Set(lost.map((n) => n + id))),
      );
      const changes = (async (): Promise<void> => {
        // One after another, so that they spread over the messages' whole time.
        for (const rank of happenings) await happen(world, s, rank);
      })();
      await s.waitFor(Promise.all([...coordinators, changes]));
      const [first, ...others] = world.engines;
      for (const other of others) assert.deepEqual(other.used, first?.used);
    },
  );
}

test('with two coordinators, lost messages and restarted agents every rank uses one map in every step', async () => {
  await fc.assert(property(SOUND), { seed: 31, numRuns: 400 });
});

test('engines that check fences themselves are no worse off', async () => {
  await fc.assert(property({ ...SOUND, checksFences: true }), { seed: 32, numRuns: 200 });
});

test('the same exploration finds mixed maps when armed ranks do not hold', async () => {
  const verdict = await fc.check(property({ ...SOUND, holds: false }), { seed: 33, numRuns: 1000 });
  assert.ok(verdict.failed);
});

/** Ranks whose engines check fences and hold, each behind a gate of its own. */
function startRanks(): { readonly engines: SimEngine[]; readonly call: CallRank } {
  const engines = Array.from({ length: RANKS }, () => new SimEngine(true, true));
  const gates = engines.map(
    (e, rank) => new RankGate(asId<Incarnation>(`r${rank}`), e, () => rank),
  );
  return { engines, call: (rank, order) => (gates[rank] as RankGate).serve(order) };
}

test('a quiet group switches, and a coordinator that died after arming is cleaned up after', async () => {
  const { engines, call } = startRanks();
  const c = {
    group: 'g',
    ranks: RANKS,
    known: undefined,
    wantsCounts: false,
    marginSteps: () => 2,
    callRanks: callEachRank(call),
  };
  const dying = runSwitch(
    {
      ...c,
      callRanks: callEachRank((rank, order) =>
        order.kind === 'confirm' || order.kind === 'abort'
          ? Promise.reject(new Error('dead'))
          : call(rank, order),
      ),
    },
    1024,
    () => ({ ...INITIAL, id: 'm1' }),
  );
  assert.equal((await dying).kind, 'blocked');
  assert.ok(engines.every((e) => e.armed && !e.armed.confirmed));
  const next = await runSwitch(c, 2049, () => ({ ...INITIAL, id: 'm2' }));
  assert.equal(next.kind, 'switched');
  assert.ok(engines.every((e) => e.armed?.map.id === 'm2' && e.armed.confirmed));
});

test('the margin before the switch is asked for when all ranks have their copies', async () => {
  const { call } = startRanks();
  const kinds: string[] = [];
  let askedAfter: readonly string[] = [];
  const end = await runSwitch(
    {
      group: 'g',
      ranks: RANKS,
      known: undefined,
      wantsCounts: false,
      marginSteps: () => {
        askedAfter = [...kinds];
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
  assert.ok(end.kind === 'switched' && end.step === 5);
  assert.equal(askedAfter.filter((kind) => kind === 'prepare').length, RANKS);
  assert.ok(!askedAfter.includes('arm'));
});

test('epochs of two coordinators never meet', () => {
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

test('small groups keep the configured pause, large ones keep within their bytes', () => {
  assert.equal(roundPauseMs({ ranks: 4, layers: 8, slotsPerRank: 3 }, 2000), 2000);
  const large = roundPauseMs({ ranks: 32, layers: 60, slotsPerRank: 3 }, 2000);
  const bytes = 32 * (ORDER_BYTES + 60 * 3 * COUNT_BYTES);
  assert.ok(bytes / (large / 1000) <= ROUND_BYTES_PER_SECOND + 1);
});

test('recovery decides nothing on a promise that a restarted agent has forgotten', async () => {
  const engines = Array.from({ length: RANKS }, () => new SimEngine(false, true));
  const start = (rank: number, n: number): RankGate =>
    new RankGate(asId<Incarnation>(`r${rank}-${n}`), engines[rank] as SimEngine, () => rank);
  const gates = engines.map((_, rank) => start(rank, 1));
  const serve = (rank: number, order: RankOrder) => (gates[rank] as RankGate).serve(order);
  const c = {
    group: 'g',
    ranks: RANKS,
    known: undefined,
    wantsCounts: false,
    marginSteps: () => 2,
    callRanks: callEachRank(serve),
  };
  // A coordinator arms rank 1 alone and falls silent.
  await runSwitch(
    {
      ...c,
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
  // The next one has every promise, but rank 0 restarts before the decision.
  const end = await runSwitch(
    {
      ...c,
      callRanks: callEachRank(async (rank, order) => {
        const reply = await serve(rank, order);
        if (order.kind === 'promise' && rank === 0) gates[0] = start(0, 2);
        return reply;
      }),
    },
    2049,
    () => undefined,
  );
  assert.deepEqual(
    [end.kind, end.kind === 'blocked' && end.detail.startsWith('recheck')],
    ['blocked', true],
  );
  assert.equal(engines[1]?.armed?.map.id, 'm1', 'nothing was aborted');
  assert.equal((await runSwitch(c, 3073, () => undefined)).kind, 'kept');
  assert.ok(engines.every((e) => e.armed === undefined));
});
