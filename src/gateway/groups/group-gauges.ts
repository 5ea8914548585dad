/** Gauges of the engine groups of an entry, over all of them. */
import type { GatewayContext } from '../context.js';
import type { SlotQueue } from './slot-queue.js';

/** Value of the gauge `admission_cut` while no class is cut; urgencies are 0 to 99. */
const NO_CUT = 100;

function allSlotQueues(ctx: GatewayContext): SlotQueue[] {
  const services = [...(ctx.state.config?.services.values() ?? [])];
  const groups = services.flatMap(({ id }) => ctx.serviceOf(id).groups?.all() ?? []);
  return groups.map(({ slotQueue }) => slotQueue);
}

/** Cut of the group that admits the least; without a cut if all groups admit all requests. */
function lowestCut(ctx: GatewayContext): ReturnType<SlotQueue['cut']> {
  const cuts = allSlotQueues(ctx).map((slotQueue) => slotQueue.cut());
  return cuts.reduce(
    (lowest, each) => ((each.cut ?? Infinity) < (lowest.cut ?? Infinity) ? each : lowest),
    { cut: undefined, fraction: 1 },
  );
}

/**
 * Registers the gauges.
 * @example registerGroupGauges(ctx);
 */
export function registerGroupGauges(ctx: GatewayContext): void {
  const { metrics } = ctx;
  const sum = (read: (slotQueue: SlotQueue) => number) => (): number =>
    allSlotQueues(ctx).reduce((total, slotQueue) => total + read(slotQueue), 0);
  metrics.gauge('admission_cut', () => lowestCut(ctx).cut ?? NO_CUT);
  metrics.gauge('admission_cut_fraction', () => lowestCut(ctx).fraction);
  metrics.gauge(
    'returning_callers_queued',
    sum(({ queue }) => queue.queuedReturning),
  );
  metrics.gauge(
    'promised_returns',
    sum(({ returns }) => returns.schedule.outstanding),
  );
  metrics.gauge(
    'promised_returns_kept',
    sum(({ returns }) => returns.schedule.kept),
  );
  metrics.gauge(
    'promised_returns_lapsed',
    sum(({ returns }) => returns.schedule.lapsed),
  );
}
