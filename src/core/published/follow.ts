/**
 * Follows the published state: reads it once, watches for changes, and records what was received
 * and when.
 */
import { sleep, type Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { FollowPace } from './pace.js';
import type { PublishedState } from './published-state.js';
import { SourceHealth } from './source-health.js';
import type {
  ConfigUpdate,
  PublishedRead,
  PublishedSource,
  ReadFault,
  ReadTime,
} from './source.js';
import { StateUpdater } from './state-updater.js';

/** Factor by which the pause grows with each consecutive failure. */
const PAUSE_GROWTH = 1.5;
/** Longest pause after a failure, ms; bounds how late the recovery of the store is noticed. */
const MAX_PAUSE_MS = 1200;

/** Failures of the store that last at least this long count as an outage, ms. */
export const OUTAGE_MS = 1200;
/**
 * Time for records that expired during an outage to be written again, ms, counted from the last
 * failed call, after which the store recovered. An endpoint that starts leaving at that time must
 * receive nothing 2 s later, and the last requests need time to arrive.
 */
export const OUTAGE_GRACE_MS = 1900;
/**
 * Time after which a removed endpoint no longer appears in a list restored from an older copy, ms:
 * its record expires after three heartbeats of 1.2 s, and the update needs time to arrive. Lost
 * records of evacuations are rewritten within `REWRITE_WINDOW_MS` and have arrived by then as well.
 */
const RESTORED_RECORD_LAPSE_MS = 4500;

/** Dependencies of `followPublished`. */
export interface FollowDeps {
  readonly source: PublishedSource;
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: () => number;
  readonly pace: FollowPace;
  /** Called after each update of the state, including reads without changes. */
  readonly onRefresh?: () => void;
  /**
   * Returns whether the state lacks something that only a full read can provide; called before each
   * watch.
   */
  readonly needsFullRead?: () => boolean;
}

/**
 * Returns how long the next watch may wait, ms. A response that arrived early with a change only
 * confirms the state at the time of the request, so the next watch must return sooner.
 */
function nextWaitMs(pace: FollowPace, lastContactAgoMs: number): number {
  return Math.max(pace.minWaitMs, Math.floor(pace.waitMs - lastContactAgoMs));
}

/**
 * Returns the time for which the store certainly held a watch without a change, ms. Only a watch
 * that lasted its full wait shows that nothing had changed by its end.
 */
function watchHeldMs(waitMs: number, tookMs: number): number {
  return tookMs >= waitMs ? waitMs : 0;
}

/** Reads and watches the source, and handles its failures, outages and restores. */
class Follower {
  private readonly sourceHealth: SourceHealth;
  private readonly stateUpdater: StateUpdater;
  /** Revision from which changes are watched; undefined when a full read is needed. */
  private revision: number | undefined;
  /** Whether a newer configuration was announced that has not been read yet. */
  private isConfigPending = false;
  /** Missing endpoints are kept until this time. */
  private graceUntilMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly deps: FollowDeps,
    private readonly signal: AbortSignal,
  ) {
    this.sourceHealth = new SourceHealth(deps);
    this.stateUpdater = new StateUpdater(deps, this.sourceHealth);
  }

  async run(): Promise<void> {
    while (!this.signal.aborted) {
      if (this.isConfigPending) await this.readConfig();
      if (this.revision === undefined || this.deps.needsFullRead?.()) await this.readAll();
      else await this.watch(this.revision);
    }
  }

  private async readAll(): Promise<void> {
    const { clock, source, state } = this.deps;
    const askedAtMs = clock.nowMs();
    const read = await source.readAll();
    if (read.err) return this.handleFailure(read.val, askedAtMs);
    const keepsMissing = this.handleSuccess(read.val);
    this.applyConfig(read.val.config, askedAtMs, read.val);
    this.stateUpdater.logListChange(state.offerList(read.val.endpoints, keepsMissing));
    this.applyEvacuations(read.val);
    this.stateUpdater.logInvalid(read.val.invalid);
    this.revision = read.val.revision;
    this.noteRefresh();
    if (this.deps.needsFullRead?.() && !this.isConfigPending)
      await sleep(this.deps.pace.changePauseMs, this.signal);
  }

  private async watch(from: number): Promise<void> {
    const { clock, pace, source, state } = this.deps;
    const askedAtMs = clock.nowMs();
    // After a failure, asks for the current state without waiting.
    const waitMs =
      this.sourceHealth.failures > 0 ? 0 : nextWaitMs(pace, state.lastContactAgoMs(askedAtMs));
    const watched = await source.watch(from, waitMs);
    if (watched.err) return this.handleFailure(watched.val, askedAtMs);
    // Revisions of another era are not comparable: changes made before that revision would be
    // missed.
    if (watched.val.kind === 'forgotten' || this.isOtherEra(watched.val)) {
      this.revision = undefined;
      return;
    }
    const { config, endpoints, evacuations, invalid, revision } = watched.val;
    const keepsMissing = this.handleSuccess(watched.val);
    const isUnchanged = config.kind === 'same' && endpoints.length === 0;
    const heldForMs = isUnchanged ? watchHeldMs(waitMs, clock.nowMs() - askedAtMs) : 0;
    this.applyConfig(config, askedAtMs, { confirmedAfterMs: heldForMs, ...watched.val });
    this.stateUpdater.logListChange(state.applyChanges(endpoints, keepsMissing));
    this.stateUpdater.logEvacuations(state.offerEvacuations(evacuations));
    this.stateUpdater.logInvalid(invalid);
    this.revision = revision;
    this.noteRefresh();
    // A pending configuration is read without a pause.
    if (!isUnchanged && !this.isConfigPending) await sleep(pace.changePauseMs, this.signal);
  }

  private applyEvacuations({ evacuated, evacuatedAtPeers = [] }: PublishedRead): void {
    const { state } = this.deps;
    const update = evacuated && { kind: 'whole' as const, dataCentres: evacuated };
    this.stateUpdater.logEvacuations(state.offerEvacuations(update));
    if (evacuatedAtPeers.length === 0) return;
    this.stateUpdater.logEvacuations(state.keepEvacuations(evacuatedAtPeers));
    void this.markListCurrentLater(state.era);
  }

  private isOtherEra({ era = 0 }: ReadTime): boolean {
    return era !== this.deps.state.era;
  }

  private applyConfig(update: ConfigUpdate, askedAtMs: number, time: ReadTime): void {
    const { confirmedAfterMs = 0, contactAfterMs = confirmedAfterMs } = time;
    if (update.kind !== 'same') this.isConfigPending = update.kind === 'pending';
    this.deps.state.noteContact(askedAtMs + contactAfterMs);
    this.stateUpdater.applyConfig(update, askedAtMs + confirmedAfterMs);
  }

  /**
   * Reads the pending configuration. It is read separately so that leaving endpoints are known at
   * once even if this read fails: a daemon rejected by the store would otherwise learn nothing from
   * healthy relays.
   */
  private async readConfig(): Promise<void> {
    const { clock, pace, source } = this.deps;
    const askedAtMs = clock.nowMs();
    const read = await source.readConfig();
    if (read.err) {
      this.sourceHealth.noteConfigUnread(read.val, askedAtMs);
    } else if (this.isOtherEra(read.val)) {
      this.revision = undefined;
    } else {
      this.applyConfig(read.val.config, askedAtMs, read.val);
      this.stateUpdater.logInvalid(read.val.invalid);
      this.noteRefresh();
    }
    await sleep(pace.changePauseMs, this.signal);
  }

  private noteRefresh(): void {
    this.sourceHealth.noteReceived();
    this.deps.onRefresh?.();
  }

  private async handleFailure(fault: ReadFault, askedAtMs: number): Promise<void> {
    const { pace, random } = this.deps;
    const before = this.sourceHealth.failures;
    this.sourceHealth.noteFailure(fault, askedAtMs);
    // A timeout already took its time and may be caused by its connection alone; the retry opens a
    // new one.
    if (before === 0 && fault.kind === 'timeout') return;
    const pauseMs = Math.min(MAX_PAUSE_MS, pace.failedPauseMs * PAUSE_GROWTH ** before);
    await sleep(pauseMs * (0.8 + 0.4 * random()), this.signal);
  }

  /** Records a successful call; returns whether missing endpoints are kept. */
  private handleSuccess({ era = 0 }: ReadTime): boolean {
    const { clock, state } = this.deps;
    const outageMs = this.sourceHealth.noteSuccess();
    const before = state.era;
    if (state.enterEra(era, clock.nowMs())) this.handleRestore(before);
    else if (outageMs >= OUTAGE_MS)
      this.keepMissingUntil(this.sourceHealth.lastFailedAtMs + OUTAGE_GRACE_MS);
    const keepsMissing = this.deps.clock.nowMs() < this.graceUntilMs;
    if (!keepsMissing) this.dropMissing();
    return keepsMissing;
  }

  /**
   * Handles a store restored from an older copy: endpoints that the copy lacks may still be
   * running, and endpoints that it lists may be gone.
   */
  private handleRestore(before: number): void {
    const { clock, log, metrics, source, state } = this.deps;
    metrics.count('store_restored_total');
    log.warn('published.restored', {
      source: source.name,
      era: state.era,
      before,
      heardAgoMs: this.sourceHealth.receivedAgoMs(),
    });
    this.keepMissingUntil(clock.nowMs() + OUTAGE_GRACE_MS);
    void this.markListCurrentLater(state.era);
  }

  private async markListCurrentLater(era: number): Promise<void> {
    const { state, onRefresh } = this.deps;
    await sleep(RESTORED_RECORD_LAPSE_MS, this.signal);
    if (this.signal.aborted || state.era !== era) return;
    this.stateUpdater.logEvacuations(state.markListCurrent());
    onRefresh?.();
  }

  private keepMissingUntil(untilMs: number): void {
    this.graceUntilMs = untilMs;
    void this.endGracePeriod();
  }

  private async endGracePeriod(): Promise<void> {
    const { clock } = this.deps;
    await sleep(Math.ceil(Math.max(0, this.graceUntilMs - clock.nowMs())) + 1, this.signal);
    // During another outage no record can be written again; the next successful call decides.
    if (this.sourceHealth.failures === 0 && clock.nowMs() >= this.graceUntilMs) this.dropMissing();
  }

  private dropMissing(): void {
    const change = this.deps.state.dropMissing();
    this.stateUpdater.logListChange(change);
    if (change.gone.length > 0) this.deps.onRefresh?.();
  }
}

/**
 * Follows the published state until the signal aborts.
 * @example void followPublished(deps, signal);
 */
export function followPublished(deps: FollowDeps, signal: AbortSignal): Promise<void> {
  return new Follower(deps, signal).run();
}
