/**
 * Stand-in of a group of model engines in lock-step, one rank a host, as PROTOCOL.md describes them: reports,
 * counts, and streams of events that all ranks advance together, pass by pass.
 */
import http from 'node:http';
import { nowMs, PORT } from './deployment.mjs';

/** Values of the site's sheet. */
export const ENGINE = {
  slots: 8,
  step_ms: 4.55,
  per_seq_ms: 0.905,
  context_per_k: 0.0183,
  read_per_s: 61_400,
  pairs_per_m: 0.525,
  chunk: 512,
  stride: 4,
  sets: 4,
  experts: 72,
  places: 8,
  spare: 3,
  'expert-mb': 2200,
  'link-mbps': 180_000,
  'expert-share': 0.85,
  usual: { prompt: 800, answer: 97 },
  report_lag_ms: 200,
};
/** Time until the first event at the usual speed, ms: `first_ms` of the site file. */
const FIRST_MS = 90;
/** Tokens in an event, and experts that each token chooses in a set. */
const EVENT_TOKENS = 4;
const PICKS = 8;

/** Starts a group. Each stream has as many events as X-Token-Count asks for. */
export async function startModelGroup({ hosts, record }) {
  const bornMs = Date.now();
  let step = 0;
  let timer;
  let lastPassMs = 0;
  const ranks = hosts.map((host, rank) => ({
    id: `r-${rank}f${Math.floor(Math.random() * 1e6).toString(16)}`,
    host,
    rank,
    streams: new Set(),
    chosen: 0,
    /** How many times as long its work takes. */
    pace: 1,
  }));

  function pass() {
    const active = ranks.flatMap((rank) => [...rank.streams].map((stream) => ({ rank, stream })));
    if (active.length === 0) {
      timer = undefined;
      return;
    }
    step += ENGINE.stride;
    for (const { rank, stream } of active) {
      if (stream.readMs < FIRST_MS) {
        stream.readMs += lastPassMs / rank.pace;
        continue;
      }
      stream.sent += 1;
      rank.chosen += EVENT_TOKENS * PICKS;
      stream.res.write(`id: ${stream.sent}\ndata: ${stream.id} piece ${stream.sent}\n\n`);
      if (stream.sent < stream.events) continue;
      rank.streams.delete(stream);
      record({ engine: rank.id, at: nowMs(), what: 'done', id: stream.id });
      stream.res.end();
    }
    startPass();
  }

  function startPass() {
    lastPassMs = passMs();
    timer = setTimeout(pass, lastPassMs);
  }

  /** Every pass is made by all ranks together, so the slowest one sets its time. */
  function passMs() {
    const ownMs = ({ streams, pace }) =>
      ENGINE.stride * (ENGINE.step_ms + ENGINE.per_seq_ms * streams.size) * pace;
    return Math.max(...ranks.map(ownMs));
  }

  function report(rank) {
    return {
      stage: 'colocated',
      models: [{ name: 'm', version: 1, adapters: [] }],
      utilization: false,
      sequence: 0,
      'queued-requests': Math.max(0, rank.streams.size - ENGINE.slots),
      'active-requests': Math.min(ENGINE.slots, rank.streams.size),
      'kv-used': rank.streams.size * 900,
      'kv-total': 186_666,
      handles: 0,
      born: bornMs,
      group: { name: 'g-1', epoch: 1, rank: rank.rank, state: 'open', size: ranks.length },
      size: ranks.length,
      pace: rank.pace,
      step,
      map: 0,
      prepared: null,
      armed: null,
      held: null,
    };
  }

  /** Under map 0 the experts are dealt out in turn. */
  function expertsOf(rank) {
    const all = Array.from({ length: ENGINE.experts }, (_, expert) => expert);
    const own = all.filter((expert) => expert % ranks.length === rank.rank);
    return Array.from({ length: ENGINE.sets }, () => own);
  }

  /** All experts are chosen equally often. */
  function countsOf(rank) {
    return Array(ENGINE.sets * ENGINE.experts).fill(Math.floor(rank.chosen / ENGINE.experts));
  }

  function sendJson(res, status, body) {
    const text = JSON.stringify(body);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  function stream(rank, req, res) {
    const id = req.headers['x-request-id'];
    const common = { 'x-request-id': id ?? '', 'x-server-stamp': `${rank.id}.${step}` };
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== rank.id) {
      req.resume();
      return void res.writeHead(421, { ...common, 'x-not-executed': '1' }).end();
    }
    req.resume();
    const [, most = '96'] = String(req.headers['x-token-count']).split(',');
    const after = Number(req.headers['last-event-id'] ?? 0);
    const one = { id, res, readMs: 0, sent: after, events: Math.ceil(Number(most) / EVENT_TOKENS) };
    record({ engine: rank.id, at: nowMs(), what: 'run', id, after });
    res.writeHead(200, {
      ...common,
      'content-type': 'text/event-stream',
      'x-weight-versions': '1',
    });
    res.on('close', () => {
      if (!rank.streams.delete(one)) return;
      record({ engine: rank.id, at: nowMs(), what: 'dropped', id, sent: one.sent });
    });
    rank.streams.add(one);
    if (!timer) startPass();
  }

  const servers = await Promise.all(
    ranks.map(async (rank) => {
      const server = http.createServer((req, res) => {
        req.on('error', () => undefined);
        res.on('error', () => undefined);
        const { pathname, searchParams } = new URL(req.url, 'http://engine');
        if (pathname === '/harrierglade/report') return sendJson(res, 200, report(rank));
        if (pathname === '/harrierglade/picked')
          return searchParams.has('lists')
            ? sendJson(res, 200, { map: { version: 0, experts: expertsOf(rank) }, prepared: null })
            : sendJson(res, 200, { step, epoch: 1, counts: countsOf(rank) });
        if (pathname === '/harrierglade/order') {
          req.resume();
          record({ engine: rank.id, at: nowMs(), what: 'order' });
          return sendJson(res, 409, {});
        }
        return stream(rank, req, res);
      });
      server.keepAliveTimeout = 60_000;
      await new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(PORT.app, rank.host, resolve);
      });
      return server;
    }),
  );
  return {
    ranks: ranks.map(({ id, host }) => ({ id, address: `${host}:${PORT.app}` })),
    /** Some ranks take `x` times as long from now on, the others their usual time. */
    slow(which, x) {
      for (const rank of ranks) rank.pace = which.has(rank.rank) ? x : 1;
      record({ engine: 'group', at: nowMs(), what: 'slow', ranks: [...which], x });
    },
    close() {
      clearTimeout(timer);
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
