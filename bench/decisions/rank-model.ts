/** Simulates entries that place streams on the ranks of one group in lock-step, in virtual time. */
import { seededRandom, type Random } from '../../src/core/clock/index.js';
import {
  RANK_TIER,
  chooseRank,
  expectedWork,
  isKnownFull,
  type RankCandidate,
  type RankLoad,
} from '../../src/core/routing/index.js';

/** Parameters of a simulation. */
export interface RankScenario {
  readonly seed: number;
  readonly entries: number;
  readonly ranks: number;
  readonly arrivalsPerS: number;
  /** Age of the newest and of the oldest group digest that an entry uses, ms. */
  readonly ageMs: readonly [number, number];
  readonly promptTokens: number;
  /** Whether each fourth entry has four times the requests of the others. */
  readonly isUnequal: boolean;
  /** Share of the ranks of the first data centre that accept no requests. */
  readonly missingShare: number;
  readonly slowShare: number;
  readonly seconds: number;
}

/** A rank as known to an entry; `arc` and `randomArc` are its distance along the entry's preferred arc, 0 to 1. */
export interface ModelCandidate extends RankCandidate {
  readonly rank: number;
  readonly isFull: boolean;
  readonly arc: number;
  readonly randomArc: number;
}

/** Chooses a rank for one request. */
export type RankPolicy = (candidates: readonly ModelCandidate[], random: Random) => ModelCandidate;

/** Result of a simulation; loads by rank are sampled at each pass. */
export interface RankOutcome {
  readonly mean: number;
  readonly p99: number;
  /** Mean over passes of the load of the most loaded rank. */
  readonly worst: number;
  readonly passMs: number;
  /** Shares of requests: sent to a rank whose slots were taken, to another data centre, to a slow rank. */
  readonly fullShare: number;
  readonly farShare: number;
  readonly slowShare: number;
}

const DATA_CENTRES = 3;
const SLOTS = 7;
const STEP_MS = 4.55;
const MODEL = { perRequestMs: 1.56, stepsPerPass: 5, promptTokensPerMs: 61 };
const CHUNK_TOKENS = 512;
const MEAN_OUTPUT_TOKENS = 80;
const SLOW_PACE = 12;
const LOAD_SAMPLE_MS = 50;
const WARM_UP_MS = 5000;
const ARRIVALS_SEED = 1000;
const FAR_EXTRA = 3;
const FULL_EXTRA = 4;

function least(
  candidates: readonly ModelCandidate[],
  cost: (candidate: ModelCandidate) => number,
): ModelCandidate {
  return candidates.reduce((best, one) => (cost(one) < cost(best) ? one : best));
}

function sample<T>(items: readonly T[], count: number, random: Random): T[] {
  if (items.length === 0) return [];
  return Array.from({ length: count }, () => items[Math.floor(random() * items.length)] as T);
}

const ownCost = (c: ModelCandidate): number =>
  c.own + (c.isFar ? FAR_EXTRA : 0) + (c.isFull ? FULL_EXTRA : 0);
const workCost = (c: ModelCandidate): number => c.work + (c.isFar ? FAR_EXTRA : 0);

/** Chooses the rank with the fewest own streams, in the order of an arc. */
function alongArc(arcOf: (candidate: ModelCandidate) => number, compared: number): RankPolicy {
  return (candidates) => {
    const fewest = Math.min(...candidates.map(ownCost));
    const equal = candidates.filter((c) => ownCost(c) === fewest);
    return least(equal.sort((a, b) => arcOf(a) - arcOf(b)).slice(0, compared), workCost);
  };
}

/** The policies compared. */
export const RANK_POLICIES = {
  'own streams, least recently used': (candidates) =>
    least(candidates, (c) => ownCost(c) + c.lastUsed / 1e7),
  'least expected work': (candidates) => least(candidates, workCost),
  'two random, expected work': (candidates, random) =>
    least(
      [true, false].flatMap((isFar) =>
        sample(
          candidates.filter((c) => c.isFar === isFar),
          2,
          random,
        ),
      ),
      workCost,
    ),
  'own arc, exact positions': alongArc((c) => c.arc, 1),
  'own arc, random positions': alongArc((c) => c.randomArc, 1),
  'own arc, exact, two by work': alongArc((c) => c.arc, 2),
  'two random of the fewest own': (candidates, random) =>
    chooseRank(candidates, random) as ModelCandidate,
} as const satisfies Record<string, RankPolicy>;

interface ModelStream {
  readonly entry: number;
  readonly promptTokens: number;
  unreadTokens: number;
  tokens: number;
}

