/** Plans an event from an operator's intent and the published configuration. */
import type { ConfigurationBody, GroupConfig } from '../../generated/configuration.types.js';
import validateIntent from '../../generated/intent.validator.js';
import { MIN_SACRIFICE_PRESSURE } from '../admission/index.js';
import { notRun, type HarriergladeError } from '../errors/index.js';
import { Err, Ok, type Result } from '../result/index.js';
import { validationErrors, nearestName } from '../settings/index.js';
import type {
  ConfigurationDocument,
  EventConfig,
  EventIntent,
  EventPlan,
  PreloadPlan,
  SacrificePlan,
  SharePlan,
  TargetPlan,
} from './types.js';

/** Time before an event's start at which loading of its hot experts begins, ms. */
export const PRELOAD_LEAD_MS = 120_000;
const INTENT_KEYS: Record<string, string[]> = {
  '': ['id', 'start', 'durationMinutes', 'organisations', 'surge', 'hotExperts', 'sacrifice'],
};

function unknownNameErrors(what: string, name: string, known: readonly string[]): string[] {
  if (known.includes(name)) return [];
  const suggestion = nearestName(name, known);
  return [
    `${what} "${name}" is not configured${suggestion ? `; did you mean "${suggestion}"?` : '; use a configured one'}`,
  ];
}

function expertErrors(intent: EventIntent, body: ConfigurationBody): string[] {
  return (intent.hotExperts ?? []).flatMap(({ group: id, expert }) => {
    const group = body.groups.find((g) => g.id === id);
    if (!group)
      return unknownNameErrors(
        'group',
        id,
        body.groups.map((g) => g.id),
      );
    return expert < group.experts
      ? []
      : [`expert ${expert} of group "${id}" does not exist; use 0 to ${group.experts - 1}`];
  });
}

function timeErrors(intent: EventIntent, body: ConfigurationBody, nowMs: number): string[] {
  const startMs = Date.parse(intent.start);
  if (!Number.isFinite(startMs))
    return [`start "${intent.start}" is not a valid time; write it as 2027-01-31T05:00:00+02:00`];
  if (startMs <= nowMs) return [`start ${intent.start} has passed; name a time to come`];
  const endMs = startMs + intent.durationMinutes * 60_000;
  return (body.events ?? [])
    .filter((e) => e.id !== intent.id && e.startMs < endMs && startMs < e.startMs + e.durationMs)
    .filter((e) => e.organisations.some((o) => intent.organisations.includes(o)))
    .map(
      (e) =>
        `event "${e.id}" runs at the same time for the same organisations; move one of them or combine both into one event`,
    );
}

function contentErrors(intent: EventIntent, body: ConfigurationBody, nowMs: number): string[] {
  const organisations = body.organisations.map((o) => o.id);
  const targets = [...body.models.map((m) => m.id), ...body.services.map((s) => s.id)];
  return [
    ...timeErrors(intent, body, nowMs),
    ...intent.organisations.flatMap((o) => unknownNameErrors('organisation', o, organisations)),
    ...intent.surge.flatMap((s) => unknownNameErrors('model or service', s.target, targets)),
    ...intent.sacrifice.flatMap((s) =>
      unknownNameErrors('sacrifice', s, [...organisations, ...targets]),
    ),
    ...expertErrors(intent, body),
  ];
}

function toEventConfig(intent: EventIntent): EventConfig {
  return {
    id: intent.id,
    startMs: Date.parse(intent.start),
    durationMs: Math.round(intent.durationMinutes * 60_000),
    organisations: intent.organisations,
    surge: intent.surge,
    ...(intent.hotExperts ? { hotExperts: intent.hotExperts } : {}),
    sacrifice: intent.sacrifice,
  };
}

function targetPlan(body: ConfigurationBody, surge: EventIntent['surge'][number]): TargetPlan {
  const model = body.models.find((m) => m.id === surge.target);
  if (model) {
    const capacity = model.endpoints.length * body.policy.tokensPerSecondPerEndpoint;
    const tokens = surge.requestsPerSecond * surge.tokensPerRequest;
    return {
      target: surge.target,
      unit: 'tokens/s',
      endpoints: model.endpoints.length,
      capacity,
      surge: tokens,
      shortfall: Math.max(0, tokens - capacity),
    };
  }
  const service = body.services.find((s) => s.id === surge.target);
  const endpoints = service?.endpoints.length ?? 0;
  const perEndpoint = service?.requestsPerSecondPerEndpoint;
  const capacity = perEndpoint === undefined ? undefined : perEndpoint * endpoints;
  const shortfall = capacity === undefined ? 0 : Math.max(0, surge.requestsPerSecond - capacity);
  return {
    target: surge.target,
    unit: 'requests/s',
    endpoints,
    capacity,
    surge: surge.requestsPerSecond,
    shortfall,
  };
}

