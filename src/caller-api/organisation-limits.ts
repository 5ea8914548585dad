/** What an organisation may use at this entry: open requests, its share of tokens, an event's order of sacrifice. */
import { Admission, pressureOf, type AdmissionRequest } from '../core/admission/index.js';
import type { Clock } from '../core/clock/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { Err, Ok, type Result } from '../core/result/index.js';
import type { GatewayRequest, Refusal } from '../gateway/index.js';
import type { ConfigurationBody } from '../generated/configuration.types.js';
import { CALLER_HEADER, ENDPOINT_SLOTS, PRIORITY, TOKEN_MS } from './consts.js';

/** What the limits need. */
export interface OrganisationLimitsParts {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly body: () => ConfigurationBody | undefined;
  /** Entries that share an organisation's tokens. */
  readonly liveEntries: () => number;
  /** Requests that one organisation may have open here. */
  readonly mostOpen: number;
}

/** Limits of all organisations at one entry. */
export class OrganisationLimits {
  private readonly admission = new Admission();
  /** Requests that have not ended, by organisation and by target. */
  private readonly open = new Map<string, number>();

  constructor(private readonly parts: OrganisationLimitsParts) {}

  /**
   * Lets a request in, or refuses it at once; what it returns is called at the request's end.
   * @example const admitted = limits.admit(request); if (admitted.ok) admitted.val();
   */
  admit(request: GatewayRequest): Result<() => void, Refusal> {
    const { parts } = this;
    const body = parts.body();
    const organisation = body?.organisations.find((o) => o.id === request.organisation?.id);
    if (!body || !organisation) return Ok(() => undefined);
    const open = this.open.get(organisation.id) ?? 0;
    if (open >= parts.mostOpen) {
      const detail = `${open} requests of ${organisation.id} are open at this entry.`;
      return Err({ reason: 'streams-exceeded', detail });
    }
    const target = request.route.shares[0]?.service ?? '';
    const asked = this.describe(request, organisation.id, target, body);
    parts.metrics.observe('admission_pressure_permille', pressureOf(asked) * 1000);
    const refused = this.admission.admit(
      asked,
      organisation,
      body,
      parts.liveEntries(),
      parts.clock.nowMs(),
      parts.clock.wallMs(),
    );
    if (refused) {
      const { reason, facts, retryAfterS } = refused;
      return Err({ reason, detail: facts, ...(retryAfterS !== undefined && { retryAfterS }) });
    }
    for (const name of [organisation.id, target]) this.count(name, 1);
    return Ok(() => {
      for (const name of [organisation.id, target]) this.count(name, -1);
    });
  }

  private count(name: string, change: 1 | -1): void {
    const count = (this.open.get(name) ?? 0) + change;
    if (count > 0) this.open.set(name, count);
    else this.open.delete(name);
  }

  private describe(
    request: GatewayRequest,
    organisation: string,
    target: string,
    body: ConfigurationBody,
  ): AdmissionRequest {
    const model = body.models.find((m) => m.id === target);
    const endpoints = model ?? body.services.find((s) => s.id === target);
    // An entry's part of the places; what is open beyond them waits for its turn.
    const places = ((endpoints?.endpoints.length ?? 1) * ENDPOINT_SLOTS) / this.parts.liveEntries();
    const waiting = Math.max(0, (this.open.get(target) ?? 0) - places) / places;
    const runMs = (request.tokens ?? 0) * TOKEN_MS;
    return {
      organisation,
      target,
      // A call to a plain service counts as one.
      tokens: request.tokens ?? 1,
      predictedMs: runMs * (1 + waiting),
      waitMs: runMs * waiting,
      deadlineMs: request.remainingMs(),
      priority: Number(request.req.headers[CALLER_HEADER.priority] ?? PRIORITY.usual),
    };
  }
}
