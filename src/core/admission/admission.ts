/**
 * Admission control at one entry: weighted rate shares per organisation without a shared counter,
 * deadlines, and load shedding during events in the order of their `sacrifice` list. Refusals are
 * immediate and carry a Retry-After.
 */
import type {
  ConfigurationBody,
  EventConfig,
  OrganisationConfig,
} from '../../generated/configuration.types.js';
import { notRun, type HarriergladeError } from '../errors/index.js';
import {
  BORROW_BELOW_PRESSURE,
  MAX_BORROWED_BURSTS,
  BURST_SECONDS,
  MIN_SACRIFICE_PRESSURE,
  USAGE_HALF_LIFE_MS,
} from './consts.js';

/** The properties of a request that admission depends on. */
export interface AdmissionRequest {
  readonly organisation: string;
  /** The requested model or service. */
  readonly target: string;
  /** Estimated tokens of prompt and answer together. */
  readonly tokens: number;
  /** Predicted time to the end of the answer, ms. */
  readonly predictedMs: number;
  /** Part of the predicted time spent waiting, ms. */
  readonly waitMs: number;
  /** Time until the deadline, ms. */
  readonly deadlineMs: number;
  /** 0 to 9; a higher value has more priority. */
  readonly priority: number;
}

interface Usage {
  /** Tokens left in the bucket; negative after borrowing. */
  tokens: number;
  /** Admitted tokens, with exponential decay. */
  recentTokens: number;
  updatedAtMs: number;
}

/**
 * Load pressure on a request: the share of its remaining time that it would spend waiting, 0 to 1.
 */
export function pressureOf(req: AdmissionRequest): number {
  if (req.deadlineMs <= 0) return 1;
  return Math.min(1, Math.max(0, req.waitMs / req.deadlineMs));
}

/** Factor by which recorded usage decays over a time. */
function decayFactor(elapsedMs: number): number {
  return 0.5 ** (Math.max(0, elapsedMs) / USAGE_HALF_LIFE_MS);
}

function activeEvents(body: ConfigurationBody, wallMs: number): EventConfig[] {
  return (body.events ?? []).filter(
    (e) => e.startMs <= wallMs && wallMs < e.startMs + e.durationMs,
  );
}

/**
 * Pressure from which a request is shed during an event; lowest for the first entry of the event's
 * `sacrifice` list. Undefined if the list has neither the organisation nor the target of the
 * request.
 */
export function sacrificeThreshold(event: EventConfig, req: AdmissionRequest): number | undefined {
  const index = event.sacrifice.findIndex((id) => id === req.organisation || id === req.target);
  if (index < 0) return undefined;
  const step = (1 - MIN_SACRIFICE_PRESSURE) / event.sacrifice.length;
  return MIN_SACRIFICE_PRESSURE + index * step;
}

/** Admission control of one entry. Times are monotonic ms except `wallMs`. */
export class Admission {
  private readonly usage = new Map<string, Usage>();

  /**
   * Returns undefined if a request is admitted, otherwise the refusal.
   * @example const refusal = admission.admit(req, organisation, body, entries, nowMs, wallMs);
   */
  admit(
    req: AdmissionRequest,
    organisation: OrganisationConfig,
    body: ConfigurationBody,
    liveEntries: number,
    nowMs: number,
    wallMs: number,
  ): HarriergladeError | undefined {
    const lateRefusal = this.refuseIfLate(req);
    if (lateRefusal) return lateRefusal;
    const pressure = pressureOf(req);
    const sacrificeRefusal = this.refuseIfSacrificed(req, body, pressure, wallMs);
    if (sacrificeRefusal) return sacrificeRefusal;
    return this.refuseIfOverShare(req, organisation, body, liveEntries, pressure, nowMs);
  }

  /** Number of organisations with recorded usage. */
  get size(): number {
    return this.usage.size;
  }

