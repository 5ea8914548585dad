/** Follows the published state: reads it once, then watches for changes, and notes what was learnt and when. */
import { sleep, type Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { FollowPace } from './pace.js';
import type { PublishedState } from './published-state.js';
import { SourceLog } from './source-log.js';
import type { ConfigNews, PublishedSource, ReadFault, ReadTime } from './source.js';
import { Taker } from './taker.js';

/** Factor by which the pause grows from one failure to the next. */
const PAUSE_GROWTH = 1.5;
/** Longest pause after a failure, ms: a store that is back has to be seen soon. */
const LONGEST_PAUSE_MS = 1200;

/** A store that did not answer for this long has been away, ms. */
export const AWAY_MS = 1200;
/**
 * Time that entries which lapsed while the store was away have to be written again, ms, counted from the last
 * call that failed: the store came back after that one. An endpoint that leaves just then must get nothing
 * 2 s later, and what is sent last is on its way for a while.
 */
export const RETURN_GRACE_MS = 1900;
/**
 * Time after which an endpoint that is gone no longer stands in the list that an older copy of the store held, ms: its record
 * lapses after three heartbeats of 1.2 s, and the news is on its way for a while.
 */
const COPY_LAPSE_MS = 4500;

/** What following needs. */
export interface FollowParts {
  readonly source: PublishedSource;
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: () => number;
  readonly pace: FollowPace;
  /** Called whenever something was learnt, also that nothing has changed. */
  readonly onLearnt?: () => void;
  /** Whether what is held lacks something that only a whole read can tell; asked before each watch. */
  readonly isLacking?: () => boolean;
}

/**
 * How long the next watch may wait, ms: an answer that came early with a change tells of no later time than when
 * it was asked for, so the watch after it has to tell the rest soon.
 */
function waitFor(pace: FollowPace, heardAgeMs: number): number {
  return Math.max(pace.leastWaitMs, Math.floor(pace.waitMs - heardAgeMs));
}

/**
 * Time for which the store surely held a watch that told of no change, ms. It answers such a watch only
 * when the wait is over, so nothing had changed at that time; one that was cut earlier proves less.
 */
function heldMs(waitMs: number, tookMs: number): number {
  return tookMs >= waitMs ? waitMs : 0;
}

/** The store as it is read and watched, and as it fails. */
class Follower {
  private readonly sourceLog: SourceLog;
  private readonly taker: Taker;
  /** Revision from which changes are watched; undefined when everything has to be read. */
  private revision: number | undefined;
  /** Whether a newer configuration was told of that has yet to be read. */
  private isConfigPending = false;
  /** Until then endpoints that are missing are kept. */
  private graceUntilMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly parts: FollowParts,
    private readonly signal: AbortSignal,
  ) {
    this.sourceLog = new SourceLog(parts);
    this.taker = new Taker(parts, this.sourceLog);
  }

  async run(): Promise<void> {
    while (!this.signal.aborted) {
      if (this.isConfigPending) await this.readConfig();
      if (this.revision === undefined || this.parts.isLacking?.()) await this.readAll();
      else await this.watch(this.revision);
    }
  }

  private async readAll(): Promise<void> {
    const { clock, source, state } = this.parts;
    const askedAtMs = clock.nowMs();
    const read = await source.readAll();
    if (read.err) return this.failed(read.val, askedAtMs);
    const keepsMissing = this.worked(read.val);
    this.takeConfig(read.val.config, askedAtMs, read.val);
    this.taker.list(state.offerList(read.val.endpoints, keepsMissing));
    this.taker.invalid(read.val.invalid);
    this.revision = read.val.revision;
    this.noteLearnt();
    if (this.parts.isLacking?.() && !this.isConfigPending)
      await sleep(this.parts.pace.changePauseMs, this.signal);
  }

  private async watch(from: number): Promise<void> {
    const { clock, pace, source, state } = this.parts;
    const askedAtMs = clock.nowMs();
    // After a failure the question is where we stand now, not what comes next.
    const waitMs = this.sourceLog.failures > 0 ? 0 : waitFor(pace, state.heardAgeMs(askedAtMs));
    const watched = await source.watch(from, waitMs);
    if (watched.err) return this.failed(watched.val, askedAtMs);
    // In another era the revision that was asked from means something else: what was written before it is not told.
    if (watched.val.kind === 'forgotten' || this.isOfOtherEra(watched.val)) {
      this.revision = undefined;
      return;
    }
    const { config, endpoints, invalid, revision } = watched.val;
    const keepsMissing = this.worked(watched.val);
    const isQuiet = config.kind === 'same' && endpoints.length === 0;
    const heldForMs = isQuiet ? heldMs(waitMs, clock.nowMs() - askedAtMs) : 0;
    this.takeConfig(config, askedAtMs, { provedAfterMs: heldForMs, ...watched.val });
    this.taker.list(state.applyChanges(endpoints, keepsMissing));
    this.taker.invalid(invalid);
    this.revision = revision;
    this.noteLearnt();
    // A pending configuration is read first.
    if (!isQuiet && !this.isConfigPending) await sleep(pace.changePauseMs, this.signal);
  }

  private isOfOtherEra({ era = 0 }: ReadTime): boolean {
    return era !== this.parts.state.era;
  }

  private takeConfig(news: ConfigNews, askedAtMs: number, time: ReadTime): void {
    const { provedAfterMs = 0, heardAfterMs = provedAfterMs } = time;
    if (news.kind !== 'same') this.isConfigPending = news.kind === 'pending';
    this.parts.state.noteHeard(askedAtMs + heardAfterMs);
    this.taker.config(news, askedAtMs + provedAfterMs);
  }

  /**
   * Reads the pending configuration. It is asked for on its own, so that which endpoints leave is known at once and
   * whatever becomes of it: where the store turned a daemon away, that learnt nothing from relays that were well.
   */
  private async readConfig(): Promise<void> {
    const { clock, pace, source } = this.parts;
    const askedAtMs = clock.nowMs();
    const read = await source.readConfig();
    if (read.err) {
      this.sourceLog.unread(read.val, askedAtMs);
    } else if (this.isOfOtherEra(read.val)) {
      this.revision = undefined;
    } else {
      this.takeConfig(read.val.config, askedAtMs, read.val);
      this.taker.invalid(read.val.invalid);
      this.noteLearnt();
    }
    await sleep(pace.changePauseMs, this.signal);
  }

  private noteLearnt(): void {
    this.sourceLog.heard();
    this.parts.onLearnt?.();
  }

  private async failed(fault: ReadFault, askedAtMs: number): Promise<void> {
    const { pace, random } = this.parts;
    const before = this.sourceLog.failures;
    this.sourceLog.failed(fault, askedAtMs);
    // A call without an answer has taken its time, and may be its connection's fault alone: the next one has a new one.
    if (before === 0 && fault.kind === 'timeout') return;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, pace.failedPauseMs * PAUSE_GROWTH ** before);
    await sleep(pauseMs * (0.8 + 0.4 * random()), this.signal);
  }

  /** Notes a call that worked; whether endpoints that are missing are kept. */
  private worked({ era = 0 }: ReadTime): boolean {
    const { clock, state } = this.parts;
    const awayMs = this.sourceLog.worked();
    const before = state.era;
    if (state.enterEra(era, clock.nowMs())) this.restored(before);
    else if (awayMs >= AWAY_MS) this.keepMissingUntil(this.sourceLog.failedAtMs + RETURN_GRACE_MS);
    const keepsMissing = this.parts.clock.nowMs() < this.graceUntilMs;
    if (!keepsMissing) this.dropMissing();
    return keepsMissing;
  }

  /** The store has come back from an older copy: what that lacks is missing and not gone, and who is gone may stand in it. */
  private restored(before: number): void {
    const { clock, log, metrics, source, state } = this.parts;
    metrics.count('store_restored_total');
    log.warn('published.restored', {
      source: source.name,
      era: state.era,
      before,
      heardAgoMs: this.sourceLog.heardAgoMs(),
    });
    this.keepMissingUntil(clock.nowMs() + RETURN_GRACE_MS);
    void this.trustListAgain(state.era);
  }

  private async trustListAgain(era: number): Promise<void> {
    const { state, onLearnt } = this.parts;
    await sleep(COPY_LAPSE_MS, this.signal);
    if (this.signal.aborted || state.era !== era) return;
    state.trustList();
    onLearnt?.();
  }

  private keepMissingUntil(untilMs: number): void {
    this.graceUntilMs = untilMs;
    void this.endGrace();
  }

  private async endGrace(): Promise<void> {
    const { clock } = this.parts;
    await sleep(Math.ceil(Math.max(0, this.graceUntilMs - clock.nowMs())) + 1, this.signal);
    // While the store is away again nothing can be written to it; the next call that works decides.
    if (this.sourceLog.failures === 0 && clock.nowMs() >= this.graceUntilMs) this.dropMissing();
  }

  private dropMissing(): void {
    const change = this.parts.state.dropMissing();
    this.taker.list(change);
    if (change.gone.length > 0) this.parts.onLearnt?.();
  }
}

/**
 * Follows everything that is published until the signal aborts.
 * @example void followPublished(parts, signal);
 */
export function followPublished(parts: FollowParts, signal: AbortSignal): Promise<void> {
  return new Follower(parts, signal).run();
}
