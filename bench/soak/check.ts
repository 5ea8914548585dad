/**
 * Decides from the record of a run alone whether the promises were kept. Each promise is one function that
 * lists its violations in words; a run is clean when there are none.
 */
import { asksAreHeeded } from './asks-check.js';
import { eventData, plainAnswer, STREAM_EVENTS } from '../../fakes/platform-engine/index.js';
import type { Ask, Disturbance, SoakRecord } from './record.js';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Status of a request whose route is not known. */
const NO_ROUTE = 404;
/** Time after which a key that was taken away must not run, ms; `revoke-ms` of the boot file. */
export const REVOKE_MS = 5000;
/** Time after which an endpoint that leaves or a route that is gone gets nothing, ms. */
const APPLY_MS = 2000;
/** Span without disturbance after which an instance is bound by what was published, ms. */
const CONTACT_MS = 3000;
/** Longest time for which a group may stand still, ms: a silent agent is acted for within 1.5 s. */
const HOLD_MS = 4000;
/** Time after the last disturbance from which requests must be served again, ms. */
const RECOVERY_MS = 3500;
/** Share of the requests sent after that which must be served. */
const RECOVERED_SHARE = 0.9;

type PromiseCheck = (record: SoakRecord) => string[];

function isSuccess(ask: Ask): boolean {
  const status = ask.end?.status ?? 0;
  return status >= 200 && status < 300;
}

/** Whether a disturbance struck a target, or everything, at some time of a span. */
function isDisturbed(
  record: SoakRecord,
  targets: readonly string[],
  fromMs: number,
  untilMs: number,
  isMeant: (d: Disturbance) => boolean = () => true,
): boolean {
  return record.disturbances.some(
    (d) => targets.includes(d.target) && d.fromMs < untilMs && d.untilMs > fromMs && isMeant(d),
  );
}

/** The stream that a caller must have got: whole, or its beginning. */
function isOwnStream(ask: Ask, body: string, isComplete: boolean): boolean {
  const events = Array.from(
    { length: STREAM_EVENTS },
    (_, i) => `id: ${i + 1}\ndata: ${eventData(ask.id, i + 1)}\n\n`,
  );
  const whole = events.join('');
  return isComplete
    ? body === whole
    : whole.startsWith(body.slice(0, body.lastIndexOf('\n\n') + 2));
}

const answersAreWholeAndOwn: PromiseCheck = ({ asks }) =>
  asks.filter(isSuccess).flatMap((ask) => {
    const { body, isComplete, isSigned } = ask.end ?? { body: '', isComplete: false };
    if (!isSigned) return [`${ask.id}: a success without signature`];
    if (ask.kind === 'stream')
      return isOwnStream(ask, body, isComplete) ? [] : [`${ask.id}: not its own stream`];
    if (isComplete && body !== plainAnswer(ask.id)) return [`${ask.id}: not its own answer`];
    return [];
  });

const runsWereAskedFor: PromiseCheck = (record) => {
  const asks = new Map(record.asks.map((ask) => [ask.id, ask]));
  return record.runs.flatMap((run) => {
    const ask = asks.get(run.requestId);
    if (!ask) return [`${run.requestId}: ran at ${run.endpoint}, no caller sent it`];
    if (run.path !== ask.path || run.body !== ask.body) return [`${ask.id}: ran altered`];
    const organisation = record.organisations[ask.key];
    if (organisation === undefined) return [`${ask.id}: ran with a key that never was one`];
    return run.organisation === organisation ? [] : [`${ask.id}: ran as ${run.organisation}`];
  });
};

function runsById(record: SoakRecord): Map<string, number> {
  const counts = new Map<string, number>();
  for (const run of record.runs) counts.set(run.requestId, (counts.get(run.requestId) ?? 0) + 1);
  return counts;
}

const onceMeansOnce: PromiseCheck = (record) => {
  const counts = runsById(record);
  return record.asks
    .filter((ask) => ask.kind === 'once' && (counts.get(ask.id) ?? 0) > 1)
    .map((ask) => `${ask.id}: ran ${counts.get(ask.id)} times`);
};

const refusalsAreTrue: PromiseCheck = (record) => {
  const counts = runsById(record);
  return record.asks
    .filter((ask) => ask.kind === 'once' && NOT_RUN.has(ask.end?.status ?? 0))
    .filter((ask) => counts.has(ask.id))
    .map((ask) => `${ask.id}: answered ${ask.end?.status}, and ran`);
};

const keysEnd: PromiseCheck = (record) => {
  const ended = new Map(
    record.withdrawals.filter((w) => w.what === 'key').map((w) => [w.name, w.atMs]),
  );
  const ran = new Set(record.runs.map((run) => run.requestId));
  return record.asks
    .filter((ask) => ask.sentAtMs > (ended.get(ask.key) ?? Infinity) + REVOKE_MS)
    .filter((ask) => ran.has(ask.id))
    .map((ask) => `${ask.id}: ran with key ${ask.key} after it was taken away`);
};

/** Whether an entry had been undisturbed for long enough to be bound by what was published. */
function isBound(record: SoakRecord, entry: string, atMs: number): boolean {
  return !isDisturbed(record, [entry, 'store'], atMs - CONTACT_MS, atMs);
}

