/** Serves the platform's HTTP API of one rank's engine on top of a simulated group. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EngineCalls, EngineCommand } from '../../src/group/engine-calls.js';
import { readJson, sendJson } from '../http/index.js';

interface WireOrder {
  readonly operation: EngineCommand['kind'];
  readonly version?: number;
  readonly step?: number;
  readonly map?: number[][][];
  readonly epoch: number;
  readonly 'fencing-token': number;
}

const ANSWER_STATUS = { taken: 202, refused: 409, fenced: 412 } as const;

function decodeOrder(wire: WireOrder): EngineCommand {
  const { operation, version = 0, step = 0, map = [] } = wire;
  switch (operation) {
    case 'prepare':
      return { kind: operation, version, layers: map };
    case 'arm':
      return { kind: operation, version, step };
    case 'disarm':
      return { kind: operation, version };
    default:
      return { kind: operation, step };
  }
}

/**
 * Serves the engine calls of a rank; returns false for any other request.
 * @example if (await serveRankCalls(calls, req, res)) return;
 */
export async function serveRankCalls(
  calls: EngineCalls,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<boolean> {
  const url = new URL(req.url ?? '/', 'http://engine');
  if (url.pathname === '/harrierglade/report') {
    const report = await calls.report();
    sendJson(res, 200, {
      group: {
        epoch: report.groupEpoch,
        rank: report.rank,
        state: report.isGroupRunning ? 'open' : 'broken',
        size: report.ranks,
      },
      pace: report.pace,
      'active-requests': report.running,
      'queued-requests': report.queued,
      step: report.step,
      map: report.mapVersion,
      prepared: report.preparedVersion ?? null,
      armed: report.armed ?? null,
      held: report.heldStep ?? null,
    });
    return true;
  }
  if (url.pathname === '/harrierglade/picked') {
    if (url.searchParams.has('lists'))
      sendJson(res, 200, { map: { experts: await calls.placed() } });
    else sendJson(res, 200, { counts: (await calls.picked(1)).flat() });
    return true;
  }
  if (url.pathname !== '/harrierglade/order') return false;
  const wire = (await readJson(req)) as WireOrder;
  const answer = await calls.command(decodeOrder(wire), wire['fencing-token'], wire.epoch);
  // An unanswered order leaves its connection open without a response.
  if (answer !== 'unanswered') sendJson(res, ANSWER_STATUS[answer], {});
  return true;
}
