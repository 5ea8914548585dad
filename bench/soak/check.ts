/**
 * Checks the record of a run against the guarantees. Each guarantee is a function that returns its
 * violations as text; a run is clean if there are none.
 */
import { checkBackpressure } from './backpressure-check.js';
import { eventData, completeAnswer, STREAM_EVENTS } from '../../fakes/platform-engine/index.js';
import { checkAnswersAreRead, isSlowReader } from './slow-readers.js';
import { isCausedBy, type CallerRequest, type Disturbance, type SoakRecord } from './record.js';

/** Statuses that guarantee that a request has not run and never will. */
export const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const ROUTE_UNKNOWN_STATUS = 404;
/** Time after which requests with a removed key must not run, ms; `revoke-ms` of the boot file. */
export const REVOKE_MS = 5000;
/** Time after which a leaving endpoint or a removed route must get no requests, ms. */
const APPLY_MS = 2000;
/** Time without disturbance after which an instance must act on the published state, ms. */
const CONTACT_MS = 3000;
/** Longest time a group may stall, ms: others act for an unresponsive agent within 1.5 s. */
const MAX_HOLD_MS = 4000;
/** Time after the last disturbance by which requests must be served again, ms. */
const RECOVERY_MS = 3500;
/** Share of requests sent after RECOVERY_MS that must be served. */
const RECOVERED_SHARE = 0.9;

type Guarantee = (record: SoakRecord) => string[];

function isSuccess(request: CallerRequest): boolean {
  const status = request.outcome?.status ?? 0;
  return status >= 200 && status < 300;
}

/** Whether a matching disturbance of one of the targets overlaps a time span. */
function isDisturbed(
  record: SoakRecord,
  targets: readonly string[],
  fromMs: number,
  untilMs: number,
  matches: (d: Disturbance) => boolean = () => true,
): boolean {
  return record.disturbances.some(
    (d) => targets.includes(d.target) && d.fromMs < untilMs && d.untilMs > fromMs && matches(d),
  );
}

/**
 * Whether a caller got its own stream: all of it if complete, otherwise a prefix of whole events.
 */
function isExpectedStream(request: CallerRequest, body: string, isComplete: boolean): boolean {
  const events = Array.from(
    { length: STREAM_EVENTS },
    (_, i) => `id: ${i + 1}\ndata: ${eventData(request.id, i + 1)}\n\n`,
  );
  const expected = events.join('');
  return isComplete
    ? body === expected
    : expected.startsWith(body.slice(0, body.lastIndexOf('\n\n') + 2));
}

const answersMatchRequests: Guarantee = ({ requests }) =>
  requests.filter(isSuccess).flatMap((request) => {
    const { body, isComplete, isSigned } = request.outcome ?? { body: '', isComplete: false };
    if (!isSigned) return [`${request.id}: success without signature`];
    if (request.kind === 'stream' || request.kind === 'single-stream')
      return isExpectedStream(request, body, isComplete)
        ? []
        : [`${request.id}: not its own stream`];
    if (isComplete && body !== completeAnswer(request.id))
      return [`${request.id}: not its own answer`];
    return [];
  });

const runsMatchRequests: Guarantee = (record) => {
  const requests = new Map(record.requests.map((request) => [request.id, request]));
  return record.runs.flatMap((run) => {
    const request = requests.get(run.requestId);
    if (!request) return [`${run.requestId}: ran at ${run.endpoint}, but no caller sent it`];
    if (run.path !== request.path || run.body !== request.body)
      return [`${request.id}: ran altered, path or body differs from the request`];
    const organisation = record.organisations[request.key];
    if (organisation === undefined) return [`${request.id}: ran with a key that never was one`];
    return run.organisation === organisation ? [] : [`${request.id}: ran as ${run.organisation}`];
  });
};

function runsById(record: SoakRecord): Map<string, number> {
  const counts = new Map<string, number>();
  for (const run of record.runs) counts.set(run.requestId, (counts.get(run.requestId) ?? 0) + 1);
  return counts;
}

/** Whether a request may run at most once. */
const isOnce = ({ kind }: CallerRequest): boolean =>
  kind === 'once' || kind === 'single-attempt' || kind === 'single-stream';

const onceRequestsRunOnce: Guarantee = (record) => {
  const counts = runsById(record);
  return record.requests
    .filter((request) => isOnce(request) && (counts.get(request.id) ?? 0) > 1)
    .map((request) => `${request.id}: ran ${counts.get(request.id)} times`);
};

