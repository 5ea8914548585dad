/** The endpoints as this entry has come to know them: connections, what runs there, how they fare. */
import { EndpointGate, type Opening, type RateLimiter } from '../core/backpressure/index.js';
import type { Clock } from '../core/clock/index.js';
import type { EndpointId } from '../core/ids/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import type {
  DataCentreId,
  PublishedEndpoint,
  PublishedState,
  ServiceId,
} from '../core/published/index.js';
import { EndpointHealth } from '../core/routing/index.js';
import { FreshPool } from '../runtime/replaceable-pool.js';
import { endpointConnector } from './connect.js';
import type { EngineSight } from './group-sight.js';
import { CONNECTION_SHARERS, IDLE_CONNECTION_MS, MAX_CONNECTIONS } from './consts.js';

/** Weight of the newest outcome in an endpoint's share of failures. */
const FAILURE_WEIGHT = 0.15;
/** Weight of the newest answer in an endpoint's mean time. */
const TIME_WEIGHT = 0.15;
/** How much a share of failures adds to the score of an endpoint; chosen so that one that fails half of
 * its requests gets work only when the others have four times as much. */
const FAILURE_PENALTY = 8;

/** Pace above which an engine gets work only when no other is left: it holds its whole group up. */
const SLOW_PACE = 1.3;
const SLOW_PENALTY = 100;

/**
 * Requests that a rank in another data centre counts for more: the ranks of a group take as long wherever a
 * request enters it, so bytes stay near until near ranks have this many more of this entry's than far ones.
 * It saved 0.28 of the bytes between data centres, six days against six (docs/DECISIONS.md).
 */
const FAR_RUNS = 3;

/**
 * Requests that a rank counts for more when all of its slots were taken a moment ago: what comes there waits.
 * Nothing finer is made of its load, since entries that all send where it was least meet there
 * (docs/EXPERIMENTS.md). Mean worth of five days with trouble 0.501 to 0.522, one play each.
 */
const FULL_RUNS = 4;

function isSlowPace(sight: EngineSight | undefined): boolean {
  return sight !== undefined && sight.pace > SLOW_PACE;
}

function isSameProcess(a: PublishedEndpoint, b: PublishedEndpoint): boolean {
  return a.startedAtMs === b.startedAtMs && a.address === b.address;
}

function slownessOf(sight: EngineSight): number {
  return isSlowPace(sight) ? SLOW_PENALTY * sight.pace : 1;
}

/** One endpoint at this entry. */
export interface EndpointState {
  readonly endpoint: PublishedEndpoint;
  readonly connections: FreshPool;
  readonly health: EndpointHealth;
  /** Whether what it asked for lets a request go there. */
  readonly gate: EndpointGate;
  /** Holds each attempt back that waits for a connection and has not been sent. */
  readonly waiting: Set<() => void>;
  running: number;
  /** Decayed share of attempts that failed, 0 to 1. */
  failureShare: number;
  /** Decayed mean time to the first sign of an answer, ms; 0 before the first. */
  answerMs: number;
  /** Sent here last, for taking turns; a number that only rises. */
  lastSent: number;
}

/** What the table of endpoints needs. */
export interface EndpointParts {
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Data centre of this entry. */
  readonly dataCentre: DataCentreId;
  /** The rate limiter of an endpoint's process. */
  readonly limiterOf: (endpoint: PublishedEndpoint) => RateLimiter;
  /** What is known of a model engine beyond this entry's own requests. */
  readonly sightOf: (endpoint: PublishedEndpoint) => EngineSight | undefined;
}

/** All endpoints of this entry. */
export class Endpoints {
  private readonly byId = new Map<EndpointId, EndpointState>();
  /** Earlier processes of endpoints, until nothing of them runs. */
  private readonly earlier = new Set<EndpointState>();
  private sequence = 0;

  constructor(private readonly parts: EndpointParts) {}

  /**
   * Drops endpoints that are gone, and earlier processes of others, once nothing runs there. One that is to rest is kept: it may
   * be missing from the list for a moment only.
   */
  prune(): void {
    for (const [id, known] of this.byId) {
      if (this.parts.state.list.has(id) || known.running > 0 || this.isResting(known)) continue;
      this.byId.delete(id);
      known.connections.destroy();
    }
    for (const known of this.earlier) {
      if (known.running > 0) continue;
      this.earlier.delete(known);
      known.connections.destroy();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const known of [...this.byId.values(), ...this.earlier]) known.connections.destroy();
  }

