/**
 * Keeps the store up to date. In each data centre a few daemons, chosen by rendezvous hash, watch
 * the platform as relays. All others watch a relay, and read the platform themselves, after a
 * jittered delay, only while their relays are unresponsive.
 */
import { sleep, type Clock, type Random } from '../clock/index.js';
import { isTimeout } from '../errors/index.js';
import type { InstanceId } from '../ids/index.js';
import type { Log } from '../logging/index.js';
import { relaysOf, type InstanceView } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import type { FeedStore, FeedUpdate, Versions } from './store.js';

/** Long-poll watches of the platform; each waits for a version above the given one. */
export interface PlatformClient {
  watchConfig(aboveVersion: number, waitMs: number, signal: AbortSignal): Promise<unknown>;
  watchList(aboveVersion: number, waitMs: number, signal: AbortSignal): Promise<unknown>;
}

/** Watches a peer for updates to the given versions; undefined when there are none within `waitMs`. */
export type WatchPeer = (
  address: string,
  held: Versions,
  waitMs: number,
  signal: AbortSignal,
) => Promise<FeedUpdate | undefined>;

/** Dependencies and timing settings of the feed. */
export interface FeedOptions {
  readonly self: InstanceId;
  readonly dataCentre: string;
  readonly seeds: readonly string[];
  readonly watchMs: number;
  readonly fallbackMs: number;
  readonly startMs: number;
  readonly store: FeedStore;
  readonly view: () => InstanceView;
  readonly platform: PlatformClient;
  readonly watchPeer: WatchPeer;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Number of daemons in each data centre that watch the platform for the others. */
export const RELAYS_PER_DATA_CENTRE = 2;
/** Interval between version exchanges with a random peer: this ratio of a watch's wait, capped. */
const EXCHANGE_INTERVAL_RATIO = 0.6;
const MAX_EXCHANGE_INTERVAL_MS = 5000;

function jittered(meanMs: number, random: Random): number {
  return meanMs * (0.5 + random());
}

/** Addresses of all other daemons. The list also holds endpoints, which do not serve the feed. */
function peerAddresses(options: FeedOptions): string[] {
  const listed = options
    .view()
    .all.filter((i) => i.instance !== options.self && i.role !== 'endpoint');
  return listed.length > 0 ? listed.map((i) => i.address) : [...options.seeds];
}

function pickRandom<T>(items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random() * items.length)];
}

async function requestUpdate(
  options: FeedOptions,
  address: string,
  waitMs: number,
  signal: AbortSignal,
): Promise<boolean> {
  try {
    const update = await options.watchPeer(
      address,
      options.store.requestedVersions(),
      waitMs,
      signal,
    );
    if (update) options.store.offerUpdate(update, address);
    return true;
  } catch {
    options.metrics.count('feed_peer_failures_total');
    return false;
  }
}

async function readPlatform(
  options: FeedOptions,
  waitMs: number,
  signal: AbortSignal,
): Promise<boolean> {
  const { store, platform, metrics } = options;
  const handled = store.handledVersions();
  metrics.count('platform_reads_total', {}, 2);
  const config = platform.watchConfig(handled.config, waitMs, signal).then((data) => {
    if (data) store.offerConfig(data, 'platform');
  });
  const list = platform.watchList(handled.list, waitMs, signal).then((data) => {
    if (data) store.offerList(data, 'platform');
  });
  const results = await Promise.allSettled([config, list]);
  const failed = results.filter((r) => r.status === 'rejected').length;
  if (failed > 0) metrics.count('platform_failures_total', {}, failed);
  return failed === 0;
}

/** Repeats one of the two platform watches while this daemon is a relay. */
async function watchPlatform(
  options: FeedOptions,
  what: 'config' | 'list',
  signal: AbortSignal,
): Promise<void> {
  const { store, platform, metrics } = options;
  while (!signal.aborted) {
    metrics.count('platform_reads_total');
    try {
      const handled = store.handledVersions()[what];
      const watch = what === 'config' ? platform.watchConfig : platform.watchList;
      const data = await watch(handled, options.watchMs, signal);
      const accepted = data
        ? what === 'config'
          ? store.offerConfig(data, 'platform')
          : store.offerList(data, 'platform')
        : true;
      // A document corrupted in transit is returned again by the next watch: avoid a busy loop.
      if (!accepted) await sleep(jittered(options.fallbackMs, options.random), signal);
    } catch (err) {
      if (signal.aborted) return;
      metrics.count('platform_failures_total');
      // A watch that timed out has already waited, and perhaps only its connection stalled: retry
      // without a delay. With one, a change took effect after 13 s instead of 10 s; the limit is 14 s.
      if (isTimeout(err)) continue;
      await sleep(jittered(options.fallbackMs, options.random), signal);
    }
  }
}

