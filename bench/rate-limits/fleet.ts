/**
 * Entries before endpoints that name a rate limit, in virtual time: callers, faults and the count of what arrives. The entries
 * themselves are made by a function, from the parts of the real program.
 */
import { seededRandom } from '../../src/core/clock/index.js';
import type { EndpointProcess } from '../../src/core/published/types.js';
import { asId } from '../../src/core/ids/index.js';
import { Network, type Node } from './network.js';
import { VirtualTime } from './virtual-time.js';

/** Faults of entries; relays are the first entries. */
export type Fault =
  'none' | 'rolling-restart' | 'relays-restart' | 'relays-frozen' | 'relay-cut' | 'parted';

/** What is played. */
export interface FleetPlay {
  readonly seed: number;
  readonly entries: number;
  readonly relays: number;
  readonly endpoints: number;
  /** Requests/s that each endpoint takes, by time. */
  readonly limitAt: (nowMs: number) => number | undefined;
  /** Requests/s of all callers. */
  readonly callersPerS: number;
  /** Share of the callers at one entry that is no relay; equal shares if undefined. */
  readonly firstShare?: number | undefined;
  /** Callers are quiet for this long, and ask for as long, by turns, ms. */
  readonly quietMs?: number | undefined;
  /** Mean time until an answer begins, ms. */
  readonly answerMs: number;
  readonly fault: Fault;
  /** Share of the calls between entries that are lost. */
  readonly lossShare?: number | undefined;
  readonly seconds: number;
}

/** An endpoint of the model. */
export interface ModelEndpoint extends EndpointProcess {
  /** Position among the endpoints of the service, 0 to 1. */
  readonly position: number;
}

/** One life of an entry, made from the real parts. */
export interface ModelEntry {
  /** Whether a request may be sent to an endpoint; consumes a token where one is needed. */
  acquire(endpoint: ModelEndpoint): Promise<boolean>;
  /** Whether an attempt to acquire may succeed. */
  mayAcquire(endpoint: ModelEndpoint): boolean;
  /** Notes the head of an answer. */
  noteAnswer(
    endpoint: ModelEndpoint,
    limitPerS: number | undefined,
    sentAtMs: number,
    nowMs: number,
  ): void;
}

/** What an entry is made from. */
export interface ModelParts {
  readonly time: VirtualTime;
  readonly random: () => number;
  readonly network: Network;
  readonly node: Node;
  readonly name: string;
  /** Nodes of the relays. */
  readonly relays: readonly Node[];
  /** The present life of a node's entry. */
  readonly entryAt: (node: Node) => ModelEntry;
  /** Whether this life goes on. */
  readonly isAlive: () => boolean;
}

/** Makes one life of an entry. */
export type MakeEntry = (parts: ModelParts) => ModelEntry;

/** What came of a play. */
export interface FleetOutcome {
  /** The largest excess over the bound in any window of any endpoint; not above 0 where it was kept. */
  readonly excess: number;
  /** Most requests in a window. */
  readonly most: number;
  /** Share of the limits that was used while they stood. */
  readonly used: number;
  /** Calls/s from others to the busiest entry, a relay. */
  readonly busiestCallsPerS: number;
}

const WINDOW_MS = 4000;
/** Time after an endpoint named its limit first from which the bound counts, ms. */
const CONTACT_MS = 3000;
/** An entry counts from this long after it passed such an answer on, ms. */
const TOLD_MS = 500;
/** An entry does not count for this long after a fault of its own, ms. */
const EXCUSED_MS = 10_000;
const RESTART_MS = 4800;
const FREEZE_MS = 11_000;
const CUT_MS = 8000;
const FAULT_EVERY_MS = 15_000;

interface Arrival {
  readonly atMs: number;
  readonly counts: boolean;
  readonly limitPerS: number | undefined;
}

interface Target extends ModelEndpoint {
  readonly arrivals: Arrival[];
  firstNamedMs: number | undefined;
}

interface Instance {
  readonly node: Node;
  entry: ModelEntry;
  excusedUntilMs: number;
  /** When it first passed on an answer with a limit, by endpoint. */
  readonly told: Map<Target, number>;
}

class Fleet {
  readonly time = new VirtualTime();
  readonly random: () => number;
  readonly network: Network;
  readonly targets: readonly Target[];
  readonly instances: Instance[];
  private partedUntilMs = 0;