function sharePlans(body: ConfigurationBody, event: EventConfig, capacity: number): SharePlan[] {
  const inside = body.organisations.filter((o) => event.organisations.includes(o.id));
  const weight = inside.reduce((sum, o) => sum + o.weight, 0);
  return inside.map((o) => ({
    organisation: o.id,
    before: o.tokensPerSecond,
    during: Math.min(o.tokensPerSecond, (capacity * o.weight) / Math.max(weight, 1e-9)),
  }));
}

function preloadPlan(
  body: ConfigurationBody,
  event: EventConfig,
  group: GroupConfig,
): PreloadPlan | undefined {
  const experts = (event.hotExperts ?? []).filter((h) => h.group === group.id).map((h) => h.expert);
  if (experts.length === 0) return undefined;
  // Upper bound: one additional replica of each hot expert in every layer.
  const bytes = experts.length * group.layers * group.expertBytes;
  const bytesPerSecond = body.policy.weightStoreBytesPerSecond / body.groups.length;
  const beginMs = event.startMs - PRELOAD_LEAD_MS;
  const endMs = beginMs + Math.ceil((bytes / bytesPerSecond) * 1000);
  return { group: group.id, experts, bytes, beginMs, endMs, inTime: endMs <= event.startMs };
}

/** Demand freed by sacrificing one organisation or target, tokens per second. */
function freedTokensPerSecond(
  name: string,
  body: ConfigurationBody,
  event: EventConfig,
  targets: readonly TargetPlan[],
  demand: number,
): number {
  const target = targets.find((t) => t.target === name);
  if (target) return target.unit === 'tokens/s' ? target.surge : 0;
  const inside = body.organisations.filter((o) => event.organisations.includes(o.id));
  const weight = inside.reduce((sum, o) => sum + o.weight, 0);
  const own = inside.find((o) => o.id === name)?.weight ?? 0;
  return weight > 0 ? (demand * own) / weight : 0;
}

function sacrificePlans(
  body: ConfigurationBody,
  event: EventConfig,
  targets: readonly TargetPlan[],
): SacrificePlan[] {
  const models = targets.filter((t) => t.unit === 'tokens/s');
  const capacity = models.reduce((sum, t) => sum + (t.capacity ?? 0), 0);
  let demand = models.reduce((sum, t) => sum + t.surge, 0);
  const total = demand;
  const step = (1 - MIN_SACRIFICE_PRESSURE) / Math.max(1, event.sacrifice.length);
  return event.sacrifice.map((name, index) => {
    demand = Math.max(0, demand - freedTokensPerSecond(name, body, event, targets, total));
    return {
      given: name,
      fromPressure: MIN_SACRIFICE_PRESSURE + index * step,
      shortfallLeft: Math.max(0, demand - capacity),
    };
  });
}

/**
 * Plans an event. An invalid intent gives one error that lists everything wrong with it.
 * @example planEvent(JSON.parse(text), doc, Date.now()).map((plan) => plan.shortfallLeft)
 */
export function planEvent(
  data: unknown,
  doc: ConfigurationDocument,
  nowMs: number,
): Result<EventPlan, HarriergladeError> {
  const shapeErrors = validationErrors(validateIntent, data, (path) => INTENT_KEYS[path] ?? []);
  if (shapeErrors.length > 0) return Err(notRun('intent-invalid', `${shapeErrors.join('; ')}.`));
  const intent = data as EventIntent;
  const errors = contentErrors(intent, doc.body, nowMs);
  if (errors.length > 0) return Err(notRun('intent-invalid', `${errors.join('; ')}.`));
  const event = toEventConfig(intent);
  const targets = event.surge.map((s) => targetPlan(doc.body, s));
  const capacity = targets.reduce(
    (sum, t) => sum + (t.unit === 'tokens/s' ? (t.capacity ?? 0) : 0),
    0,
  );
  const shortfall = targets.reduce((sum, t) => sum + (t.unit === 'tokens/s' ? t.shortfall : 0), 0);
  const sacrifice = sacrificePlans(doc.body, event, targets);
  return Ok({
    base: { version: doc.version, digest: doc.digest },
    event,
    targets,
    shares: sharePlans(doc.body, event, capacity),
    preloads: doc.body.groups.flatMap((g) => preloadPlan(doc.body, event, g) ?? []),
    sacrifice,
    shortfallLeft: sacrifice.at(-1)?.shortfallLeft ?? shortfall,
  });
}