const refusedRequestsDoNotRun: Guarantee = (record) => {
  const counts = runsById(record);
  return record.requests
    .filter((request) => isOnce(request) && NOT_RUN_STATUSES.has(request.outcome?.status ?? 0))
    .filter((request) => counts.has(request.id))
    .map((request) => `${request.id}: answered ${request.outcome?.status}, and ran`);
};

/** Time before its deadline within which an entry may end a request, ms; covers delays of the soak process. */
const END_MARGIN_MS = 300;

/** An entry ends no request that may run once only while its endpoint is at work and its caller waits. */
const workIsNotAbandoned: Guarantee = (record) => {
  const requests = new Map(record.requests.map((request) => [request.id, request]));
  return record.abandoned.flatMap(({ endpoint, requestId, atMs }) => {
    const request = requests.get(requestId);
    if (!request?.outcome || !isOnce(request)) return [];
    if (atMs > request.sentAtMs + request.deadlineMs - END_MARGIN_MS) return [];
    if (isDisturbed(record, [request.entry, endpoint], request.sentAtMs - CONTACT_MS, atMs))
      return [];
    return [`${requestId}: ended by ${request.entry} while ${endpoint} was at work`];
  });
};

const removedKeysAreRejected: Guarantee = (record) => {
  const removedAtMs = new Map(
    record.removals
      .filter((removal) => removal.resource === 'key')
      .map((removal) => [removal.name, removal.atMs]),
  );
  const ran = new Set(record.runs.map((run) => run.requestId));
  return record.requests
    .filter((request) => request.sentAtMs > (removedAtMs.get(request.key) ?? Infinity) + REVOKE_MS)
    .filter((request) => ran.has(request.id))
    .map((request) => `${request.id}: ran with key ${request.key} after it was taken away`);
};

/**
 * Whether an entry had been undisturbed for long enough that it must act on the published state.
 */
function mustBeUpToDate(record: SoakRecord, entry: string, atMs: number): boolean {
  return !isDisturbed(record, [entry, 'store'], atMs - CONTACT_MS, atMs);
}

const removedTargetsGetNothing: Guarantee = (record) => {
  const requests = new Map(record.requests.map((request) => [request.id, request]));
  return record.removals.flatMap(({ resource, name, atMs }) =>
    record.runs
      .filter((run) =>
        resource === 'endpoint' ? run.endpoint === name : run.path.startsWith(name),
      )
      .filter((run) => {
        const request = requests.get(run.requestId);
        if (resource === 'key' || !request) return false;
        const appliedByMs = atMs + APPLY_MS;
        // A disturbed link to the endpoint may delay a request that was already sent.
        if (isDisturbed(record, [run.endpoint], appliedByMs - CONTACT_MS, run.startedAtMs))
          return false;
        const sentAtMs = resource === 'endpoint' ? run.startedAtMs : request.sentAtMs;
        return sentAtMs > appliedByMs && mustBeUpToDate(record, request.entry, sentAtMs);
      })
      .map((run) => `${run.requestId}: ran at ${resource} ${name} after it was withdrawn`),
  );
};

/** Entries that must be up to date serve an added route. */
const addedRoutesAreServed: Guarantee = (record) => {
  const removedAtMs = new Map(record.removals.map((removal) => [removal.name, removal.atMs]));
  return record.addedRoutes.flatMap(({ prefix, atMs }) =>
    record.requests
      .filter(
        (request) =>
          request.path.startsWith(prefix) && request.outcome?.status === ROUTE_UNKNOWN_STATUS,
      )
      .filter(
        (request) =>
          request.sentAtMs > atMs + APPLY_MS &&
          mustBeUpToDate(record, request.entry, request.sentAtMs),
      )
      .filter(
        (request) => (request.outcome?.atMs ?? Infinity) < (removedAtMs.get(prefix) ?? Infinity),
      )
      .map((request) => `${request.id}: route ${prefix} was not known after it was added`),
  );
};

