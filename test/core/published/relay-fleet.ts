/** Daemons that hear of what is published from each other, before a store that may turn some of them away. */
import assert from 'node:assert/strict';
import { systemClock, type Clock } from '../../../src/core/clock/index.js';
import { CrashEvidence } from '../../../src/core/crashes/index.js';
import { asId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import {
  entryPace,
  ENTRY_RELAYED,
  followPublished,
  PublishedRelay,
  PublishedState,
  RELAY_PACE,
  RelayedSource,
  type PublishedEndpoint,
  type PublishedStore,
  type ReadFault,
  type RelayedPace,
} from '../../../src/core/published/index.js';
import { Err, Ok } from '../../../src/core/result/index.js';
import { until } from '../../fixtures/until.js';
import { config, endpoint, route } from '../../gateway/harness.js';

export const A = endpoint('a', '10.0.0.1:1');
export const B = endpoint('b', '10.0.0.2:1');
export const LOST: ReadFault = { kind: 'timeout', detail: 'silent' };
export const BUSY: ReadFault = { kind: 'busy', detail: 'turned away' };

/** Time after which daemons are bound again, ms. */
const CONTACT_MS = 3000;
/** Time after its wait at which a call without an answer is given up, ms. */
const SILENT_READ_MS = 800;

/** Waits in real time. */
export const pause = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/** A store whose calls are counted, and that may turn callers away. */
export class StoreFake implements PublishedStore {
  readonly name = 'store';
  endpoints: PublishedEndpoint[] = [A];
  version = 1;
  /** Rises each time that it comes back from a copy. */
  era = 0;
  isAway = false;
  /** How it turns callers away. */
  away = LOST;
  /** Whether waiting calls get no answer at all. */
  isSilent = false;
  calls = { all: 0, watch: 0, config: 0 };
  private revision = 1;
  private waiting: (() => void)[] = [];

  change(): void {
    this.revision += 1;
    if (this.isSilent) return;
    for (const wake of this.waiting.splice(0)) wake();
  }

  get total(): number {
    return 4 * this.calls.all + this.calls.watch + this.calls.config;
  }

  /** Whether what it gives can be passed on. */
  hasDocument = false;

  private config() {
    const { version } = this;
    const document = this.hasDocument ? { document: String(version) } : {};
    return { kind: 'read', config: config([route()], { version, ...document }) } as const;
  }

  readonly decodeConfig: PublishedStore['decodeConfig'] = (document) => ({
    config: { kind: 'read', config: config([route()], { version: Number(document), document }) },
    invalid: [],
  });

  readonly readAll: PublishedStore['readAll'] = () => {
    this.calls.all += 1;
    if (this.isAway) return Promise.resolve(Err(this.away));
    const { endpoints, revision, era } = this;
    return Promise.resolve(Ok({ config: this.config(), endpoints, revision, invalid: [], era }));
  };
  readonly readConfig: PublishedStore['readConfig'] = () => {
    this.calls.config += 1;
    return Promise.resolve(
      this.isAway ? Err(this.away) : Ok({ config: this.config(), invalid: [], era: this.era }),
    );
  };
  readonly watch: PublishedStore['watch'] = async (revision, waitMs) => {
    this.calls.watch += 1;
    if (this.isAway) return Err(this.away);
    if (revision === this.revision || this.isSilent)
      await new Promise<void>((done) => {
        const timer = setTimeout(done, waitMs);
        this.waiting.push(() => (clearTimeout(timer), done()));
      });
    if (this.isSilent) {
      await pause(SILENT_READ_MS);
      return Err(LOST);
    }
    const isNew = revision !== this.revision;
    return Ok({
      kind: 'changes',
      config: isNew ? this.config() : { kind: 'same' },
      endpoints: isNew ? this.endpoints.map((e) => ({ kind: 'written', endpoint: e })) : [],
      revision: this.revision,
      invalid: [],
      era: this.era,
    });
  };
}

export interface Daemon {
  readonly state: PublishedState;
  readonly source: RelayedSource;
  readonly relay: PublishedRelay;
  readonly crashes: CrashEvidence;
}

export interface Fleet {
  readonly store: StoreFake;
  /** A way to the store of its own, by daemon: it may be cut alone. */
  readonly own: Map<string, StoreFake>;
  readonly gone: Set<string>;
  readonly daemons: Map<string, Daemon>;
  readonly events: string[];
  nowMs: number;
  /** Called while a daemon that knows nothing yet waits. */
  onPause: () => void;
  start(name: string, relays: readonly string[], pace?: RelayedPace, clock?: Clock): Daemon;
}

export function startFleet(): Fleet {
  const fleet: Fleet = {
    store: new StoreFake(),
    own: new Map(),
    gone: new Set(),
    daemons: new Map(),
    events: [],
    nowMs: 0,
    onPause: () => undefined,
    start: (name, relays, pace = ENTRY_RELAYED, clock = fleetClock) => {
      const state = new PublishedState();
      const crashes = new CrashEvidence(clock);
      const relay = new PublishedRelay({
        crashes,
        state,
        clock,
        life: asId(`life-${name}`),
        isDirect: () => source.isDirect,
      });
      const store = fleet.own.get(name) ?? fleet.store;
      const source = new RelayedSource({
        store,
        relays: relays.filter((other) => other !== name),
        isRelay: relays.includes(name),
        crashes,
        state,
        clock,
        pace,
        wantsConfig: () => pace.wantsProof,
        pause: (ms) => {
          fleet.nowMs += ms;
          fleet.onPause();
          return Promise.resolve();
        },
        log: {
          ...silentLog,
          info: (event, fields) => fleet.events.push(`${event} ${JSON.stringify(fields)}`),
        },
        ask: (address, ask) => {
          const asked = fleet.daemons.get(address);
          if (!asked || fleet.gone.has(address))
            return Promise.reject(new Error('no answer in time'));
          return asked.relay.answer(ask);
        },
      });
      const daemon = { state, source, relay, crashes };
      fleet.daemons.set(name, daemon);
      return daemon;
    },
  };
  const fleetClock: Clock = { nowMs: () => fleet.nowMs, wallMs: () => fleet.nowMs };
  return fleet;
}

/** What following does with a whole read, for tests without its loop. */
export async function readAll(daemon: Daemon, fleet: Fleet): Promise<void> {
  const askedAtMs = fleet.nowMs;
  const read = (await daemon.source.readAll()).unwrap();
  daemon.state.enterEra(read.era ?? 0, fleet.nowMs);
  const pending =
    read.config.kind === 'pending' ? (await daemon.source.readConfig()).unwrap() : read;
  const provedAtMs = askedAtMs + (read.confirmedAfterMs ?? 0);
  if (pending.config.kind === 'read') daemon.state.offerConfig(pending.config.config, provedAtMs);
  else daemon.state.proveConfig(provedAtMs);
  daemon.state.offerList(read.endpoints, false);
  daemon.relay.noteLearnt();
}

/** A fleet whose daemons follow in real time. */
export async function follow(
  relays: number,
  others: number,
  run: (fleet: Fleet, signal: AbortSignal) => Promise<void>,
  cut: readonly string[] = [],
): Promise<void> {
  const fleet = startFleet();
  const ending = new AbortController();
  const names = Array.from({ length: relays }, (_, i) => `r${i}`);
  for (const name of cut) fleet.own.set(name, new StoreFake());
  const done: Promise<void>[] = [];
  const start = (name: string): void => {
    const { state, source, relay } = fleet.start(name, names, ENTRY_RELAYED, systemClock);
    done.push(
      followPublished(
        {
          source,
          state,
          pace: names.includes(name) ? RELAY_PACE : entryPace(CONTACT_MS),
          onLearnt: () => relay.noteLearnt(),
          clock: systemClock,
          random: () => 0.5,
          log: silentLog,
          metrics: new Metrics(),
        },
        ending.signal,
      ),
    );
  };
  try {
    names.forEach(start);
    await until('the relays know all', () =>
      names.every((name) => fleet.daemons.get(name)?.state.list.size === 1),
    );
    for (let i = 0; i < others; i += 1) start(`e${i}`);
    await until('all know all', () =>
      [...fleet.daemons.values()].every(({ state }) => state.list.size === 1),
    );
    await run(fleet, ending.signal);
  } finally {
    ending.abort();
    await Promise.all(done);
  }
}

/** Publishes a version at every way to the store, and fails unless all daemons have it in time. */
export async function isInForceWithin(
  fleet: Fleet,
  version: number,
  withinMs: number,
): Promise<void> {
  for (const store of [fleet.store, ...fleet.own.values()]) {
    store.version = version;
    store.change();
  }
  const lacking = (): string[] =>
    [...fleet.daemons].flatMap(([name, { state }]) =>
      state.config?.version === version || fleet.own.get(name)?.isSilent ? [] : [name],
    );
  await pause(withinMs);
  assert.deepEqual(lacking(), [], `without version ${version} after ${withinMs} ms`);
}
