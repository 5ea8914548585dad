/** Simulated callers of unequal urgency at the entries of one group, without a network. Time is simulated. */
import { mock } from 'node:test';
import { seededRandom } from '../../../src/core/clock/index.js';
import { asId, type OrganisationId } from '../../../src/core/ids/index.js';
import { queueTerms } from '../../../src/core/limits/index.js';
import { checkDemand, DemandSum, urgencyOf } from '../../../src/core/urgency/index.js';
import type { Demand } from '../../../src/generated/messages.types.js';
import type { GroupLoad } from '../../../src/gateway/groups/group-status.js';
import { SlotQueue, type AdmissionDecision } from '../../../src/gateway/groups/slot-queue.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';

const RANKS = 72;
/** Stream limit of the group before any pause was recorded. */
export const LIMIT = 3 * RANKS;
const STREAM_MS = 1000;
const TICK_MS = 10;
const REPORT_INTERVAL_MS = 300;
const MAX_STATUS_AGE_MS = 3000;
const PATIENCE_MS = 8000;
const RETRY_MS = { min: 1000, max: 2500 };
/** Streams, as a share of the limit, above which pauses make them late. */
const LATE_ABOVE = 1.2;
const ORGANISATIONS = 24;
const ZIPF_EXPONENT = 1.2;
const WAVE = { share: 0.2, periodMs: 11_000 };

/** Routes of the load, most urgent first. */
export const CLASSES = [
  { priority: 0, perS: 64, targetMs: 503, worth: 3, late: 0.3 },
  { priority: 1, perS: 85, targetMs: 503, worth: 1.6, late: 0.41 },
  { priority: 2, perS: 28, targetMs: 1003, worth: 0.8, late: 0.3 },
] as const;

/** Decides on a first try at an entry. */
export type Policy = (
  queue: SlotQueue,
  urgency: number,
  organisation: OrganisationId,
  random: () => number,
) => Pick<AdmissionDecision, 'kind'>;

export interface Load {
  readonly seed: number;
  readonly policy: Policy;
  /** Whether the entries know that classes differ. */
  readonly byUrgency: boolean;
  /** Entries of each data centre, and their parts of the demand. */
  readonly entries: readonly number[];
  readonly parts: readonly number[];
  /** Interval and age of digests, ms. */
  readonly everyMs: number;
  readonly ageMs: number;
  /** Factor on the arrivals of a class. */
  readonly factor: (priority: number, nowMs: number) => number;
  readonly durationMs: number;
  /** Changes what the entries learn, for failures. */
  readonly alterReport?: (entry: number, report: Demand, nowMs: number) => Demand | undefined;
  /** Time from which the coordinator sends no more digests, ms. */
  readonly digestsEndAtMs?: number;
  readonly isCut?: (entry: number, nowMs: number) => boolean;
}

/** What became of callers. */
export interface Fate {
  readonly priority: number;
  readonly dataCentre: number;
  readonly organisation: number;
  readonly atMs: number;
  end: 'in time' | 'late' | 'refused once' | 'refused twice';
}

export interface Outcome {
  readonly fates: readonly Fate[];
  readonly streams: readonly number[];
}

function pick(random: () => number, weights: readonly number[]): number {
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
  return Math.max(
    0,
    weights.findIndex((weight) => (left -= weight) < 0),
  );
}

/**
 * Runs the callers of one load; refused ones return once.
 * @example const { fates } = await simulate({ ...load, policy: byLevel });
 */
