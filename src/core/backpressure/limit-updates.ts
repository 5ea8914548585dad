/**
 * Sends the rate limits that an entry observes to each relay until that relay has acknowledged
 * them.
 */
import type { Clock } from '../clock/index.js';
import type { EndpointId } from '../ids/index.js';
import type { LimitObservation } from '../../generated/messages.types.js';

/** Pause after an update that was not acknowledged, ms. */
const RESEND_MS = 1000;

/** Dependencies of sending updates. */
export interface LimitUpdatesDeps {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly relays: readonly string[];
  /** An endpoint's limit as a message; undefined if none is known. */
  readonly describe: (id: EndpointId) => LimitObservation | undefined;
  /** Sends an update; rejects if it is not acknowledged in time. */
  readonly send: (relay: string, limits: LimitObservation[]) => Promise<void>;
  /** Called when a relay did not acknowledge an update. */
  readonly onFailed: (relay: string, err: unknown) => void;
}

interface Outbox {
  readonly relay: string;
  readonly pending: Set<EndpointId>;
  isSending: boolean;
  resendAtMs: number;
}

/** Updates to all relays, with an outbox per relay. */
export class LimitUpdates {
  private readonly outboxes: readonly Outbox[];

  constructor(private readonly deps: LimitUpdatesDeps) {
    this.outboxes = deps.relays.map((relay) => ({
      relay,
      pending: new Set(),
      isSending: false,
      resendAtMs: Number.NEGATIVE_INFINITY,
    }));
  }

  /**
   * Adds endpoints whose limits changed, and sends what is due. To be called every few hundred ms.
   * @example updates.flush(gossip.pendingUpdates());
   */
  flush(changed: readonly EndpointId[]): void {
    const nowMs = this.deps.clock.nowMs();
    for (const outbox of this.outboxes) {
      for (const id of changed) outbox.pending.add(id);
      const isDue = outbox.pending.size > 0 && nowMs >= outbox.resendAtMs;
      if (isDue && !outbox.isSending) void this.send(outbox);
    }
  }

  private async send(outbox: Outbox): Promise<void> {
    const { clock, describe, send, onFailed } = this.deps;
    const ids = [...outbox.pending];
    outbox.pending.clear();
    outbox.isSending = true;
    try {
      const limits = ids.map(describe).filter((limit) => limit !== undefined);
      if (limits.length > 0) await send(outbox.relay, limits);
    } catch (err) {
      for (const id of ids) outbox.pending.add(id);
      outbox.resendAtMs = clock.nowMs() + RESEND_MS;
      onFailed(outbox.relay, err);
    } finally {
      outbox.isSending = false;
    }
  }
}
