/**
 * Simulates entries in front of endpoints that report a rate limit, in virtual time: callers, faults
 * and the requests that reach the endpoints. The entries come from a factory, so that they can be
 * built from the components of the daemon.
 */
import { seededRandom } from '../../src/core/clock/index.js';
import type { EndpointProcess } from '../../src/core/published/types.js';
import { asId } from '../../src/core/ids/index.js';
import { Network, type Node } from './network.js';
import { VirtualTime } from './virtual-time.js';

/** Faults of entries and their network; the first entries are the relays. */
export type Fault =
  | 'none'
  | 'rolling-restart'
  | 'relays-restart'
  | 'relays-suspended'
  | 'relay-unreachable'
  | 'partition';

/** Load, limits and faults of one simulation. */
export interface FleetScenario {
  readonly seed: number;
  readonly entries: number;
  readonly relays: number;
  readonly endpoints: number;
  /** Limit that each endpoint reports at a time, requests/s; undefined while it reports none. */
  readonly limitAt: (nowMs: number) => number | undefined;
  /** Requests/s of all callers together. */
  readonly requestsPerS: number;
  /** Share of the requests sent to the last entry, which is not a relay; even shares if undefined. */
  readonly busiestEntryShare?: number | undefined;
  /** Callers are alternately idle and active for this long, ms; always active if undefined. */
  readonly idlePeriodMs?: number | undefined;
  /** Mean time until a response begins, ms. */
  readonly responseDelayMs: number;
  readonly fault: Fault;
  /** Ratio of messages between entries that are lost. */
  readonly lossRatio?: number | undefined;
  readonly durationS: number;
}

/** An endpoint with a rate limit. */
export interface SimulatedEndpoint extends EndpointProcess {
  /** Position among the endpoints of the service, from 0 to below 1. */
  readonly position: number;
}

/** One incarnation of an entry. */
export interface SimulatedEntry {
  /** Whether a request may be sent to an endpoint; consumes a token if the endpoint is limited. */
  acquire(endpoint: SimulatedEndpoint): Promise<boolean>;
  /** Whether `acquire` may succeed now. */
  mayAcquire(endpoint: SimulatedEndpoint): boolean;
  /** Notes the limit, or its absence, in the headers of a response. */
  noteResponse(
    endpoint: SimulatedEndpoint,
    limitPerS: number | undefined,
    sentAtMs: number,
    nowMs: number,
  ): void;
}

/** Dependencies of a simulated entry. */
export interface SimulatedEntryDeps {
  readonly time: VirtualTime;
  readonly random: () => number;
  readonly network: Network;
  readonly node: Node;
  readonly name: string;
  /** Nodes of the relays. */
  readonly relays: readonly Node[];
  /** The current incarnation of a node's entry. */
  readonly entryAt: (node: Node) => SimulatedEntry;
  /** Whether this incarnation is running. */
  readonly isAlive: () => boolean;
}

/** Creates one incarnation of an entry. */
export type CreateEntry = (deps: SimulatedEntryDeps) => SimulatedEntry;

/** How well the limits were kept and used in a simulation. */
export interface FleetResult {
  /** Largest excess over the bound in any window of any endpoint; at most 0 if the bound held. */
  readonly excess: number;
  /** Highest number of requests in a window. */
  readonly maxInWindow: number;
  /** Share of the limits that was used while they were in force. */
  readonly utilisation: number;
  /** Mean calls/s to the relay that received most. */
  readonly busiestRelayCallsPerS: number;
}

/** Length of the windows in which requests are counted, ms. */
const WINDOW_MS = 4000;
/** Time from an endpoint's first report of its limit until the bound applies, ms. */
const ENFORCED_AFTER_MS = 3000;
/** Time from the first response with a limit at an entry until its requests count, ms. */
const OBSERVED_GRACE_MS = 500;
/** Time after the end of an entry's own fault during which its requests do not count, ms. */
const RECOVERY_MS = 10_000;
const RESTART_MS = 4800;
const SUSPENSION_MS = 11_000;
const UNREACHABLE_MS = 8000;
const FAULT_INTERVAL_MS = 15_000;

interface Arrival {
  readonly atMs: number;
  /** Whether the bound applies to the entry that sent it. */
  readonly isCounted: boolean;
  readonly limitPerS: number | undefined;
}

interface Target extends SimulatedEndpoint {
  readonly arrivals: Arrival[];
  firstReportedAtMs: number | undefined;
}

interface Instance {
  readonly node: Node;
  entry: SimulatedEntry;
  uncountedUntilMs: number;
  /** When it first received a response with the limit in force, by endpoint. */
  readonly limitObservedAtMs: Map<Target, number>;
}

class Fleet {
  readonly time = new VirtualTime();
  readonly random: () => number;
  readonly network: Network;
  readonly targets: readonly Target[];
  readonly instances: Instance[];
  private partitionedUntilMs = 0;

