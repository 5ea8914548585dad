/**
 * What a relay that starts hears from the other relays beside the store: the store may have come back from an older copy just
 * before, and then it does not know what those who ran on still know.
 */
import type { Result } from '../result/index.js';
import type { OneRelay } from './one-relay.js';
import type { PublishedRead, ReadFault } from './source.js';
import type { PublishedEndpoint } from './types.js';

/** What a relay told, and the relay. */
interface Told {
  readonly relay: OneRelay;
  readonly read: PublishedRead;
}

/**
 * Reads the store and hears the other relays side by side; a newer configuration and endpoints that leave are taken from them.
 * @example await readBeside(() => store.readAll(), otherRelays)
 */
export async function readBeside(
  readStore: () => Promise<Result<PublishedRead, ReadFault>>,
  relays: readonly OneRelay[],
): Promise<Result<PublishedRead, ReadFault>> {
  const heard = Promise.all(relays.map(hear));
  const read = await readStore();
  const told = (await heard).filter((each) => each !== undefined);
  if (read.err) return read;
  const endpoints = markLeaving(read.val.endpoints, told);
  return read.map((val) => ({ ...val, endpoints, ...newerConfig(val, told) }));
}

async function hear(relay: OneRelay): Promise<Told | undefined> {
  const read = await relay.readAll();
  // Why a relay is of no use is of no matter here: the store has answered.
  return read.ok ? { relay, read: read.val } : undefined;
}

/** A newer version than the store's is known of: it is read on its own, from who told it. */
function newerConfig({ config }: PublishedRead, told: readonly Told[]): Partial<PublishedRead> {
  if (config.kind !== 'read') return {};
  const { version } = config.config;
  const isNewer = told.some(({ relay }) => (relay.toldVersion ?? 0) > version);
  return isNewer ? { config: { kind: 'pending' } } : {};
}

function markLeaving(
  listed: readonly PublishedEndpoint[],
  told: readonly Told[],
): PublishedEndpoint[] {
  const leaving = told
    .flatMap(({ read }) => read.endpoints)
    .filter((endpoint) => endpoint.isLeaving);
  const startedAtMs = new Map(leaving.map((endpoint) => [endpoint.id, endpoint.startedAtMs]));
  return listed.map((endpoint) =>
    startedAtMs.get(endpoint.id) === endpoint.startedAtMs
      ? { ...endpoint, isLeaving: true }
      : endpoint,
  );
}
