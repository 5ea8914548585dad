/**
 * Reads the initial state of a relay from the store and from the other relays. The store may just
 * have been restored from an older copy and then lacks what running relays still know.
 */
import type { Result } from '../result/index.js';
import type { RelayClient } from './relay-client.js';
import type { PublishedRead, ReadFault } from './source.js';
import type { DataCentreId, PublishedEndpoint } from './types.js';

/** A relay and what was read from it. */
interface RelayResult {
  readonly relay: RelayClient;
  readonly read: PublishedRead;
}

/**
 * Reads the store and the other relays concurrently. A newer configuration version, leaving
 * endpoints and evacuations are taken from the relays.
 * @example await readStoreAndRelays(() => store.readAll(), otherRelays)
 */
export async function readStoreAndRelays(
  readStore: () => Promise<Result<PublishedRead, ReadFault>>,
  relays: readonly RelayClient[],
): Promise<Result<PublishedRead, ReadFault>> {
  const pendingResults = Promise.all(relays.map(readRelay));
  const read = await readStore();
  const results = (await pendingResults).filter((each) => each !== undefined);
  if (read.err) return read;
  const endpoints = markLeaving(read.val.endpoints, results);
  return read.map((val) => ({
    ...val,
    endpoints,
    evacuatedAtPeers: evacuatedAtPeers(val, results),
    ...pendingIfNewer(val, results),
  }));
}

async function readRelay(relay: RelayClient): Promise<RelayResult | undefined> {
  const read = await relay.readAll();
  // An unreadable relay is skipped without an error: the result of the store decides.
  return read.ok ? { relay, read: read.val } : undefined;
}

/**
 * Marks the configuration as pending if a relay announced a newer version than the store's, so that
 * it is read separately from that relay.
 */
function pendingIfNewer(
  { config }: PublishedRead,
  results: readonly RelayResult[],
): Partial<PublishedRead> {
  if (config.kind !== 'read') return {};
  const { version } = config.config;
  const isNewer = results.some(({ relay }) => (relay.announcedVersion ?? 0) > version);
  return isNewer ? { config: { kind: 'pending' } } : {};
}

function evacuatedAtPeers(
  { evacuated = [] }: PublishedRead,
  results: readonly RelayResult[],
): DataCentreId[] {
  const atPeers = new Set(results.flatMap(({ read }) => read.evacuated ?? []));
  for (const dataCentre of evacuated) atPeers.delete(dataCentre);
  return [...atPeers];
}

function markLeaving(
  listed: readonly PublishedEndpoint[],
  results: readonly RelayResult[],
): PublishedEndpoint[] {
  const leaving = results
    .flatMap(({ read }) => read.endpoints)
    .filter((endpoint) => endpoint.isLeaving);
  const startedAtMs = new Map(leaving.map((endpoint) => [endpoint.id, endpoint.startedAtMs]));
  return listed.map((endpoint) =>
    startedAtMs.get(endpoint.id) === endpoint.startedAtMs
      ? { ...endpoint, isLeaving: true }
      : endpoint,
  );
}