  constructor(
    readonly scenario: FleetScenario,
    private readonly createEntry: CreateEntry,
  ) {
    this.random = seededRandom(scenario.seed);
    const { time, random } = this;
    const isPartitioned = (a: Node, b: Node): boolean =>
      time.nowMs() < this.partitionedUntilMs && a.index % 2 !== b.index % 2;
    this.network = new Network({ time, random, lossRatio: scenario.lossRatio ?? 0, isPartitioned });
    this.targets = Array.from({ length: scenario.endpoints }, (_, i) => ({
      id: asId(`e-${i}`),
      startedAtMs: 5,
      position: i / scenario.endpoints,
      arrivals: [],
      firstReportedAtMs: undefined,
    }));
    const nodes = Array.from({ length: scenario.entries }, (_, index) => ({
      index,
      incarnation: 0,
      downUntilMs: 0,
      suspendedUntilMs: 0,
      unreachableUntilMs: 0,
    }));
    this.instances = nodes.map((node) => ({
      node,
      entry: this.startEntry(node),
      uncountedUntilMs: 0,
      limitObservedAtMs: new Map<Target, number>(),
    }));
  }

  private startEntry(node: Node): SimulatedEntry {
    const { incarnation } = node;
    return this.createEntry({
      time: this.time,
      random: this.random,
      network: this.network,
      node,
      name: `entry-${String(node.index).padStart(3, '0')}`,
      relays: this.instances
        ? this.instances.slice(0, this.scenario.relays).map((instance) => instance.node)
        : [],
      entryAt: (target) => this.instanceAt(target).entry,
      isAlive: () => node.incarnation === incarnation && this.network.isRunning(node),
    });
  }

  private instanceAt({ index }: Node): Instance {
    const found = this.instances[index];
    if (!found) throw new Error(`entry ${index} does not exist`);
    return found;
  }

  /** Creates every entry again: in the constructor the relays are not known yet. */
  startEntries(): void {
    for (const instance of this.instances) instance.entry = this.startEntry(instance.node);
  }

  restart(instance: Instance): void {
    const { node } = instance;
    node.incarnation += 1;
    node.downUntilMs = this.time.nowMs() + RESTART_MS;
    this.excludeFromCount(instance, RESTART_MS);
    instance.limitObservedAtMs.clear();
    this.time.after(RESTART_MS + 1, () => (instance.entry = this.startEntry(node)));
  }

  suspend(instance: Instance): void {
    instance.node.suspendedUntilMs = this.time.nowMs() + SUSPENSION_MS;
    this.excludeFromCount(instance, SUSPENSION_MS);
  }

  disconnect(instance: Instance): void {
    instance.node.unreachableUntilMs = this.time.nowMs() + UNREACHABLE_MS;
    this.excludeFromCount(instance, UNREACHABLE_MS);
  }

  partition(): void {
    this.partitionedUntilMs = this.time.nowMs() + UNREACHABLE_MS;
  }

  private excludeFromCount(instance: Instance, forMs: number): void {
    instance.uncountedUntilMs = this.time.nowMs() + forMs + RECOVERY_MS;
  }

  /** Sends one request to the first endpoint, in random order, for which it acquires a token. */
  async request(instance: Instance): Promise<void> {
    const { node, entry } = instance;
    const { incarnation } = node;
    if (!this.network.isRunning(node)) return;
    const order = this.targets
      .map((target) => ({ target, rank: this.random() }))
      .sort((a, b) => a.rank - b.rank);
    for (const { target } of order) {
      if (!entry.mayAcquire(target) || !(await entry.acquire(target))) continue;
      if (node.incarnation === incarnation && this.network.isRunning(node))
        this.send(instance, target);
      return;
    }
  }

  private send(instance: Instance, target: Target): void {
    const { node, entry, limitObservedAtMs } = instance;
    const { incarnation } = node;
    const sentAtMs = this.time.nowMs();
    const observedAtMs = limitObservedAtMs.get(target) ?? Number.POSITIVE_INFINITY;
    target.arrivals.push({
      atMs: sentAtMs,
      isCounted:
        sentAtMs >= observedAtMs + OBSERVED_GRACE_MS && sentAtMs >= instance.uncountedUntilMs,
      limitPerS: this.scenario.limitAt(sentAtMs),
    });
    this.time.after(this.scenario.responseDelayMs * (0.5 + this.random()), () => {
      const nowMs = this.time.nowMs();
      const limitPerS = this.scenario.limitAt(nowMs);
      if (limitPerS !== undefined) target.firstReportedAtMs ??= nowMs;
      if (node.incarnation !== incarnation || !this.network.isRunning(node)) return;
      if (limitPerS === undefined) limitObservedAtMs.delete(target);
      else if (!limitObservedAtMs.has(target)) limitObservedAtMs.set(target, nowMs);
      entry.noteResponse(target, limitPerS, sentAtMs, nowMs);
    });
  }

  private isIdle(): boolean {
    const { idlePeriodMs } = this.scenario;
    return idlePeriodMs !== undefined && Math.floor(this.time.nowMs() / idlePeriodMs) % 2 === 0;
  }

