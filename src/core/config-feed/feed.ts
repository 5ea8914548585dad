/**
 * Keeps the store up to date. In each data centre the few daemons that come first by rendezvous hash
 * watch the platform; all others watch one of those, and read the platform themselves, after a
 * jittered pause, only while their relay is silent.
 */
import { sleep, type Clock, type Random } from '../clock/index.js';
import { isTimeout } from '../errors/index.js';
import type { InstanceId } from '../ids/index.js';
import type { Log } from '../logging/index.js';
import { relaysOf, type InstanceView } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import type { FeedStore, FeedUpdate, Versions } from './store.js';

/** What the platform gives: a watch that waits for a version above the one held. */
export interface PlatformClient {
  watchConfig(above: number, waitMs: number, signal: AbortSignal): Promise<unknown>;
  watchList(above: number, waitMs: number, signal: AbortSignal): Promise<unknown>;
}

/** What a peer gives. */
export type WatchPeer = (
  address: string,
  held: Versions,
  waitMs: number,
  signal: AbortSignal,
) => Promise<FeedUpdate | undefined>;

/** All that the feed's tasks need. */
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

/** Daemons of one data centre that watch the platform for the others. */
export const RELAYS_PER_DATA_CENTRE = 2;
/** Pause between two comparisons of versions with another daemon: this part of a watch's wait, and at most so many ms. */
const EXCHANGE_SHARE = 0.6;
const MAX_EXCHANGE_MS = 5000;

function jittered(meanMs: number, random: Random): number {
  return meanMs * (0.5 + random());
}

/** Addresses of all other daemons; the list names endpoints as well, which must not be asked. */
function otherAddresses(options: FeedOptions): string[] {
  const listed = options
    .view()
    .all.filter((i) => i.instance !== options.self && i.role !== 'endpoint');
  return listed.length > 0 ? listed.map((i) => i.address) : [...options.seeds];
}

function pick<T>(items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random() * items.length)];
}

async function askPeer(
  options: FeedOptions,
  address: string,
  waitMs: number,
  signal: AbortSignal,
): Promise<boolean> {
  try {
    const update = await options.watchPeer(address, options.store.asking(), waitMs, signal);
    if (update) options.store.offer(update, address);
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
  const held = store.seen();
  metrics.count('platform_reads_total', {}, 2);
  const config = platform.watchConfig(held.config, waitMs, signal).then((data) => {
    if (data) store.offerConfig(data, 'platform');
  });
  const list = platform.watchList(held.list, waitMs, signal).then((data) => {
    if (data) store.offerList(data, 'platform');
  });
  const results = await Promise.allSettled([config, list]);
  const failed = results.filter((r) => r.status === 'rejected').length;
  if (failed > 0) metrics.count('platform_failures_total', {}, failed);
  return failed === 0;
}

/** One of the two watches at the platform, repeated while this daemon is a relay. */
async function watchOne(
  options: FeedOptions,
  what: 'config' | 'list',
  signal: AbortSignal,
): Promise<void> {
  const { store, platform, metrics } = options;
  while (!signal.aborted) {
    metrics.count('platform_reads_total');
    try {
      const held = store.seen()[what];
      const watch = what === 'config' ? platform.watchConfig : platform.watchList;
      const data = await watch(held, options.watchMs, signal);
      const taken = data
        ? what === 'config'
          ? store.offerConfig(data, 'platform')
          : store.offerList(data, 'platform')
        : true;
      // A document that was altered on its way comes again: do not spin on it.
      if (!taken) await sleep(jittered(options.fallbackMs, options.random), signal);
    } catch (err) {
      if (signal.aborted) return;
      metrics.count('platform_failures_total');
      // A watch without an answer has waited long enough, and its connection may have fallen silent alone: with the pause
      // a change was in force 13 s later in place of 10 s, of 14 s that it has.
      if (isTimeout(err)) continue;
      await sleep(jittered(options.fallbackMs, options.random), signal);
    }
  }
}

/** Compares versions with some daemon anywhere, so that a stale platform cannot hold a site back. */
async function exchangeVersions(options: FeedOptions, signal: AbortSignal): Promise<void> {
  const pauseMs = Math.min(MAX_EXCHANGE_MS, options.watchMs * EXCHANGE_SHARE);
  while (!signal.aborted) {
    await sleep(jittered(pauseMs, options.random), signal);
    const address = pick(otherAddresses(options), options.random);
    if (address && !signal.aborted) await askPeer(options, address, 0, signal);
  }
}

/** At start: hears some peers, and the platform where they know nothing, before anything is taken for granted. */
async function startUp(options: FeedOptions, signal: AbortSignal): Promise<void> {
  const until = options.clock.nowMs() + options.startMs;
  await Promise.all(options.seeds.slice(0, 3).map((s) => askPeer(options, s, 0, signal)));
  const { config, list } = options.store.versions();
  if (config === 0 || list === 0) {
    // Where a whole fleet restarts at once nobody knows anything yet: the reads spread over the time.
    if (options.seeds.length > 0) await sleep(options.startMs * options.random(), signal);
    await readPlatform(options, 0, signal);
  }
  const asked = new Set<string>();
  while (!signal.aborted && options.clock.nowMs() < until) {
    const next = pick(
      otherAddresses(options).filter((a) => !asked.has(a)),
      options.random,
    );
    if (!next) return;
    asked.add(next);
    if ((await askPeer(options, next, 0, signal)) && asked.size >= 2) return;
  }
}

async function relay(options: FeedOptions, signal: AbortSignal): Promise<void> {
  const turn = new AbortController();
  const stop = (): void => turn.abort();
  signal.addEventListener('abort', stop, { once: true });
  const tasks = [
    watchOne(options, 'config', turn.signal),
    watchOne(options, 'list', turn.signal),
    exchangeVersions(options, turn.signal),
  ];
  while (!signal.aborted && isRelay(options))
    await options.store.waitNewer(options.store.versions(), 1000);
  stop();
  signal.removeEventListener('abort', stop);
  await Promise.all(tasks);
}

function isRelay(options: FeedOptions): boolean {
  const relays = relaysOf(options.view(), options.dataCentre, RELAYS_PER_DATA_CENTRE);
  return relays.length === 0 || relays.some((r) => r.instance === options.self);
}

/** Follows the relays one after another; false when none of them answered. */
async function follow(options: FeedOptions, signal: AbortSignal): Promise<boolean> {
  const relays = relaysOf(options.view(), options.dataCentre, RELAYS_PER_DATA_CENTRE);
  const first = options.random() < 0.5 ? relays : [...relays].reverse();
  for (const relayInstance of first) {
    if (await askPeer(options, relayInstance.address, options.watchMs, signal)) return true;
  }
  return false;
}

/**
 * Runs the feed until the signal aborts; resolves `ready` once published state was heard or given up.
 * @example const feed = runFeed(options, controller.signal); await feed.started;
 */
export function runFeed(
  options: FeedOptions,
  signal: AbortSignal,
): { started: Promise<void>; ended: Promise<void> } {
  const started = startUp(options, signal);
  const ended = (async (): Promise<void> => {
    await started;
    while (!signal.aborted) {
      if (isRelay(options)) await relay(options, signal);
      else if (!(await follow(options, signal))) {
        options.metrics.count('feed_fallbacks_total');
        await sleep(jittered(options.fallbackMs, options.random), signal);
        await readPlatform(options, 0, signal);
        const anyone = pick(otherAddresses(options), options.random);
        if (anyone) await askPeer(options, anyone, 0, signal);
      }
    }
  })();
  return { started, ended };
}
