/**
 * Sends the crash evidence that an entry observes to each relay until that relay has acknowledged
 * it. Each try is built anew: ages in a message that waited would be too low.
 */
import type { Clock } from '../clock/index.js';
import type { CrashUpdate } from '../../generated/messages.types.js';
import type { CrashEvidence } from './evidence.js';

/** Pause after the first update that was not acknowledged, ms; doubles up to the maximum. */
const RESEND_MS = 500;
const MAX_RESEND_MS = 8000;

/** Dependencies of sending updates. */
export interface EvidenceUpdatesDeps {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly evidence: CrashEvidence;
  readonly relays: readonly string[];
  /** Sends an update; rejects if it is not acknowledged in time. */
  readonly send: (relay: string, update: CrashUpdate) => Promise<void>;
  /** Called when a relay did not acknowledge an update; it is sent again after `againMs`. */
  readonly onFailed: (relay: string, err: unknown, againMs: number) => void;
}

interface Outbox {
  readonly relay: string;
  /** Version of the evidence that the relay has acknowledged. */
  acknowledged: number;
  isSending: boolean;
  failures: number;
  resendAtMs: number;
}

/** Updates to all relays, with an outbox per relay. */
export class EvidenceUpdates {
  private readonly outboxes: readonly Outbox[];

  constructor(private readonly deps: EvidenceUpdatesDeps) {
    this.outboxes = deps.relays.map((relay) => ({
      relay,
      acknowledged: 0,
      isSending: false,
      failures: 0,
      resendAtMs: Number.NEGATIVE_INFINITY,
    }));
  }

  /**
   * Sends what is due. To be called after each observation, and every few hundred ms.
   * @example setInterval(() => updates.flush(), 400);
   */
  flush(): void {
    const { clock, evidence } = this.deps;
    for (const outbox of this.outboxes) {
      if (outbox.isSending || outbox.acknowledged === evidence.version) continue;
      if (clock.nowMs() >= outbox.resendAtMs) void this.send(outbox);
    }
  }

  private async send(outbox: Outbox): Promise<void> {
    const { clock, evidence, send, onFailed } = this.deps;
    const { version } = evidence;
    const update = evidence.ownSince(outbox.acknowledged);
    outbox.isSending = true;
    try {
      if (update.runs.length + update.cleared.length > 0) await send(outbox.relay, update);
      outbox.acknowledged = version;
      outbox.failures = 0;
    } catch (err) {
      const againMs = Math.min(MAX_RESEND_MS, RESEND_MS * 2 ** outbox.failures);
      outbox.failures += 1;
      outbox.resendAtMs = clock.nowMs() + againMs;
      onFailed(outbox.relay, err, againMs);
    } finally {
      outbox.isSending = false;
    }
    // Evidence that was added meanwhile is sent at once.
    if (outbox.failures === 0) this.flush();
  }
}