  /** Schedules the requests to one entry as a Poisson process; none are sent while idle. */
  scheduleRequests(instance: Instance): void {
    const requestsPerS = this.requestsPerSAt(instance);
    const scheduleNext = (): void => {
      this.time.after((-Math.log(1 - this.random()) / requestsPerS) * 1000, () => {
        if (!this.isIdle()) void this.request(instance);
        scheduleNext();
      });
    };
    if (requestsPerS > 0) scheduleNext();
  }

  private requestsPerSAt({ node }: Instance): number {
    const { entries, requestsPerS, busiestEntryShare } = this.scenario;
    if (busiestEntryShare === undefined || entries === 1) return requestsPerS / entries;
    if (node.index === entries - 1) return requestsPerS * busiestEntryShare;
    return (requestsPerS * (1 - busiestEntryShare)) / (entries - 1);
  }
}

/** Schedules the faults of a scenario. */
function scheduleFaults(fleet: Fleet): void {
  const { time, random, instances, scenario } = fleet;
  const relays = instances.slice(0, scenario.relays);
  const atInterval = (run: () => void): void =>
    time.every(FAULT_INTERVAL_MS, FAULT_INTERVAL_MS, run);
  const withinJitter = (run: () => void): void => time.after(1 + random() * 200, run);
  const faults: Record<Fault, () => void> = {
    none: () => undefined,
    'rolling-restart': () =>
      time.every(6000, 6000, () => {
        const instance = instances[Math.floor(random() * instances.length)];
        if (instance) fleet.restart(instance);
      }),
    'relays-restart': () =>
      atInterval(() => relays.forEach((relay) => withinJitter(() => fleet.restart(relay)))),
    'relays-suspended': () => atInterval(() => relays.forEach((relay) => fleet.suspend(relay))),
    'relay-unreachable': () =>
      atInterval(() => relays.slice(0, 1).forEach((relay) => fleet.disconnect(relay))),
    partition: () => atInterval(() => fleet.partition()),
  };
  faults[scenario.fault]();
}

/** Number of requests that may arrive in a window. */
const allowedInWindow = (limitPerS: number): number => 1.5 * limitPerS * (WINDOW_MS / 1000) + 5;

/** Highest count and excess of any window, in a span in which the endpoint reports one limit. */
function busiestWindow(
  arrivals: readonly Arrival[],
  fromMs: number,
): { maxInWindow: number; excess: number } {
  const countedArrivals = arrivals.filter(
    (a) => a.isCounted && a.atMs >= fromMs + ENFORCED_AFTER_MS,
  );
  let maxInWindow = 0;
  let excess = Number.NEGATIVE_INFINITY;
  let last = 0;
  for (const [first, { atMs, limitPerS = 0 }] of countedArrivals.entries()) {
    while ((countedArrivals[last]?.atMs ?? Number.POSITIVE_INFINITY) < atMs + WINDOW_MS) last += 1;
    maxInWindow = Math.max(maxInWindow, last - first);
    excess = Math.max(excess, last - first - allowedInWindow(limitPerS));
  }
  return { maxInWindow, excess };
}

/** Splits arrivals into spans in which the limit stays the same. */
function spansOfOneLimit({ arrivals }: Target): Arrival[][] {
  const spans: Arrival[][] = [];
  let last: number | undefined;
  for (const arrival of arrivals) {
    if (arrival.limitPerS !== undefined && arrival.limitPerS === last) spans.at(-1)?.push(arrival);
    else if (arrival.limitPerS !== undefined) spans.push([arrival]);
    last = arrival.limitPerS;
  }
  return spans;
}

function resultOf({ targets, network, scenario }: Fleet): FleetResult {
  const { limitAt, durationS } = scenario;
  let maxInWindow = 0;
  let excess = Number.NEGATIVE_INFINITY;
  let sent = 0;
  let allowed = 0;
  for (const target of targets) {
    for (const span of spansOfOneLimit(target)) {
      const busiest = busiestWindow(span, span[0]?.atMs ?? 0);
      maxInWindow = Math.max(maxInWindow, busiest.maxInWindow);
      excess = Math.max(excess, busiest.excess);
    }
    const fromMs = (target.firstReportedAtMs ?? durationS * 1000) + ENFORCED_AFTER_MS;
    sent += target.arrivals.filter((a) => a.limitPerS !== undefined && a.atMs >= fromMs).length;
    for (let atMs = fromMs; atMs < durationS * 1000; atMs += 10)
      allowed += (limitAt(atMs) ?? 0) / 100;
  }
  const busiestRelayCallsPerS = Math.max(0, ...network.calls.values()) / durationS;
  return {
    maxInWindow,
    excess,
    utilisation: allowed > 0 ? sent / allowed : 0,
    busiestRelayCallsPerS,
  };
}

/**
 * Simulates one scenario with entries of the given kind.
 * @example (await simulateFleet(scenario, createEntry)).excess <= 0
 */
export async function simulateFleet(
  scenario: FleetScenario,
  create: CreateEntry,
): Promise<FleetResult> {
  const fleet = new Fleet(scenario, create);
  fleet.startEntries();
  for (const instance of fleet.instances) fleet.scheduleRequests(instance);
  scheduleFaults(fleet);
  await fleet.time.runUntil(scenario.durationS * 1000);
  return resultOf(fleet);
}
