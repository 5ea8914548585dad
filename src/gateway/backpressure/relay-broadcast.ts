/** Sends updates observed at this entry to the relays, which pass them on to all other daemons. */
import { sleep } from '../../core/clock/index.js';
import { errorText } from '../../core/errors/index.js';
import type { Log } from '../../core/logging/index.js';

/** Delays before an update that failed is sent again, ms; a starting relay is reachable after a second. */
const RETRY_DELAYS_MS = [500, 3000] as const;

/** Dependencies of `createRelayBroadcast`. */
export interface RelayBroadcastDeps<Update> {
  readonly relays: readonly string[];
  /** Sends an update to one relay; rejects if it is not acknowledged in time. */
  readonly sendTo: (address: string, update: Update) => Promise<void>;
  readonly log: Log;
  /** Log event for an update that could not be sent to a relay. */
  readonly event: string;
}

/**
 * Returns a function that sends an update to all relays in parallel: an unreachable relay does not delay the
 * others.
 * @example const broadcast = createRelayBroadcast({ relays, sendTo, log, event: 'crash.untold' });
 */
export function createRelayBroadcast<Update>(
  deps: RelayBroadcastDeps<Update>,
): (update: Update) => void {
  const { relays, sendTo, log, event } = deps;
  const sendWithRetries = async (relay: string, update: Update): Promise<void> => {
    for (const delayMs of [...RETRY_DELAYS_MS, undefined]) {
      try {
        return await sendTo(relay, update);
      } catch (err) {
        log.info(event, { relay, detail: errorText(err), againMs: delayMs });
        if (delayMs === undefined) return;
        await sleep(delayMs);
      }
    }
  };
  return (update) => {
    for (const relay of relays) void sendWithRetries(relay, update);
  };
}
