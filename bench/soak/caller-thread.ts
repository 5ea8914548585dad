/** Runs many callers in threads of their own, so that they do not delay the endpoints. */
import { once } from 'node:events';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { seededRandom } from '../../src/core/clock/index.js';
import { Callers, type CallersDeployment } from './callers.js';
import type { Deployment } from './deployment.js';
import type { CallerRequest } from './record.js';

const THREADS = 2;

/** Data of a thread: what its callers need, and the time from which others are counted. */
interface ThreadData {
  readonly deployment: Omit<CallersDeployment, 'nowMs'>;
  readonly startedAtMs: number;
  readonly seed: number;
  readonly thread: number;
}

/** Threads of callers. */
export interface CallerThreads {
  /** Stops sending; responses to pending requests are still recorded. */
  stop(): void;
  /** Returns all requests; their connections are closed. */
  takeRequests(): Promise<CallerRequest[]>;
  close(): void;
}

/**
 * Starts the closed-loop callers of a deployment.
 * @example const threads = startCallerThreads(deployment, 7);
 */
export function startCallerThreads(deployment: Deployment, seed: number): CallerThreads {
  const { entries, crashingPaths, promptTopics, kinds, deadlineMs, callers } = deployment;
  const { extraRoutes, removedRoutes } = deployment.config;
  const view = {
    requests: [],
    crashingPaths,
    promptTopics,
    kinds,
    deadlineMs,
    areCallersPaused: false,
    slowReaders: [],
    callers: Math.ceil(callers / THREADS),
    entries: entries.map(({ name, host }) => ({ name, host })),
    config: { extraRoutes, removedRoutes },
  };
  const startedAtMs = Date.now() - deployment.nowMs();
  const workers = Array.from({ length: callers > 0 ? THREADS : 0 }, (_, thread) => {
    const data: ThreadData = { deployment: view, startedAtMs, seed, thread };
    return new Worker(new URL(import.meta.url), { workerData: data });
  });
  return {
    stop: () => workers.forEach((worker) => worker.postMessage('stop')),
    takeRequests: async () => {
      const taken = await Promise.all(
        workers.map(async (worker) => {
          worker.postMessage('take');
          const [requests] = (await once(worker, 'message')) as [CallerRequest[]];
          return requests;
        }),
      );
      return taken.flat();
    },
    close: () => workers.forEach((worker) => void worker.terminate()),
  };
}

async function runThread({ deployment, startedAtMs, seed, thread }: ThreadData): Promise<void> {
  const nowMs = (): number => performance.timeOrigin + performance.now() - startedAtMs;
  const random = seededRandom(seed + 3_000_000 + thread);
  const callers = new Callers({ ...deployment, nowMs }, random, `q${thread}-`);
  parentPort?.on('message', (order: string) => {
    if (order === 'stop') return callers.stop();
    callers.close();
    parentPort?.postMessage(deployment.requests);
  });
  await callers.run();
}

if (!isMainThread) await runThread(workerData as ThreadData);
