/**
 * Fixture: daemons that receive the published state from each other, and a store that may reject
 * some of them.
 */
import assert from 'node:assert/strict';
import { systemClock, type Clock } from '../../../src/core/clock/index.js';
import { CrashEvidence } from '../../../src/core/crashes/index.js';
import { asId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import {
  entryPace,
  ENTRY_RELAYED_PACE,
  followPublished,
  PublishedRelay,
  PublishedState,
  RELAY_PACE,
  RelayedSource,
  type DataCentreId,
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
export const TIMEOUT: ReadFault = { kind: 'timeout', detail: 'no response' };
export const REJECTED: ReadFault = { kind: 'busy', detail: 'rejected' };

/** Time within which daemons must follow the published state again after a stall, ms. */
const CONTACT_MS = 3000;
/** Time after its wait at which a call without a response times out, ms. */
const STALLED_READ_MS = 800;

/** Waits in real time. */
export const wait = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/** A store that counts calls and may reject callers. */
export class FakeStore implements PublishedStore {
  readonly name = 'store';
  endpoints: PublishedEndpoint[] = [A];
  evacuated: DataCentreId[] = [];
  version = 1;
  /** Rises each time the store is restored from a copy. */
  era = 0;
  isRejecting = false;
  /** Error returned to rejected callers. */
  rejection = TIMEOUT;
  /** Whether waiting calls get no response at all. */
  isUnresponsive = false;
  calls = { all: 0, watch: 0, config: 0 };
  private revision = 1;
  private waiting: (() => void)[] = [];

  notifyChange(): void {
    this.revision += 1;
    if (this.isUnresponsive) return;
    for (const wake of this.waiting.splice(0)) wake();
  }

  get total(): number {
    return 4 * this.calls.all + this.calls.watch + this.calls.config;
  }

  /** Whether its configuration includes a document that can be forwarded. */
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
    if (this.isRejecting) return Promise.resolve(Err(this.rejection));
    const { endpoints, evacuated, revision, era } = this;
    const config = this.config();
    return Promise.resolve(Ok({ config, endpoints, evacuated, revision, invalid: [], era }));
  };
  readonly readConfig: PublishedStore['readConfig'] = () => {
    this.calls.config += 1;
    return Promise.resolve(
      this.isRejecting
        ? Err(this.rejection)
        : Ok({ config: this.config(), invalid: [], era: this.era }),
    );
  };
  readonly watch: PublishedStore['watch'] = async (revision, waitMs) => {
    this.calls.watch += 1;
    if (this.isRejecting) return Err(this.rejection);
    if (revision === this.revision || this.isUnresponsive)
      await new Promise<void>((done) => {
        const timer = setTimeout(done, waitMs);
        this.waiting.push(() => (clearTimeout(timer), done()));
      });
    if (this.isUnresponsive) {
      await wait(STALLED_READ_MS);
      return Err(TIMEOUT);
    }
    const isNew = revision !== this.revision;
    return Ok({
      kind: 'changes',
      config: isNew ? this.config() : { kind: 'same' },
      endpoints: isNew ? this.endpoints.map((e) => ({ kind: 'written', endpoint: e })) : [],
      ...(isNew && { evacuations: { kind: 'whole', dataCentres: [...this.evacuated] } }),
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
  readonly store: FakeStore;
  /**
   * Stores used by single daemons in place of the common one, so that a daemon's access can fail
   * alone.
   */
  readonly ownStores: Map<string, FakeStore>;
  readonly unreachable: Set<string>;
  readonly daemons: Map<string, Daemon>;
  readonly events: string[];
  nowMs: number;
  /** Called while a daemon without state waits. */
  onPause: () => void;
  start(name: string, relays: readonly string[], pace?: RelayedPace, clock?: Clock): Daemon;
}

export function startFleet(): Fleet {
  let starts = 0;
  const fleet: Fleet = {
    store: new FakeStore(),
    ownStores: new Map(),
    unreachable: new Set(),
    daemons: new Map(),
    events: [],
    nowMs: 0,
    onPause: () => undefined,
    start: (name, relays, pace = ENTRY_RELAYED_PACE, clock = fleetClock) => {
      const state = new PublishedState();
      const crashes = new CrashEvidence({ clock });
      const relay = new PublishedRelay({
        crashes,
        state,
        clock,
        life: asId(`life-${name}-${(starts += 1)}`),
        isDirect: () => source.isDirect,
      });
      const store = fleet.ownStores.get(name) ?? fleet.store;
      const source = new RelayedSource({
        store,
        relays: relays.filter((other) => other !== name),
        isRelay: relays.includes(name),
        crashes,
        restoreCrashes: (address, update) => fleet.daemons.get(address)?.crashes.merge(update),
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
          const relayDaemon = fleet.daemons.get(address);
          if (!relayDaemon || fleet.unreachable.has(address))
            return Promise.reject(new Error('no response in time'));
          return relayDaemon.relay.answer(ask);
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

/** Applies a full read as following does, for tests without the follow loop. */
export async function readAll(daemon: Daemon, fleet: Fleet): Promise<void> {
  const askedAtMs = fleet.nowMs;
  const read = (await daemon.source.readAll()).unwrap();
  daemon.state.enterEra(read.era ?? 0, fleet.nowMs);
  const pending =
    read.config.kind === 'pending' ? (await daemon.source.readConfig()).unwrap() : read;
  const confirmedAtMs = askedAtMs + (read.confirmedAfterMs ?? 0);
  if (pending.config.kind === 'read')
    daemon.state.offerConfig(pending.config.config, confirmedAtMs);
  else daemon.state.confirmConfig(confirmedAtMs);
  daemon.state.offerList(read.endpoints, false);
  if (read.evacuated) daemon.state.offerEvacuations({ kind: 'whole', dataCentres: read.evacuated });
  daemon.state.keepEvacuations(read.evacuatedAtPeers ?? []);
  daemon.relay.recordChanges();
}

/** Runs a fleet whose daemons follow the store in real time. */
export async function withFleet(
  relays: number,
  others: number,
  run: (fleet: Fleet, signal: AbortSignal) => Promise<void>,
  withOwnStore: readonly string[] = [],
): Promise<void> {
  const fleet = startFleet();
  const controller = new AbortController();
  const names = Array.from({ length: relays }, (_, i) => `r${i}`);
  for (const name of withOwnStore) fleet.ownStores.set(name, new FakeStore());
  const done: Promise<void>[] = [];
  const start = (name: string): void => {
    const { state, source, relay } = fleet.start(name, names, ENTRY_RELAYED_PACE, systemClock);
    done.push(
      followPublished(
        {
          source,
          state,
          pace: names.includes(name) ? RELAY_PACE : entryPace(CONTACT_MS),
          onRefresh: () => relay.recordChanges(),
          clock: systemClock,
          random: () => 0.5,
          log: silentLog,
          metrics: new Metrics(),
        },
        controller.signal,
      ),
    );
  };
  try {
    names.forEach(start);
    await until('the relays have the list', () =>
      names.every((name) => fleet.daemons.get(name)?.state.list.size === 1),
    );
    for (let i = 0; i < others; i += 1) start(`e${i}`);
    await until('all daemons have the list', () =>
      [...fleet.daemons.values()].every(({ state }) => state.list.size === 1),
    );
    await run(fleet, controller.signal);
  } finally {
    controller.abort();
    await Promise.all(done);
  }
}

/** Publishes a version in every store and fails unless all daemons use it in time. */
export async function assertActiveWithin(
  fleet: Fleet,
  version: number,
  withinMs: number,
): Promise<void> {
  for (const store of [fleet.store, ...fleet.ownStores.values()]) {
    store.version = version;
    store.notifyChange();
  }
  const lacking = (): string[] =>
    [...fleet.daemons].flatMap(([name, { state }]) =>
      state.config?.version === version || fleet.ownStores.get(name)?.isUnresponsive ? [] : [name],
    );
  await wait(withinMs);
  assert.deepEqual(lacking(), [], `daemons without version ${version} after ${withinMs} ms`);
}