interface ModelRank {
  readonly dataCentre: number;
  readonly isMissing: boolean;
  readonly pace: number;
  writing: ModelStream[];
  reading: ModelStream[];
  readonly own: number[];
  readonly unread: number[];
}

interface LoadSample {
  readonly loads: readonly number[];
  readonly own: readonly (readonly number[])[];
}

const loadOf = (rank: ModelRank): number => rank.writing.length + rank.reading.length;
const mean = (values: readonly number[]): number =>
  values.reduce((sum, one) => sum + one, 0) / Math.max(1, values.length);

/** One group and its entries. */
class RankSimulation {
  private readonly random: Random;
  /** Separate from the policy's random source, so that all policies receive the same requests. */
  private readonly arrivals: Random;
  private readonly ranks: ModelRank[];
  private readonly samples: LoadSample[] = [];
  private readonly lastUsed: number[][];
  private readonly randomPositions: number[];
  private sequence = 0;
  readonly counts = { placed: 0, full: 0, far: 0, slow: 0 };

  constructor(
    private readonly scenario: RankScenario,
    private readonly policy: RankPolicy,
  ) {
    const { ranks, entries, missingShare, slowShare } = scenario;
    this.random = seededRandom(scenario.seed);
    this.arrivals = seededRandom(scenario.seed + ARRIVALS_SEED);
    this.ranks = Array.from({ length: ranks }, (_, i) => ({
      dataCentre: i % DATA_CENTRES,
      isMissing: i % DATA_CENTRES === 0 && i < missingShare * ranks,
      pace: i < slowShare * ranks ? SLOW_PACE : 1,
      writing: [],
      reading: [],
      own: Array.from({ length: entries }, () => 0),
      unread: Array.from({ length: entries }, () => 0),
    }));
    this.lastUsed = Array.from({ length: entries }, () =>
      Array.from({ length: ranks }, () => this.random()),
    );
    this.randomPositions = Array.from({ length: entries }, () => this.random());
  }

  sampleLoads(): void {
    const loads = this.ranks.map(loadOf);
    this.samples.push({ loads, own: this.ranks.map((rank) => [...rank.own]) });
  }

  /** Places one request that arrives at an entry. */
  place(nowMs: number, entry: number): void {
    const candidates = this.candidates(nowMs, entry);
    const chosen = this.policy(candidates, this.random);
    const rank = this.ranks[chosen.rank] as ModelRank;
    this.sequence += 1;
    (this.lastUsed[entry] as number[])[chosen.rank] = this.sequence;
    if (nowMs > WARM_UP_MS) {
      this.counts.placed += 1;
      this.counts.full += loadOf(rank) >= SLOTS ? 1 : 0;
      this.counts.far += chosen.isFar ? 1 : 0;
      this.counts.slow += rank.pace > 1 ? 1 : 0;
    }
    const isLong = this.arrivals() < 0.1;
    const promptTokens = this.scenario.promptTokens * (0.5 + this.arrivals() + (isLong ? 2 : 0));
    const tokens = Math.ceil(MEAN_OUTPUT_TOKENS * (0.3 + 1.4 * this.arrivals()));
    rank.own[entry] = (rank.own[entry] ?? 0) + 1;
    rank.unread[entry] = (rank.unread[entry] ?? 0) + promptTokens;
    rank.reading.push({ entry, promptTokens, unreadTokens: promptTokens, tokens });
  }

  private candidates(nowMs: number, entry: number): ModelCandidate[] {
    const [minAgeMs, maxAgeMs] = this.scenario.ageMs;
    // Each entry polls at its own phase; a digest ages until the next one arrives.
    const phaseMs = (this.randomPositions[entry] as number) * (maxAgeMs - minAgeMs);
    const ageMs = minAgeMs + ((nowMs + phaseMs) % Math.max(1, maxAgeMs - minAgeMs));
    const sample = this.samples[Math.floor((nowMs - ageMs) / LOAD_SAMPLE_MS)];
    const meanLoad = sample ? mean(sample.loads) : 0;
    const home = entry % DATA_CENTRES;
    const perHome = Math.ceil(this.scenario.entries / DATA_CENTRES);
    const position = Math.floor(entry / DATA_CENTRES) / perHome;
    const distance = (i: number, from: number): number => (i / this.ranks.length - from + 1) % 1;
    return this.ranks.flatMap((rank, i) => {
      if (rank.isMissing) return [];
      const load: RankLoad = {
        own: rank.own[entry] ?? 0,
        unreadTokens: rank.unread[entry] ?? 0,
        count: sample && {
          load: sample.loads[i] ?? 0,
          meanLoad,
          ageMs,
          ownThen: sample.own[i]?.[entry] ?? 0,
        },
      };
      const isSlow = rank.pace > 1 && sample !== undefined;
      const full = isKnownFull(load, SLOTS) ? RANK_TIER.full : RANK_TIER.usable;
      return {
        rank: i,
        tier: isSlow ? RANK_TIER.slow : full,
        isFar: rank.dataCentre !== home,
        isFull: (sample?.loads[i] ?? 0) >= SLOTS,
        own: load.own,
        work: expectedWork(load, MODEL),
        weight: isSlow ? rank.pace : 1,
        lastUsed: this.lastUsed[entry]?.[i] ?? 0,
        arc: distance(i, position),
        randomArc: distance(i, this.randomPositions[entry] as number),
      };
    });
  }