/** Exchanges versions with random peers, so that a stale platform cannot keep a data centre outdated. */
async function exchangeVersions(options: FeedOptions, signal: AbortSignal): Promise<void> {
  const pauseMs = Math.min(MAX_EXCHANGE_INTERVAL_MS, options.watchMs * EXCHANGE_INTERVAL_RATIO);
  while (!signal.aborted) {
    await sleep(jittered(pauseMs, options.random), signal);
    const address = pickRandom(peerAddresses(options), options.random);
    if (address && !signal.aborted) await requestUpdate(options, address, 0, signal);
  }
}

/**
 * Loads the initial state before anything relies on it: from some peers, and from the platform when
 * those have none.
 */
async function loadInitialState(options: FeedOptions, signal: AbortSignal): Promise<void> {
  const deadlineMs = options.clock.nowMs() + options.startMs;
  await Promise.all(options.seeds.slice(0, 3).map((s) => requestUpdate(options, s, 0, signal)));
  const { config, list } = options.store.versions();
  if (config === 0 || list === 0) {
    // When the whole fleet restarts, no peer has any state: spread the platform reads over startMs.
    if (options.seeds.length > 0) await sleep(options.startMs * options.random(), signal);
    await readPlatform(options, 0, signal);
  }
  const contacted = new Set<string>();
  while (!signal.aborted && options.clock.nowMs() < deadlineMs) {
    const address = pickRandom(
      peerAddresses(options).filter((a) => !contacted.has(a)),
      options.random,
    );
    if (!address) return;
    contacted.add(address);
    if ((await requestUpdate(options, address, 0, signal)) && contacted.size >= 2) return;
  }
}

/** Watches the platform and exchanges versions until this daemon is no longer a relay. */
async function runRelay(options: FeedOptions, signal: AbortSignal): Promise<void> {
  const relayAbort = new AbortController();
  const stop = (): void => relayAbort.abort();
  signal.addEventListener('abort', stop, { once: true });
  const tasks = [
    watchPlatform(options, 'config', relayAbort.signal),
    watchPlatform(options, 'list', relayAbort.signal),
    exchangeVersions(options, relayAbort.signal),
  ];
  while (!signal.aborted && isRelay(options))
    await options.store.waitForUpdates(options.store.versions(), 1000);
  stop();
  signal.removeEventListener('abort', stop);
  await Promise.all(tasks);
}

function isRelay(options: FeedOptions): boolean {
  const relays = relaysOf(options.view(), options.dataCentre, RELAYS_PER_DATA_CENTRE);
  return relays.length === 0 || relays.some((r) => r.instance === options.self);
}

/** Watches the relays in random order; returns false when none of them responded. */
async function followRelays(options: FeedOptions, signal: AbortSignal): Promise<boolean> {
  const relays = relaysOf(options.view(), options.dataCentre, RELAYS_PER_DATA_CENTRE);
  const ordered = options.random() < 0.5 ? relays : [...relays].reverse();
  for (const relay of ordered) {
    if (await requestUpdate(options, relay.address, options.watchMs, signal)) return true;
  }
  return false;
}

/**
 * Runs the feed until the signal aborts. `started` resolves once the initial state is loaded, or
 * after the attempts to load it have ended without success.
 * @example const feed = runFeed(options, controller.signal); await feed.started;
 */
export function runFeed(
  options: FeedOptions,
  signal: AbortSignal,
): { started: Promise<void>; ended: Promise<void> } {
  const started = loadInitialState(options, signal);
  const ended = (async (): Promise<void> => {
    await started;
    while (!signal.aborted) {
      if (isRelay(options)) await runRelay(options, signal);
      else if (!(await followRelays(options, signal))) {
        options.metrics.count('feed_fallbacks_total');
        await sleep(jittered(options.fallbackMs, options.random), signal);
        await readPlatform(options, 0, signal);
        const peer = pickRandom(peerAddresses(options), options.random);
        if (peer) await requestUpdate(options, peer, 0, signal);
      }
    }
  })();
  return { started, ended };
}