const withdrawnTakesNothing: PromiseCheck = (record) => {
  const asks = new Map(record.asks.map((ask) => [ask.id, ask]));
  return record.withdrawals.flatMap(({ what, name, atMs }) =>
    record.runs
      .filter((run) => (what === 'endpoint' ? run.endpoint === name : run.path.startsWith(name)))
      .filter((run) => {
        const ask = asks.get(run.requestId);
        if (what === 'key' || !ask) return false;
        const lateFromMs = atMs + APPLY_MS;
        // A request that is on its way may be held up by the link to the endpoint.
        if (isDisturbed(record, [run.endpoint], lateFromMs - CONTACT_MS, run.startedAtMs))
          return false;
        const sentAtMs = what === 'endpoint' ? run.startedAtMs : ask.sentAtMs;
        return sentAtMs > lateFromMs && isBound(record, ask.entry, sentAtMs);
      })
      .map((run) => `${run.requestId}: ran at ${what} ${name} after it was withdrawn`),
  );
};

/** A route that was added is served by entries that are bound by it. */
const addedRoutesServe: PromiseCheck = (record) => {
  const gone = new Map(record.withdrawals.map((w) => [w.name, w.atMs]));
  return record.additions.flatMap(({ prefix, atMs }) =>
    record.asks
      .filter((ask) => ask.path.startsWith(prefix) && ask.end?.status === NO_ROUTE)
      .filter((ask) => ask.sentAtMs > atMs + APPLY_MS && isBound(record, ask.entry, ask.sentAtMs))
      .filter((ask) => (ask.end?.atMs ?? Infinity) < (gone.get(prefix) ?? Infinity))
      .map((ask) => `${ask.id}: route ${prefix} was not known after it was added`),
  );
};

/** A planned stop or a re-read of settings cuts nothing that the endpoint would have answered. */
const plannedWorkCutsNothing: PromiseCheck = (record) => {
  const planned = record.disturbances.filter((d) => d.kind === 'stop' || d.kind === 'hup');
  const isUnplanned = (d: Disturbance): boolean => !planned.includes(d);
  const everything = [...new Set(record.disturbances.map((d) => d.target))];
  return record.asks
    .filter((ask) => ask.end && !ask.end.isComplete && ask.end.status !== 0)
    .filter((ask) =>
      planned.some(
        (d) =>
          d.target === ask.entry && d.fromMs < (ask.end?.atMs ?? 0) && d.untilMs > ask.sentAtMs,
      ),
    )
    .filter(
      (ask) =>
        !isDisturbed(
          record,
          everything,
          ask.sentAtMs - CONTACT_MS,
          ask.end?.atMs ?? 0,
          isUnplanned,
        ),
    )
    .map((ask) => `${ask.id}: cut at ${ask.entry} by planned work`);
};

/** Runs that may follow the third fall by a request, once entries are bound by what they could know of it. */
const MOST_RUNS_AFTER = 3;

const crashingRequestsEnd: PromiseCheck = ({ falls, runs }) =>
  [...new Set(falls.map(({ path }) => path))].flatMap((path) => {
    const third = falls.filter((fall) => fall.path === path)[2];
    if (!third) return [];
    const boundFromMs = third.atMs + CONTACT_MS;
    const late = runs.filter((run) => run.path === path && run.startedAtMs > boundFromMs);
    return late.length > MOST_RUNS_AFTER
      ? [`${path}: ran ${late.length} times after it had crashed three endpoints`]
      : [];
  });

/** None but those that crash endpoints is refused as one that does. */
const innocentAreNotRefused: PromiseCheck = ({ asks, falls }) => {
  const crashing = new Set(falls.map(({ path }) => path));
  return asks
    .filter((ask) => ask.end?.body.includes('crashes-endpoints') && !crashing.has(ask.path))
    .map((ask) => `${ask.id}: refused as one that crashes endpoints`);
};

const oneMapInEveryStep: PromiseCheck = ({ mixedSteps }) =>
  mixedSteps.map((step) => `step ${step} began with two maps`);

const groupsGoOn: PromiseCheck = ({ longestHoldMs }) =>
  longestHoldMs > HOLD_MS ? [`the group stood still for ${Math.round(longestHoldMs)} ms`] : [];

const processesKeepRunning: PromiseCheck = ({ badEnds }) => [...badEnds];

const serviceComesBack: PromiseCheck = ({
  asks,
  calmFromMs,
  organisations,
  withdrawals,
  falls,
}) => {
  const gone = new Set([...withdrawals.map((w) => w.name), ...falls.map(({ path }) => path)]);
  const late = asks.filter(
    (ask) =>
      ask.sentAtMs > calmFromMs + RECOVERY_MS &&
      ask.end !== undefined &&
      organisations[ask.key] !== undefined &&
      !gone.has(ask.key) &&
      ![...gone].some((name) => ask.path.startsWith(name)),
  );
  const served = late.filter((ask) => isSuccess(ask) && ask.end?.isComplete).length;
  if (late.length === 0) return ['nothing was asked after the last disturbance'];
  const share = served / late.length;
  return share < RECOVERED_SHARE
    ? [`only ${served} of ${late.length} served after the last disturbance`]
    : [];
};

const PROMISES: readonly PromiseCheck[] = [
  answersAreWholeAndOwn,
  runsWereAskedFor,
  onceMeansOnce,
  refusalsAreTrue,
  keysEnd,
  withdrawnTakesNothing,
  addedRoutesServe,
  plannedWorkCutsNothing,
  crashingRequestsEnd,
  asksAreHeeded,
  innocentAreNotRefused,
  oneMapInEveryStep,
  groupsGoOn,
  processesKeepRunning,
  serviceComesBack,
];

/**
 * Violations of all promises, in words; none for a clean run.
 * @example if (violationsOf(record).length > 0) keepSeed(record.seed);
 */
export function violationsOf(record: SoakRecord): string[] {
  return PROMISES.flatMap((promise) => promise(record));
}
