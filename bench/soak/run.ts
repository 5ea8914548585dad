/**
 * One soak run: starts a deployment, sends requests while it is disturbed, and checks the record.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { seededRandom } from '../../src/core/clock/index.js';
import { Callers } from './callers.js';
import { startCallerThreads, type CallerThreads } from './caller-thread.js';
import { NOT_RUN_STATUSES, violationsOf } from './check.js';
import {
  KEYS,
  ORGANISATION,
  startDeployment,
  type Deployment,
  type SoakSize,
} from './deployment.js';
import { signalBackpressure } from './backpressure.js';
import { restoreFromCopies } from './copies.js';
import { crashEndpoints, crashEndpointsAmongTopics } from './crashing.js';
import { disturb } from './faults.js';
import { misbehave, rejectRequests, respondWithoutEnd } from './misbehaving.js';
import { overloadService } from './overloaded-service.js';
import { silenceDuringChanges, silenceWithoutRelays } from './silence.js';
import { signalLongRateLimits } from './limits.js';
import { readSlowly, readSlowlyAmongFaults } from './slow-readers.js';
import { soakOwnInterface } from './own-interface.js';
import type { SoakRecord } from './record.js';
import type { SoakResult } from './result.js';

const NS_PER_MS = 1e6;
/** Default size: a few processes. */
export const DEFAULT_SIZE: SoakSize = { entries: 3, ranks: 3, plain: 3 };

/** Timeout for entries to become ready, ms; all start at once on a possibly busy machine. */
const READY_TIMEOUT_MS = 30_000;
/** Time without disturbance at the end, ms, in which the system must recover. */
const RECOVERY_PERIOD_MS = 6000;
/** Time for the last requests to be answered after their deadline, ms. */
const DRAIN_MS = 500;

function recordOf(deployment: Deployment, seed: number, faultsEndedAtMs: number): SoakRecord {
  const programs = [...deployment.entries, ...deployment.agents].map((i) => i.program);
  return {
    seed,
    startedAt: new Date(Date.now() - deployment.nowMs()).toISOString(),
    requests: deployment.requests,
    runs: deployment.endpoints.flatMap((endpoint) => endpoint.engine.executions),
    arrivals: deployment.endpoints.flatMap((endpoint) => endpoint.engine.arrivals),
    signals: deployment.endpoints.flatMap((endpoint) => endpoint.engine.signals),
    surplus: deployment.endpoints.flatMap((endpoint) => endpoint.engine.surplus),
    rateLimitPeriods: deployment.rateLimitPeriods,
    disturbances: deployment.disturbances,
    removals: deployment.removals,
    addedRoutes: deployment.addedRoutes,
    crashes: deployment.crashes,
    unreadAnswers: deployment.unreadAnswers,
    abandoned: deployment.endpoints.flatMap((endpoint) => endpoint.engine.abandoned),
    organisations: Object.fromEntries(KEYS.map((key) => [key, ORGANISATION])),
    mixedSteps: deployment.group.mixedSteps,
    longestHoldMs: deployment.group.longestHoldMs,
    unexpectedExits: programs.flatMap((program) => program.unexpectedExits),
    faultsEndedAtMs,
  };
}

/** Disturbs a deployment until a time, ms since its start. */
export type Scenario = (
  deployment: Deployment,
  random: () => number,
  untilMs: number,
) => Promise<void>;

/** Scenarios by their `--play` name. */
export const SCENARIOS = {
  faults: disturb,
  silence: silenceDuringChanges,
  'silence-without-relays': silenceWithoutRelays,
  copies: restoreFromCopies,
  crashing: crashEndpoints,
  'crashing-among-topics': crashEndpointsAmongTopics,
  asking: signalBackpressure,
  misbehaving: misbehave,
  rejecting: rejectRequests,
  endless: respondWithoutEnd,
  'overloaded-service': overloadService,
  limits: signalLongRateLimits,
  'slow-readers': readSlowly,
  'slow-readers-and-faults': readSlowlyAmongFaults,
} as const;

/** Sizes of scenarios that need more than the default. */
export const SCENARIO_SIZES: Readonly<Record<string, SoakSize>> = {
  'overloaded-service': { entries: 7, ranks: 0, plain: 3, callers: 250 },
};

/** Size for scenarios in which endpoints leave one after another. */
export const LEAVING_SIZE: SoakSize = { entries: 6, ranks: 3, plain: 9 };

/**
 * Runs one seed with `seconds` of disturbances.
 * @example (await soak(7, 8)).violations // []
 */
export async function soak(
  seed: number,
  seconds: number,
  size: SoakSize = DEFAULT_SIZE,
  scenario: Scenario = disturb,
): Promise<SoakResult> {
  const eventLoopDelay = monitorEventLoopDelay();
  eventLoopDelay.enable();
  const deployment = await startDeployment(size, seededRandom(seed));
  const callers = new Callers(deployment, seededRandom(seed + 1_000_000));
  let threads: CallerThreads | undefined;
  try {
    if (!(await callers.untilReady(READY_TIMEOUT_MS)))
      throw new Error(
        `entries are not ready after ${READY_TIMEOUT_MS} ms; logs in ${deployment.folder}`,
      );
    const untilMs = deployment.nowMs() + seconds * 1000;
    // Scenarios choose what callers send before the first request.
    const playing = scenario(deployment, seededRandom(seed + 2_000_000), untilMs);
    threads = startCallerThreads(deployment, seed);
    const sending = deployment.callers > 0 ? undefined : callers.run();
    await playing;
    const faultsEndedAtMs = deployment.nowMs();
    await sleep(RECOVERY_PERIOD_MS);
    callers.stop();
    threads.stop();
    await sleep(deployment.deadlineMs + DRAIN_MS);
    await sending;
    deployment.requests.push(...(await threads.takeRequests()));
    const record = recordOf(deployment, seed, faultsEndedAtMs);
    const violations = violationsOf(record);
    // The two ends of each request, beside the logs in between.
    if (violations.length > 0)
      writeFileSync(join(deployment.folder, 'record.json'), JSON.stringify(record));
    const { requests, surplus } = record;
    return {
      seed,
      requests: requests.length,
      answered: requests.filter((request) => request.outcome?.isComplete).length,
      refused: requests.filter(({ outcome }) => NOT_RUN_STATUSES.has(outcome?.status ?? 0)).length,
      surplus: surplus.length,
      surplus503: surplus.filter(({ status }) => status === 503).length,
      disturbances: record.disturbances.length,
      violations,
      longestStallMs: Math.round(eventLoopDelay.max / NS_PER_MS),
      folder: deployment.folder,
    };
  } finally {
    eventLoopDelay.disable();
    callers.close();
    threads?.close();
    await deployment.close();
  }
}

/** Runs one seed of a play. */
export type Play = (seed: number, seconds: number, size: SoakSize) => Promise<SoakResult>;

/** Plays by their `--play` name: the scenarios, and those with a deployment of their own. */
export const PLAYS: Readonly<Record<string, Play>> = {
  ...Object.fromEntries(
    Object.entries(SCENARIOS).map(([name, scenario]): [string, Play] => [
      name,
      (seed, seconds, size) => soak(seed, seconds, size, scenario),
    ]),
  ),
  'own-interface': soakOwnInterface,
};