  constructor(
    readonly play: FleetPlay,
    private readonly make: MakeEntry,
  ) {
    this.random = seededRandom(play.seed);
    const { time, random } = this;
    const isParted = (a: Node, b: Node): boolean =>
      time.nowMs() < this.partedUntilMs && a.index % 2 !== b.index % 2;
    this.network = new Network({ time, random, lossShare: play.lossShare ?? 0, isParted });
    this.targets = Array.from({ length: play.endpoints }, (_, i) => ({
      id: asId(`e-${i}`),
      startedAtMs: 5,
      position: i / play.endpoints,
      arrivals: [],
      firstNamedMs: undefined,
    }));
    const nodes = Array.from({ length: play.entries }, (_, index) => ({
      index,
      life: 0,
      downUntilMs: 0,
      frozenUntilMs: 0,
      cutUntilMs: 0,
    }));
    this.instances = nodes.map((node) => ({
      node,
      entry: this.start(node),
      excusedUntilMs: 0,
      told: new Map<Target, number>(),
    }));
  }

  private start(node: Node): ModelEntry {
    const { life } = node;
    return this.make({
      time: this.time,
      random: this.random,
      network: this.network,
      node,
      name: `entry-${String(node.index).padStart(3, '0')}`,
      relays: this.instances
        ? this.instances.slice(0, this.play.relays).map((one) => one.node)
        : [],
      entryAt: (of) => this.at(of).entry,
      isAlive: () => node.life === life && this.network.isUp(node),
    });
  }

  private at({ index }: Node): Instance {
    const found = this.instances[index];
    if (!found) throw new Error(`entry ${index} does not exist`);
    return found;
  }

  /** Makes every entry anew, now that all nodes are known. */
  startAll(): void {
    for (const instance of this.instances) instance.entry = this.start(instance.node);
  }

  restart(instance: Instance): void {
    const { node } = instance;
    node.life += 1;
    node.downUntilMs = this.time.nowMs() + RESTART_MS;
    this.excuse(instance, RESTART_MS);
    instance.told.clear();
    this.time.after(RESTART_MS + 1, () => (instance.entry = this.start(node)));
  }

  freeze(instance: Instance): void {
    instance.node.frozenUntilMs = this.time.nowMs() + FREEZE_MS;
    this.excuse(instance, FREEZE_MS);
  }

  cut(instance: Instance): void {
    instance.node.cutUntilMs = this.time.nowMs() + CUT_MS;
    this.excuse(instance, CUT_MS);
  }

  part(): void {
    this.partedUntilMs = this.time.nowMs() + CUT_MS;
  }

  private excuse(instance: Instance, forMs: number): void {
    instance.excusedUntilMs = this.time.nowMs() + forMs + EXCUSED_MS;
  }

  /** One request of a caller: sent to the first endpoint, in random order, that a token can be had for. */
  async request(instance: Instance): Promise<void> {
    const { node, entry } = instance;
    const { life } = node;
    if (!this.network.isUp(node)) return;
    const order = this.targets
      .map((target) => ({ target, rank: this.random() }))
      .sort((a, b) => a.rank - b.rank);
    for (const { target } of order) {
      if (!entry.mayAcquire(target) || !(await entry.acquire(target))) continue;
      if (node.life === life && this.network.isUp(node)) this.send(instance, target);
      return;
    }
  }

  private send(instance: Instance, target: Target): void {
    const { node, entry, told } = instance;
    const { life } = node;
    const sentAtMs = this.time.nowMs();
    const toldAtMs = told.get(target) ?? Number.POSITIVE_INFINITY;
    target.arrivals.push({
      atMs: sentAtMs,
      counts: sentAtMs >= toldAtMs + TOLD_MS && sentAtMs >= instance.excusedUntilMs,
      limitPerS: this.play.limitAt(sentAtMs),
    });
    this.time.after(this.play.answerMs * (0.5 + this.random()), () => {
      const nowMs = this.time.nowMs();
      const limitPerS = this.play.limitAt(nowMs);
      if (limitPerS !== undefined) target.firstNamedMs ??= nowMs;
      if (node.life !== life || !this.network.isUp(node)) return;
      if (limitPerS === undefined) told.delete(target);
      else if (!told.has(target)) told.set(target, nowMs);
      entry.noteAnswer(target, limitPerS, sentAtMs, nowMs);
    });
  }

  private isQuiet(): boolean {
    const { quietMs } = this.play;
    return quietMs !== undefined && Math.floor(this.time.nowMs() / quietMs) % 2 === 0;
  }

