/** Tells the entries that all others hear from what this one has seen. */
import { sleep } from '../core/clock/index.js';
import { errorText } from '../core/errors/index.js';
import type { Log } from '../core/logging/index.js';

/** Pauses before what other entries could not be told is told again, ms: one that starts is there after a second. */
const TELL_AGAIN_MS = [500, 3000] as const;

/** What telling needs. */
export interface RelayTellerParts<News> {
  readonly relays: readonly string[];
  /** Tells one other entry; rejects when it cannot be reached in time. */
  readonly tellOne: (address: string, news: News) => Promise<void>;
  readonly log: Log;
  /** Event of the log line that says that a relay was not told. */
  readonly event: string;
}

/**
 * Tells the relays, each on its own: one that is cut off holds up no other.
 * @example const tell = relayTeller({ relays, tellOne, log, event: 'crash.untold' });
 */
export function relayTeller<News>(parts: RelayTellerParts<News>): (news: News) => void {
  const { relays, tellOne, log, event } = parts;
  const tell = async (relay: string, news: News): Promise<void> => {
    for (const pauseMs of [...TELL_AGAIN_MS, undefined]) {
      try {
        return await tellOne(relay, news);
      } catch (err) {
        log.info(event, { relay, detail: errorText(err), againMs: pauseMs });
        if (pauseMs === undefined) return;
        await sleep(pauseMs);
      }
    }
  };
  return (news) => {
    for (const relay of relays) void tell(relay, news);
  };
}
