/** One soak run: starts a deployment, lets callers ask while it is disturbed, and checks what was seen. */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { seededRandom } from '../../src/core/clock/index.js';
import { Callers } from './callers.js';
import { violationsOf } from './check.js';
import {
  KEYS,
  ORGANISATION,
  startDeployment,
  type Deployment,
  type SoakSize,
} from './deployment.js';
import { askThings } from './asking.js';
import { comeBackFromCopies } from './copies.js';
import { crashEndpoints } from './crashing.js';
import { disturb } from './faults.js';
import { silenceWhileThingsChange, silenceWithoutRelays } from './silence.js';
import { nameLimits } from './limits.js';
import type { SoakRecord } from './record.js';

const NS_PER_MS = 1e6;
/** The usual size: a few processes. */
export const USUAL_SIZE: SoakSize = { entries: 3, ranks: 3, plain: 3 };

/** Time that entries may take to become ready, ms: all start at once on a machine that may be busy. */
const READY_MS = 30_000;
/** Time without disturbance at the end, ms: what was harmed has to come back. */
const CALM_MS = 6000;
/** Time for what was sent last to be answered, ms. */
const LAST_ANSWERS_MS = 3500;

/** What came of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly asks: number;
  readonly answered: number;
  readonly disturbances: number;
  readonly violations: readonly string[];
  /** Longest time for which the soak's own process stood still, ms: its store, proxies and callers did as well. */
  readonly longestOwnPauseMs: number;
  /** Where the logs and boot files lie. */
  readonly folder: string;
}

function recordOf(deployment: Deployment, seed: number, calmFromMs: number): SoakRecord {
  const programs = [...deployment.entries, ...deployment.agents].map((i) => i.program);
  return {
    seed,
    asks: deployment.asks,
    runs: deployment.endpoints.flatMap((endpoint) => endpoint.engine.runs),
    arrivals: deployment.endpoints.flatMap((endpoint) => endpoint.engine.arrivals),
    asked: deployment.endpoints.flatMap((endpoint) => endpoint.engine.asked),
    needs: deployment.needs,
    disturbances: deployment.disturbances,
    withdrawals: deployment.withdrawals,
    additions: deployment.additions,
    falls: deployment.falls,
    organisations: Object.fromEntries(KEYS.map((key) => [key, ORGANISATION])),
    mixedSteps: deployment.group.mixed,
    longestHoldMs: deployment.group.longestHoldMs,
    badEnds: programs.flatMap((program) => program.badEnds),
    calmFromMs,
  };
}

/** What is done to a deployment until a time, ms since its start. */
export type Play = (deployment: Deployment, random: () => number, untilMs: number) => Promise<void>;

/** Plays by name. */
export const PLAYS = {
  faults: disturb,
  silence: silenceWhileThingsChange,
  'silence-without-relays': silenceWithoutRelays,
  copies: comeBackFromCopies,
  crashing: crashEndpoints,
  asking: askThings,
  limits: nameLimits,
} as const;

/** The size for plays in which endpoints leave one after the other. */
export const LEAVING_SIZE: SoakSize = { entries: 6, ranks: 3, plain: 9 };

/**
 * Plays one seed with `seconds` of disturbances.
 * @example (await soak(7, 8)).violations // []
 */
export async function soak(
  seed: number,
  seconds: number,
  size: SoakSize = USUAL_SIZE,
  play: Play = disturb,
): Promise<SoakResult> {
  const ownPauses = monitorEventLoopDelay();
  ownPauses.enable();
  const deployment = await startDeployment(size, seededRandom(seed));
  const callers = new Callers(deployment, seededRandom(seed + 1_000_000));
  try {
    if (!(await callers.untilReady(READY_MS)))
      throw new Error(`entries are not ready after ${READY_MS} ms; logs in ${deployment.folder}`);
    const asking = callers.run();
    await play(deployment, seededRandom(seed + 2_000_000), deployment.nowMs() + seconds * 1000);
    const calmFromMs = deployment.nowMs();
    await sleep(CALM_MS);
    callers.stop();
    await sleep(LAST_ANSWERS_MS);
    await asking;
    const record = recordOf(deployment, seed, calmFromMs);
    return {
      seed,
      asks: record.asks.length,
      answered: record.asks.filter((ask) => ask.end?.isComplete).length,
      disturbances: record.disturbances.length,
      violations: violationsOf(record),
      longestOwnPauseMs: Math.round(ownPauses.max / NS_PER_MS),
      folder: deployment.folder,
    };
  } finally {
    ownPauses.disable();
    callers.close();
    await deployment.close();
  }
}