/** A planned stop or a settings reload cuts no response that the endpoint would have completed. */
const plannedWorkCutsNoAnswers: Guarantee = (record) => {
  const planned = record.disturbances.filter((d) => d.kind === 'stop' || d.kind === 'hup');
  const isUnplanned = (d: Disturbance): boolean => !planned.includes(d);
  const everything = [...new Set(record.disturbances.map((d) => d.target))];
  // A caller that does not read is cut off at its deadline, or once the budget is spent.
  const readers = record.requests.filter((request) => !isSlowReader(request));
  return readers
    .filter(
      (request) => request.outcome && !request.outcome.isComplete && request.outcome.status !== 0,
    )
    .filter((request) =>
      planned.some(
        (d) =>
          d.target === request.entry &&
          d.fromMs < (request.outcome?.atMs ?? 0) &&
          d.untilMs > request.sentAtMs,
      ),
    )
    .filter(
      (request) =>
        !isDisturbed(
          record,
          everything,
          request.sentAtMs - CONTACT_MS,
          request.outcome?.atMs ?? 0,
          isUnplanned,
        ),
    )
    .map((request) => `${request.id}: cut at ${request.entry} by planned work (stop or reload)`);
};

/**
 * Runs of a request allowed after its third crash, once entries have had CONTACT_MS to receive it.
 */
const MAX_RUNS_AFTER_CRASHES = 3;

const crashingRequestsAreStopped: Guarantee = ({ crashes, runs }) =>
  [...new Set(crashes.map(({ path }) => path))].flatMap((path) => {
    const thirdCrash = crashes.filter((crash) => crash.path === path)[2];
    if (!thirdCrash) return [];
    const appliedByMs = thirdCrash.atMs + CONTACT_MS;
    const late = runs.filter((run) => isCausedBy(path, run.path) && run.startedAtMs > appliedByMs);
    return late.length > MAX_RUNS_AFTER_CRASHES
      ? [`${path}: ran ${late.length} times after crashing three endpoints`]
      : [];
  });

/** Only requests that crash endpoints are refused with `crashes-endpoints`. */
const harmlessRequestsAreNotRefused: Guarantee = ({ requests, crashes }) =>
  requests
    .filter(
      (request) =>
        request.outcome?.body.includes('crashes-endpoints') &&
        !crashes.some(({ path }) => isCausedBy(path, request.path)),
    )
    .map((request) => `${request.id}: refused with crashes-endpoints, but crashed none`);

const stepsUseOneMap: Guarantee = ({ mixedSteps }) =>
  mixedSteps.map((step) => `step ${step} began with two maps`);

const groupsDoNotStall: Guarantee = ({ longestHoldMs }) =>
  longestHoldMs > MAX_HOLD_MS ? [`the group stood still for ${Math.round(longestHoldMs)} ms`] : [];

const processesKeepRunning: Guarantee = ({ unexpectedExits }) => [...unexpectedExits];

const serviceRecovers: Guarantee = ({
  requests,
  faultsEndedAtMs,
  organisations,
  removals,
  crashes,
}) => {
  const excluded = new Set([
    ...removals.map((removal) => removal.name),
    ...crashes.map(({ path }) => path),
  ]);
  const late = requests.filter(
    (request) =>
      request.sentAtMs > faultsEndedAtMs + RECOVERY_MS &&
      request.outcome !== undefined &&
      organisations[request.key] !== undefined &&
      !excluded.has(request.key) &&
      ![...excluded].some((name) => request.path.startsWith(name)),
  );
  const served = late.filter((request) => isSuccess(request) && request.outcome?.isComplete).length;
  if (late.length === 0) return ['no requests were sent after the last disturbance'];
  const share = served / late.length;
  return share < RECOVERED_SHARE
    ? [`only ${served} of ${late.length} served after the last disturbance`]
    : [];
};

const GUARANTEES: readonly Guarantee[] = [
  answersMatchRequests,
  runsMatchRequests,
  onceRequestsRunOnce,
  refusedRequestsDoNotRun,
  workIsNotAbandoned,
  removedKeysAreRejected,
  removedTargetsGetNothing,
  addedRoutesAreServed,
  plannedWorkCutsNoAnswers,
  crashingRequestsAreStopped,
  checkBackpressure,
  harmlessRequestsAreNotRefused,
  stepsUseOneMap,
  groupsDoNotStall,
  processesKeepRunning,
  checkAnswersAreRead,
  serviceRecovers,
];

/**
 * Returns the violations of all guarantees as text; none for a clean run.
 * @example if (violationsOf(record).length > 0) keepSeed(record.seed);
 */
export function violationsOf(record: SoakRecord): string[] {
  return GUARANTEES.flatMap((check) => check(record));
}