export async function simulate(load: Load): Promise<Outcome> {
  const random = seededRandom(load.seed);
  let nowMs = 0;
  const clock = { nowMs: () => nowMs, wallMs: () => nowMs };
  const sizes = Array.from({ length: ORGANISATIONS }, (_, i) => (i + 1) ** -ZIPF_EXPONENT);
  const entryCount = load.entries.reduce((sum, n) => sum + n, 0);
  const firstEntry = load.entries.map((_, dc) =>
    load.entries.slice(0, dc).reduce((a, b) => a + b, 0),
  );
  let latest: GroupLoad | undefined;
  const isKnown = (entry: number): boolean =>
    latest !== undefined &&
    nowMs - latest.countedAtMs <= MAX_STATUS_AGE_MS &&
    !load.isCut?.(entry, nowMs);
  const queues = Array.from(
    { length: entryCount },
    (_, entry) =>
      new SlotQueue({
        clock,
        engine: () => ENGINE_INFO,
        size: () => (isKnown(entry) ? latest : undefined),
        ...(load.byUrgency && { urgencies: () => ({ mayHave: () => true }) }),
      }),
  );
  const coordinator = new DemandSum();
  const due = new Map<number, (() => void)[]>();
  const after = (ms: number, run: () => void): void => {
    const at = Math.max(nowMs + TICK_MS, Math.floor((nowMs + ms) / TICK_MS) * TICK_MS);
    due.set(at, [...(due.get(at) ?? []), run]);
  };
  let running = 0;
  const fates: Fate[] = [];
  const streams: number[] = [];
  const serve = (queue: SlotQueue, fate: Fate, isReturning: boolean): void => {
    running += 1;
    const wasFull = running > LATE_ABOVE * LIMIT;
    after(STREAM_MS * (0.75 + 0.5 * random()) * (0.6 + (0.4 * running) / LIMIT), () => {
      const isLate = isReturning || wasFull || running > LATE_ABOVE * LIMIT;
      fate.end = isLate ? 'late' : 'in time';
      running -= 1;
      queue.queue.release();
    });
  };
  const call = async (fate: Fate, isReturning: boolean): Promise<void> => {
    const { priority, dataCentre } = fate;
    const count = load.entries[dataCentre] ?? 1;
    const queue = queues[(firstEntry[dataCentre] ?? 0) + Math.floor(random() * count)] as SlotQueue;
    const urgency = urgencyOf(1, priority);
    const organisation = asId<OrganisationId>(`org-${fate.organisation}`);
    const decision = isReturning
      ? ({ kind: 'queue' } as const)
      : load.policy(queue, urgency, organisation, random);
    const { targetMs } = CLASSES[priority] as (typeof CLASSES)[number];
    const leftMs = PATIENCE_MS - (nowMs - fate.atMs);
    const terms = queueTerms({ isReturning, priority: urgency, targetMs, leftMs });
    const hasSlot =
      decision.kind === 'admitted' ||
      (decision.kind === 'queue' &&
        (await queue.queue.acquire(terms.order, terms.waitMs, new AbortController().signal)));
    if (hasSlot) return serve(queue, fate, isReturning);
    fate.end = isReturning ? 'refused twice' : 'refused once';
    if (!isReturning)
      after(RETRY_MS.min + random() * (RETRY_MS.max - RETRY_MS.min), () => void call(fate, true));
  };
  const arrive = (): void => {
    CLASSES.forEach(({ priority, perS }) =>
      load.parts.forEach((part, dataCentre) => {
        const phase = 2 * Math.PI * (nowMs / WAVE.periodMs + dataCentre / load.parts.length);
        const wave = 1 + WAVE.share * Math.sin(phase);
        const total = load.parts.reduce((sum, each) => sum + each, 0);
        let expected = (perS * load.factor(priority, nowMs) * wave * part * TICK_MS) / total / 1000;
        for (; expected > 0; expected -= 1) {
          if (random() >= expected) continue;
          const organisation = pick(random, sizes);
          const fate: Fate = {
            priority,
            dataCentre,
            organisation,
            atMs: nowMs,
            end: 'refused once',
          };
          fates.push(fate);
          void call(fate, false);
        }
      }),
    );
  };
  const report = (): void =>
    queues.forEach((queue, entry) => {
      const own = queue.reportDemand();
      if (!own || load.isCut?.(entry, nowMs)) return;
      const sent = load.alterReport ? load.alterReport(entry, own, nowMs) : own;
      if (sent) coordinator.record(`e-${entry}`, checkDemand(sent).demand, nowMs);
    });
  const sendDigest = (): void => {
    const demand = coordinator.read(nowMs);
    const entries = queues.filter((_, entry) => !load.isCut?.(entry, nowMs)).length;
    const next = { ranks: RANKS, running, entries, countedAtMs: nowMs, ...(demand && { demand }) };
    after(load.ageMs, () => {
      latest = next;
      for (const queue of queues) queue.noteCompletePoll();
    });
  };
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    for (; nowMs < load.durationMs; nowMs += TICK_MS) {
      for (const run of due.get(nowMs) ?? []) run();
      due.delete(nowMs);
      arrive();
      if (nowMs % REPORT_INTERVAL_MS === 0) report();
      if (nowMs % load.everyMs === 0 && nowMs < (load.digestsEndAtMs ?? Infinity)) sendDigest();
      streams.push(running);
      mock.timers.tick(TICK_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  } finally {
    mock.timers.reset();
  }
  return { fates, streams };
}

/** Share of callers that ended in one of these ways. */
export function shareOf(fates: readonly Fate[], ...ends: Fate['end'][]): number {
  return fates.filter((fate) => ends.includes(fate.end)).length / Math.max(1, fates.length);
}

/** Earned worth as a share of the possible worth. */
export function earnedShare(fates: readonly Fate[]): number {
  let earned = 0;
  let possible = 0;
  for (const { priority, end } of fates) {
    const { worth, late } = CLASSES[priority] as (typeof CLASSES)[number];
    possible += worth;
    earned += end === 'in time' ? worth : end === 'late' ? worth * late : 0;
  }
  return earned / Math.max(1e-9, possible);
}

/** Callers of a time span. */
export function between(fates: readonly Fate[], fromMs: number, toMs: number): Fate[] {
  return fates.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
}

/** Values of a figure for each data centre, class or organisation. */
export function by<K extends 'priority' | 'dataCentre' | 'organisation'>(
  fates: readonly Fate[],
  key: K,
  figure: (part: readonly Fate[]) => number,
): number[] {
  const keys = [...new Set(fates.map((fate) => fate[key]))].sort((a, b) => a - b);
  return keys.map((value) =>
    Number(figure(fates.filter((fate) => fate[key] === value)).toFixed(3)),
  );
}
