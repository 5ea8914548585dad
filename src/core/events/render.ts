/** Renders an event plan as text for an operator. */
import type { EventPlan, TargetPlan } from './types.js';

function formatTime(ms: number): string {
  return new Date(ms).toISOString().replace('.000Z', 'Z');
}

function formatRate(value: number): string {
  return value >= 100 ? Math.round(value).toLocaleString('en') : value.toFixed(1);
}

function targetLine(t: TargetPlan): string {
  if (t.capacity === undefined) {
    return `  ${t.target}: surge ${formatRate(t.surge)} ${t.unit} on ${t.endpoints} endpoints; capacity is not configured (set requestsPerSecondPerEndpoint)`;
  }
  const coverage = t.shortfall > 0 ? `SHORT by ${formatRate(t.shortfall)}` : 'covered';
  return `  ${t.target}: surge ${formatRate(t.surge)} of ${formatRate(t.capacity)} ${t.unit} on ${t.endpoints} endpoints, ${coverage}`;
}

/**
 * Renders a plan as plain text.
 * @example process.stdout.write(renderPlan(plan));
 */
export function renderPlan(plan: EventPlan): string {
  const { event } = plan;
  const preloads = plan.preloads.map((p) => {
    const timeliness = p.inTime
      ? 'in time'
      : 'NOT in time: the remainder is loaded after the start';
    return `  ${p.group}: experts ${p.experts.join(', ')}, ${(p.bytes / 1e9).toFixed(2)} GB at most, ${formatTime(p.beginMs)} to ${formatTime(p.endMs)}, ${timeliness}`;
  });
  const sacrifice = plan.sacrifice.map(
    (s, i) =>
      `  ${i + 1}. ${s.given}, when queueing takes ${Math.round(s.fromPressure * 100)}% of a deadline; shortfall left ${formatRate(s.shortfallLeft)} tokens/s`,
  );
  return [
    `Event ${event.id}: ${formatTime(event.startMs)} to ${formatTime(event.startMs + event.durationMs)}, based on version ${plan.base.version}`,
    '',
    'Capacity against surge',
    ...plan.targets.map(targetLine),
    '',
    'Shares, tokens/s (before; while capacity is short)',
    ...plan.shares.map(
      (s) => `  ${s.organisation}: ${formatRate(s.before)}; ${formatRate(s.during)}`,
    ),
    '',
    'Loaded before the start',
    ...(preloads.length > 0 ? preloads : ['  nothing: the intent lists no hot experts']),
    '',
    'Sacrificed if capacity runs short, in this order',
    ...(sacrifice.length > 0 ? sacrifice : ['  nothing']),
    '',
    plan.shortfallLeft > 0
      ? `Shortfall left: ${formatRate(plan.shortfallLeft)} tokens/s will be refused at once, with a Retry-After time.`
      : 'No shortfall is left.',
    'Nothing has changed. Confirm with: harrierglade confirm PLAN.json',
    '',
  ].join('\n');
}
