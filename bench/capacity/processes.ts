/** Measures CPU time and network bytes of the control plane in fleets of idle daemons. */
import { execFileSync } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { Cluster, median, readMetric, residentMb, type Member } from '../harness/index.js';

/** Cost of one idle daemon. */
export interface DaemonCost {
  readonly cpuPercent: number;
  readonly bytesPerSecond: number;
  readonly residentMb: number;
}

/** Costs of a fleet in one data centre: the median daemon of each role, and the platform calls. */
export interface FleetCost {
  readonly daemons: number;
  readonly relay: DaemonCost;
  readonly entry: DaemonCost;
  readonly agent: DaemonCost;
  readonly coordinator: DaemonCost;
  readonly platformCallsPerSecond: number;
  readonly platformCallsAtStart: number;
  readonly changeMs: number;
}

const MEASURE_SECONDS = 10;

interface CounterReading {
  readonly cpuUs: number;
  readonly bytes: number;
}

async function readCounters(member: Member): Promise<CounterReading> {
  const [cpuUs, bytes] = await Promise.all([
    readMetric(member, 'cpu_us'),
    readMetric(member, 'socket_bytes'),
  ]);
  return { cpuUs, bytes };
}

function medianCost(costs: readonly DaemonCost[]): DaemonCost {
  return {
    cpuPercent: median(costs.map((c) => c.cpuPercent)),
    bytesPerSecond: median(costs.map((c) => c.bytesPerSecond)),
    residentMb: median(costs.map((c) => c.residentMb)),
  };
}

async function measureChangeMs(cluster: Cluster): Promise<number> {
  const doc = await cluster.publish(
    cluster.publishedDocument?.body ?? cluster.initialConfiguration(),
  );
  const start = Date.now();
  for (;;) {
    const all = await Promise.all(cluster.members.map((m) => cluster.status(m)));
    if (all.every((s) => s['config'] === doc.version)) return Date.now() - start;
    if (Date.now() - start > 20_000) return Number.NaN;
    await sleep(20);
  }
}

/** Starts a fleet, a quarter of it entries and the rest agents, and measures it while idle. */
export async function measureFleet(daemons: number): Promise<FleetCost> {
  const entries = Math.max(1, Math.floor(daemons / 4));
  const cluster = await Cluster.start({
    dataCentres: ['dc-a'],
    entriesPerDataCentre: entries,
    servicesPerDataCentre: 0,
    ranksPerDataCentre: daemons - entries,
    organisations: [{ id: 'o', weight: 1, tokensPerSecond: 1000 }],
    // The default intervals; status reads must not count as control plane traffic.
    timing: { watchMs: 25_000, fallbackMs: 2000, startMs: 300, groupMs: 2000 },
  });
  try {
    await sleep(3000);
    const callsBefore = await cluster.platformCalls();
    const before = await Promise.all(cluster.members.map(readCounters));
    await sleep(MEASURE_SECONDS * 1000);
    const after = await Promise.all(cluster.members.map(readCounters));
    const calls = (await cluster.platformCalls()) - callsBefore;
    const counters = await Promise.all(cluster.members.map((m) => cluster.counters(m)));
    const costs = cluster.members.map((m, i) => ({
      cpuPercent: ((after[i]?.cpuUs ?? 0) - (before[i]?.cpuUs ?? 0)) / MEASURE_SECONDS / 10_000,
      bytesPerSecond: ((after[i]?.bytes ?? 0) - (before[i]?.bytes ?? 0)) / MEASURE_SECONDS,
      residentMb: residentMb(m.process.pid),
    }));
    const pick = (test: (m: Member, c: Record<string, number>) => boolean): DaemonCost =>
      medianCost(costs.filter((_, i) => test(cluster.members[i] as Member, counters[i] ?? {})));
    const isRelay = (c: Record<string, number>): boolean =>
      (c['feed_served_total'] ?? 0) >= (daemons - 2) / 4 && daemons > 2;
    const isCoordinator = (c: Record<string, number>): boolean =>
      Object.keys(c).some((k) => k.startsWith('switch_rounds_total'));
    return {
      daemons,
      relay: pick((_, c) => isRelay(c) && !isCoordinator(c)),
      entry: pick((m, c) => m.role === 'entry' && !isRelay(c)),
      agent: pick((m, c) => m.role === 'agent' && !isRelay(c) && !isCoordinator(c)),
      coordinator: pick((_, c) => isCoordinator(c)),
      platformCallsPerSecond: calls / MEASURE_SECONDS,
      platformCallsAtStart: callsBefore,
      changeMs: await measureChangeMs(cluster),
    };
  } finally {
    await cluster.stop();
  }
}

/** Resident memory of an idle Node process, bare and with the daemon's libraries loaded, MB. */
export function measureRuntime(): { bareMb: number; librariesMb: number; smallHeapMb: number } {
  const script =
    'setTimeout(() => { console.log(process.memoryUsage().rss / 1e6); process.exit(0); }, 500);';
  const load =
    "await Promise.all(['undici', '@trpc/server', '@trpc/client', 'hdr-histogram-js', 'roarr', 'ts-results'].map((m) => import(m)));";
  const run = (args: string[], code: string): number =>
    Number(
      execFileSync(process.execPath, [...args, '--input-type=module', '-e', code], {
        encoding: 'utf8',
      }),
    );
  return {
    bareMb: run([], script),
    librariesMb: run([], load + script),
    smallHeapMb: run(['--max-semi-space-size=1', '--optimize-for-size'], load + script),
  };
}
