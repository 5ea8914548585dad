/** An entry in a process of its own, whose memory can be measured while callers flood it. */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { okResponse } from '../../fakes/raw-endpoint/index.js';
import { asId } from '../../src/core/ids/index.js';
import type {
  PublishedConfig,
  PublishedEndpoint,
  RouteId,
  ServiceId,
} from '../../src/core/published/index.js';
import { config, endpoint, route, SERVICE, TEST_SETTINGS, withRawEndpoints } from './harness.js';

const PATH = fileURLToPath(import.meta.url);
const SAMPLE_MS = 20;
/** Time that the endpoint works on a request, ms. */
const WORK_MS = 20;
/** Limits of the entry's callers. */
const FLOOD_LIMITS = { headerBytes: 16_384, bodyBytes: 4096, headerMs: 300, idleMs: 2000 };
export const FLOOD_DEADLINE_MS = 600;

/** Path of a service of which no caller sends without end. */
export const SOUND_PATH = '/sound/1';
const SOUND: ServiceId = asId('sound');

type Query = 'start' | 'measure';

/** Serves until its parent is gone. */
async function serve(): Promise<void> {
  const flooded = route({ kind: 'once', timeoutMs: FLOOD_DEADLINE_MS });
  const sound = route({
    id: asId<RouteId>('r-sound'),
    pathPrefix: '/sound/',
    kind: 'once',
    shares: [{ service: SOUND, weight: 1 }],
  });
  const services: PublishedConfig['services'] = new Map(
    [asId<ServiceId>(SERVICE), SOUND].map((id) => [
      id,
      { id, maxConnections: 100, engine: undefined },
    ]),
  );
  const cfg = config([flooded, sound], { limits: FLOOD_LIMITS, services });
  const recordOf = (address: string, i: number): PublishedEndpoint =>
    i === 0 ? endpoint('e-0', address) : { ...endpoint('e-1', address), service: SOUND };
  const settings = { ...TEST_SETTINGS, keyFreshnessMs: Infinity, configApplyMs: Infinity };
  const respond: Parameters<typeof withRawEndpoints>[0][number] = (req) =>
    void setTimeout(() => req.socket.write(okResponse(req, 'own')), WORK_MS);
  await withRawEndpoints(
    [respond, respond],
    cfg,
    async ({ entry }) => {
      let peakBytes = 0;
      const sample = (): void => {
        peakBytes = Math.max(peakBytes, process.memoryUsage().rss);
        entry.logLines.length = 0;
      };
      setInterval(sample, SAMPLE_MS).unref();
      process.on('message', (query: Query) => {
        if (query === 'start') peakBytes = 0;
        sample();
        const running = entry.gateway.running();
        process.send?.({ peakBytes, running, cpuMs: process.cpuUsage().user / 1000 });
      });
      process.send?.((entry.gateway.server.address() as AddressInfo).port);
      await once(process, 'disconnect');
    },
    { settings, recordOf },
  );
}

/** What an entry has used. */
export interface Usage {
  /** Most resident memory since the last `start`, bytes. */
  readonly peakBytes: number;
  readonly running: number;
  readonly cpuMs: number;
}

/** A running entry process. */
export interface EntryProcess {
  readonly port: number;
  readonly query: (query: Query) => Promise<Usage>;
  readonly stop: () => Promise<void>;
}

/**
 * Starts an entry in a process of its own.
 * @example const entry = await startEntryProcess(); await entry.query('start');
 */
export async function startEntryProcess(): Promise<EntryProcess> {
  const child = fork(PATH, ['serve']);
  const [port] = (await once(child, 'message')) as [number];
  return {
    port,
    query: async (query) => {
      child.send(query);
      const [usage] = (await once(child, 'message')) as [Usage];
      return usage;
    },
    stop: async () => {
      child.disconnect();
      await Promise.race([once(child, 'exit'), wait(2000)]);
      child.kill('SIGKILL');
    },
  };
}

if (process.argv[2] === 'serve') void serve().then(() => process.exit(0));