  /** Begins a pass: reads prompts, and returns the duration of the pass. */
  beginPass(): number {
    return Math.max(STEP_MS, ...this.ranks.map((rank) => this.readPrompts(rank)));
  }

  private readPrompts(rank: ModelRank): number {
    let budget = CHUNK_TOKENS * MODEL.stepsPerPass;
    const before = budget;
    for (const stream of rank.reading.slice(0, Math.max(0, SLOTS - rank.writing.length))) {
      const tokens = Math.min(stream.unreadTokens, budget);
      stream.unreadTokens -= tokens;
      budget -= tokens;
    }
    const streams = rank.writing.length;
    const perStepMs = streams > 0 ? STEP_MS + MODEL.perRequestMs * streams : 0;
    const readMs = (before - budget) / MODEL.promptTokensPerMs;
    return rank.pace * (MODEL.stepsPerPass * perStepMs + readMs);
  }

  /** Ends a pass: streams advance, and those whose prompt is read begin. */
  endPass(): void {
    for (const rank of this.ranks) {
      rank.writing = rank.writing.filter((stream) => {
        stream.tokens -= MODEL.stepsPerPass;
        if (stream.tokens > 0) return true;
        rank.own[stream.entry] = (rank.own[stream.entry] ?? 0) - 1;
        return false;
      });
      const read = rank.reading.filter((stream) => stream.unreadTokens <= 0);
      for (const { entry, promptTokens } of read)
        rank.unread[entry] = (rank.unread[entry] ?? 0) - promptTokens;
      rank.writing.push(...read);
      rank.reading = rank.reading.filter((stream) => stream.unreadTokens > 0);
    }
  }

  loads(): number[] {
    return this.ranks.filter((rank) => !rank.isMissing).map(loadOf);
  }

  /** A random entry, in proportion to its share of the requests. */
  randomEntry(): number {
    const { entries, isUnequal } = this.scenario;
    const weightOf = (entry: number): number => (isUnequal && entry % 4 === 0 ? 4 : 1);
    let total = 0;
    for (let entry = 0; entry < entries; entry += 1) total += weightOf(entry);
    let left = this.arrivals() * total;
    for (let entry = 0; entry < entries; entry += 1) {
      left -= weightOf(entry);
      if (left < 0) return entry;
    }
    return 0;
  }

  untilNextMs(): number {
    return (-Math.log(1 - this.arrivals()) * 1000) / this.scenario.arrivalsPerS;
  }
}

/**
 * Simulates one policy.
 * @example simulateRanks(scenario, RANK_POLICIES['least expected work']).passMs
 */
export function simulateRanks(scenario: RankScenario, policy: RankPolicy): RankOutcome {
  const simulation = new RankSimulation(scenario, policy);
  const loads: number[] = [];
  const worst: number[] = [];
  const passes: number[] = [];
  let nextArrivalMs = 0;
  let nextSampleMs = 0;
  for (let nowMs = 0; nowMs < scenario.seconds * 1000;) {
    const passMs = simulation.beginPass();
    if (nowMs > WARM_UP_MS) {
      const now = simulation.loads();
      loads.push(...now);
      worst.push(Math.max(...now));
      passes.push(passMs);
    }
    nowMs += passMs;
    while (nextArrivalMs < nowMs) {
      for (; nextSampleMs <= nextArrivalMs; nextSampleMs += LOAD_SAMPLE_MS)
        simulation.sampleLoads();
      simulation.place(nextArrivalMs, simulation.randomEntry());
      nextArrivalMs += simulation.untilNextMs();
    }
    simulation.endPass();
  }
  const { placed, full, far, slow } = simulation.counts;
  const sorted = loads.sort((a, b) => a - b);
  return {
    mean: mean(loads),
    p99: sorted[Math.floor(0.99 * (sorted.length - 1))] ?? 0,
    worst: mean(worst),
    passMs: mean(passes),
    fullShare: full / placed,
    farShare: far / placed,
    slowShare: slow / placed,
  };
}