  private refuseIfLate(req: AdmissionRequest): HarriergladeError | undefined {
    if (req.deadlineMs <= 0)
      return notRun('deadline-passed', 'The deadline had passed when the request arrived.');
    if (req.predictedMs <= req.deadlineMs) return undefined;
    const detail = `The answer would take about ${Math.round(req.predictedMs)} ms, but the deadline is in ${Math.round(req.deadlineMs)} ms.`;
    return notRun('deadline-unreachable', detail, Math.max(1, Math.ceil(req.waitMs / 1000)));
  }

  private refuseIfSacrificed(
    req: AdmissionRequest,
    body: ConfigurationBody,
    pressure: number,
    wallMs: number,
  ): HarriergladeError | undefined {
    for (const event of activeEvents(body, wallMs)) {
      const threshold = sacrificeThreshold(event, req);
      if (threshold === undefined || pressure < threshold) continue;
      const leftS = Math.ceil((event.startMs + event.durationMs - wallMs) / 1000);
      return notRun(
        'sacrificed',
        `The capacity is reserved for event ${event.id}.`,
        Math.max(1, leftS),
      );
    }
    return undefined;
  }

  private refuseIfOverShare(
    req: AdmissionRequest,
    organisation: OrganisationConfig,
    body: ConfigurationBody,
    liveEntries: number,
    pressure: number,
    nowMs: number,
  ): HarriergladeError | undefined {
    const rate = organisation.tokensPerSecond / Math.max(1, liveEntries);
    const usage = this.refill(organisation.id, rate, nowMs);
    const isUnderPressure = pressure >= BORROW_BELOW_PRESSURE * (1 + req.priority / 10);
    if (usage.tokens >= req.tokens || !isUnderPressure) {
      // Tokens borrowed while pressure is low are repaid later; the debt is bounded.
      usage.tokens = Math.max(
        usage.tokens - req.tokens,
        -rate * BURST_SECONDS * MAX_BORROWED_BURSTS,
      );
      usage.recentTokens += req.tokens;
      return undefined;
    }
    if (isUnderPressure && this.isUnderFairShare(organisation, body, usage)) {
      usage.recentTokens += req.tokens;
      return undefined;
    }
    const waitS = Math.max(1, Math.ceil((req.tokens - usage.tokens) / rate));
    return notRun(
      'share-exceeded',
      `Organisation ${organisation.id} exceeded its share of ${Math.round(rate)} tokens/s at this entry.`,
      waitS,
    );
  }

  /**
   * Whether an organisation used less of the recently admitted tokens than its weight entitles it
   * to.
   */
  private isUnderFairShare(
    organisation: OrganisationConfig,
    body: ConfigurationBody,
    usage: Usage,
  ): boolean {
    // Decays the usage of the others to now; this organisation's own was decayed on refill.
    let recent = 0;
    let weight = 0;
    for (const other of body.organisations) {
      const otherUsage = this.usage.get(other.id);
      if (!otherUsage || otherUsage.recentTokens < 1) continue;
      recent += otherUsage.recentTokens * decayFactor(usage.updatedAtMs - otherUsage.updatedAtMs);
      weight += other.weight;
    }
    if (weight === 0) return true;
    return usage.recentTokens / Math.max(recent, 1) < organisation.weight / weight;
  }

  private refill(id: string, rate: number, nowMs: number): Usage {
    const known = this.usage.get(id);
    if (!known) {
      const fresh = { tokens: rate * BURST_SECONDS, recentTokens: 0, updatedAtMs: nowMs };
      this.usage.set(id, fresh);
      return fresh;
    }
    const elapsedMs = Math.max(0, nowMs - known.updatedAtMs);
    known.tokens = Math.min(rate * BURST_SECONDS, known.tokens + (rate * elapsedMs) / 1000);
    known.recentTokens *= decayFactor(elapsedMs);
    known.updatedAtMs = nowMs;
    return known;
  }
}