  /** Callers ask at random, each entry's on their own. */
  callAt(instance: Instance): void {
    const perS = this.callersPerSAt(instance);
    const next = (): void => {
      this.time.after((-Math.log(1 - this.random()) / perS) * 1000, () => {
        if (!this.isQuiet()) void this.request(instance);
        next();
      });
    };
    if (perS > 0) next();
  }

  private callersPerSAt({ node }: Instance): number {
    const { entries, callersPerS, firstShare } = this.play;
    if (firstShare === undefined || entries === 1) return callersPerS / entries;
    if (node.index === entries - 1) return callersPerS * firstShare;
    return (callersPerS * (1 - firstShare)) / (entries - 1);
  }
}

/** Schedules the faults of a play. */
function scheduleFaults(fleet: Fleet): void {
  const { time, random, instances, play } = fleet;
  const relays = instances.slice(0, play.relays);
  const strike = (run: () => void): void => time.every(FAULT_EVERY_MS, FAULT_EVERY_MS, run);
  const soon = (run: () => void): void => time.after(1 + random() * 200, run);
  const faults: Record<Fault, () => void> = {
    none: () => undefined,
    'rolling-restart': () =>
      time.every(6000, 6000, () => {
        const one = instances[Math.floor(random() * instances.length)];
        if (one) fleet.restart(one);
      }),
    'relays-restart': () =>
      strike(() => relays.forEach((relay) => soon(() => fleet.restart(relay)))),
    'relays-frozen': () => strike(() => relays.forEach((relay) => fleet.freeze(relay))),
    'relay-cut': () => strike(() => relays.slice(0, 1).forEach((relay) => fleet.cut(relay))),
    parted: () => strike(() => fleet.part()),
  };
  faults[play.fault]();
}

/** Requests that may arrive in a window. */
const allowedInWindow = (limitPerS: number): number => 1.5 * limitPerS * (WINDOW_MS / 1000) + 5;

/** The worst window of one span in which the endpoint named one limit without a pause. */
function worstWindow(
  arrivals: readonly Arrival[],
  fromMs: number,
): { most: number; excess: number } {
  const counted = arrivals.filter((a) => a.counts && a.atMs >= fromMs + CONTACT_MS);
  let most = 0;
  let excess = Number.NEGATIVE_INFINITY;
  let last = 0;
  for (const [first, { atMs, limitPerS = 0 }] of counted.entries()) {
    while ((counted[last]?.atMs ?? Number.POSITIVE_INFINITY) < atMs + WINDOW_MS) last += 1;
    most = Math.max(most, last - first);
    excess = Math.max(excess, last - first - allowedInWindow(limitPerS));
  }
  return { most, excess };
}

/** Arrivals by spans in which the limit is one and the same. */
function spansOf({ arrivals }: Target): Arrival[][] {
  const spans: Arrival[][] = [];
  let last: number | undefined;
  for (const arrival of arrivals) {
    if (arrival.limitPerS !== undefined && arrival.limitPerS === last) spans.at(-1)?.push(arrival);
    else if (arrival.limitPerS !== undefined) spans.push([arrival]);
    last = arrival.limitPerS;
  }
  return spans;
}

function outcomeOf({ targets, network, play }: Fleet): FleetOutcome {
  const { limitAt, seconds } = play;
  let most = 0;
  let excess = Number.NEGATIVE_INFINITY;
  let got = 0;
  let allowed = 0;
  for (const target of targets) {
    for (const span of spansOf(target)) {
      const worst = worstWindow(span, span[0]?.atMs ?? 0);
      most = Math.max(most, worst.most);
      excess = Math.max(excess, worst.excess);
    }
    const fromMs = (target.firstNamedMs ?? seconds * 1000) + CONTACT_MS;
    got += target.arrivals.filter((a) => a.limitPerS !== undefined && a.atMs >= fromMs).length;
    for (let atMs = fromMs; atMs < seconds * 1000; atMs += 10)
      allowed += (limitAt(atMs) ?? 0) / 100;
  }
  const busiestCallsPerS = Math.max(0, ...network.calls.values()) / seconds;
  return { most, excess, used: allowed > 0 ? got / allowed : 0, busiestCallsPerS };
}

/**
 * Plays one deployment.
 * @example (await playFleet(play, makeEntry)).excess <= 0
 */
export async function playFleet(play: FleetPlay, make: MakeEntry): Promise<FleetOutcome> {
  const fleet = new Fleet(play, make);
  fleet.startAll();
  for (const instance of fleet.instances) fleet.callAt(instance);
  scheduleFaults(fleet);
  await fleet.time.runUntil(play.seconds * 1000);
  return outcomeOf(fleet);
}