  /**
   * The best endpoint of a service for one more request; undefined when none takes work.
   * Ejected ones are used only when no other is left, those that may not be asked now for what they asked for themselves not at
   * all; `mayTake` tells which ones come into question.
   */
  choose(
    service: ServiceId,
    tried: ReadonlySet<EndpointId>,
    mayTake: (endpoint: PublishedEndpoint) => boolean = () => true,
  ): EndpointState | undefined {
    const nowMs = this.parts.clock.nowMs();
    let best: EndpointState | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const endpoint of this.parts.state.workingOf(service)) {
      if (tried.has(endpoint.id) || !mayTake(endpoint)) continue;
      const known = this.stateOf(endpoint);
      if (known.gate.opening(nowMs).atMs > nowMs) continue;
      const score = this.score(known, nowMs);
      if (score < bestScore) {
        best = known;
        bestScore = score;
      }
    }
    return best;
  }

  /** Whether the time for which an endpoint asked for rest is not over. */
  isResting(known: EndpointState): boolean {
    return known.gate.backoff.isResting(this.parts.clock.nowMs());
  }

  /** Whether an endpoint may be sent a request now. */
  mayAsk(endpoint: PublishedEndpoint): boolean {
    const nowMs = this.parts.clock.nowMs();
    return this.stateOf(endpoint).gate.opening(nowMs).atMs <= nowMs;
  }

  /**
   * When the first of a service's endpoints may be sent a request; undefined where there is none.
   * @example const opening = endpoints.firstOpening(service);
   */
  firstOpening(service: ServiceId): Opening | undefined {
    const nowMs = this.parts.clock.nowMs();
    let first: Opening | undefined;
    for (const endpoint of this.parts.state.workingOf(service)) {
      const opening = this.stateOf(endpoint).gate.opening(nowMs);
      if (!first || opening.atMs < first.atMs) first = opening;
    }
    return first;
  }

  /** Time until then, ms. */
  untilMs({ atMs }: Opening): number {
    return Math.max(0, atMs - this.parts.clock.nowMs());
  }

  private score(known: EndpointState, nowMs: number): number {
    const sight = this.parts.sightOf(known.endpoint);
    // Ranks of a group answer in lock-step: their own pace, the way to them, and a queue tell them apart.
    const handicap = sight ? this.handicapOf(known.endpoint, sight) : 0;
    const load = (known.running + 1 + handicap) / known.endpoint.slots;
    const slowness = sight ? slownessOf(sight) : 1 + known.answerMs / 1000;
    const score = load * slowness * (1 + FAILURE_PENALTY * known.failureShare ** 2);
    // Among equals the one that was used longest ago goes first.
    const turn = known.lastSent / (this.sequence + 1) / 1000;
    return score + turn + (known.health.isEjected(nowMs) ? 1e6 : 0);
  }

  /** Requests that a rank counts for more than this entry has there. */
  private handicapOf(endpoint: PublishedEndpoint, sight: EngineSight): number {
    const isFar = endpoint.dataCentre !== this.parts.dataCentre;
    const isFull = sight.load >= endpoint.slots;
    return (isFar ? FAR_RUNS : 0) + (isFull ? FULL_RUNS : 0);
  }

  /** Whether an endpoint is known to hold its group up. */
  isSlow(known: EndpointState): boolean {
    return isSlowPace(this.parts.sightOf(known.endpoint));
  }

  private stateOf(endpoint: PublishedEndpoint): EndpointState {
    const known = this.byId.get(endpoint.id);
    if (known && isSameProcess(known.endpoint, endpoint)) return known;
    // It started again: what failed, ran or was connected there says nothing of it now.
    if (known) this.earlier.add(known);
    const service = this.parts.state.config?.services.get(endpoint.service);
    const share = Math.floor((service?.maxConnections ?? 0) / CONNECTION_SHARERS);
    const made: EndpointState = {
      endpoint,
      connections: new FreshPool(`http://${endpoint.address}`, {
        connections: Math.max(2, Math.min(MAX_CONNECTIONS, share)),
        pipelining: 1,
        connect: endpointConnector(),
        keepAliveTimeout: IDLE_CONNECTION_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
      health: new EndpointHealth(),
      gate: new EndpointGate(this.parts.limiterOf(endpoint)),
      waiting: new Set(),
      running: 0,
      failureShare: 0,
      answerMs: 0,
      // Entries begin at different endpoints, so that they do not all meet at the first.
      lastSent: this.parts.random(),
    };
    this.byId.set(endpoint.id, made);
    return made;
  }

  /** Notes that an attempt begins, and when. */
  noteSent(known: EndpointState): number {
    const nowMs = this.parts.clock.nowMs();
    this.sequence += 1;
    known.lastSent = this.sequence;
    known.running += 1;
    known.health.noteSent(nowMs);
    known.gate.noteSent(nowMs);
    return nowMs;
  }

  /** Notes that an attempt is over that began at a time. */
  noteEnded(known: EndpointState, sentAtMs: number): void {
    known.running -= 1;
    known.gate.backoff.noteEnded(sentAtMs);
  }

  /** Notes that an endpoint asked for rest, which holds for what waits for a connection to it as well. */
  noteRest(known: EndpointState, restMs: number): void {
    known.gate.backoff.note(restMs, this.parts.clock.nowMs(), this.parts.random);
    for (const holdBack of [...known.waiting]) holdBack();
  }

  /** Notes the first sign of a good answer to an attempt that began at a time. */
  noteGood(known: EndpointState, sentAtMs: number): void {
    const tookMs = this.parts.clock.nowMs() - sentAtMs;
    known.gate.backoff.noteGood(sentAtMs);
    known.health.noteSuccess();
    known.failureShare *= 1 - FAILURE_WEIGHT;
    known.answerMs =
      known.answerMs === 0 ? tookMs : known.answerMs + TIME_WEIGHT * (tookMs - known.answerMs);
  }

  /** Notes a failure that is the endpoint's own. */
  noteBad(known: EndpointState, detail: string): void {
    known.failureShare += FAILURE_WEIGHT * (1 - known.failureShare);
    if (!known.health.noteFailure(this.parts.clock.nowMs(), this.parts.random)) return;
    this.parts.metrics.count('ejections_total', { service: known.endpoint.service });
    this.parts.log.info('endpoint.ejected', {
      endpoint: known.endpoint.id,
      service: known.endpoint.service,
      failureShare: Number(known.failureShare.toFixed(2)),
      detail,
    });
  }
}
