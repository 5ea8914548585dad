/** Fake of the platform's key-value store: revisions, range reads, watches and failure modes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { closeServer, sendJson, serveLoopback } from '../http/index.js';

/**
 * How the store responds to every call: normally, with status 503, with a connection reset, never,
 * with a body that is not JSON, or with a truncated body.
 */
export type StoreMode = 'well' | 'busy' | 'reset' | 'silent' | 'no-json' | 'half';

interface Item {
  readonly value: string;
  readonly revision: number;
}

interface Change {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
}

/** Contents of a store at one time. */
export interface StoreSnapshot {
  readonly items: ReadonlyMap<string, Item>;
  readonly changes: readonly Change[];
  readonly revision: number;
}

/** A running fake store. */
export interface FakeStore {
  readonly url: string;
  readonly host: string;
  readonly port: number;
  /** Number of calls by path since the start. */
  readonly calls: Map<string, number>;
  mode: StoreMode;
  /** Maximum number of items in one page of a range. */
  pageSize: number;
  put(key: string, document: unknown): void;
  /** Stores a value as given, which need not be valid base64 or JSON. */
  putRaw(key: string, value: string): void;
  remove(key: string): void;
  /** Discards the history of changes; watches from an earlier revision end with status 410. */
  compact(): void;
  /** Current contents of the store. */
  snapshot(): StoreSnapshot;
  /**
   * Restores a snapshot and starts a new era: later writes are lost, their revisions are reused, and
   * the connections of waiting watches are closed.
   */
  restore(snapshot: StoreSnapshot): void;
  close(): void;
}

/** Default keep-alive timeout of a Node HTTP server, ms. */
const NODE_KEEP_ALIVE_MS = 5000;

/**
 * Starts a store that closes idle connections after `keepAliveMs`.
 * @example const store = await startStore(); store.put('op/config', { version: 1 });
 */
export async function startStore(keepAliveMs = NODE_KEEP_ALIVE_MS): Promise<FakeStore> {
  let items = new Map<string, Item>();
  let changes: Change[] = [];
  let revision = 1;
  let era = 1;
  let compactedRevision = 0;
  const calls = new Map<string, number>();
  const waitingWatches = new Map<() => void, ServerResponse>();

  const answerWatches = (): void => {
    for (const tryAnswer of [...waitingWatches.keys()]) tryAnswer();
  };

  function range(prefix: string, after: string | undefined): object {
    const keys = [...items.keys()]
      .filter((k) => k.startsWith(prefix) && (!after || k > after))
      .sort();
    const page = keys.slice(0, fake.pageSize);
    return {
      items: page.map((key) => ({ key, ...items.get(key), lease: 0 })),
      'has-more': keys.length > page.length,
      'as-of': revision,
    };
  }

  function watch(url: URL, res: ServerResponse): void {
    const prefix = url.searchParams.get('path-prefix') ?? '';
    const after = Number(url.searchParams.get('after-revision'));
    const waitMs = Number(url.searchParams.get('wait-ms'));
    const stopWaiting = (): void => {
      clearTimeout(timer);
      waitingWatches.delete(tryAnswer);
    };
    res.on('close', () => stopWaiting());
    const tryAnswer = (timedOut = false): void => {
      if (after < compactedRevision || after > revision) {
        stopWaiting();
        return sendJson(res, 410, {});
      }
      const events = changes.filter((c) => c.revision > after && c.key.startsWith(prefix));
      if (events.length === 0 && !timedOut) return;
      stopWaiting();
      sendJson(res, 200, { events, 'as-of': revision });
    };
    const timer = setTimeout(() => tryAnswer(true), waitMs);
    waitingWatches.set(tryAnswer, res);
    tryAnswer();
  }

  async function serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
    res.setHeader('store-era', era);
    if (fake.mode === 'busy') return sendJson(res, 503, {});
    if (fake.mode === 'reset') return void req.socket.resetAndDestroy();
    if (fake.mode === 'silent') return;
    if (fake.mode === 'no-json') return void res.writeHead(200).end('<html>');
    if (fake.mode === 'half') {
      res.writeHead(200, { 'content-length': 100 }).write('{"items":[');
      return void setTimeout(() => req.socket.destroy(), 5);
    }
    if (url.pathname === '/harrierglade/kv-key') {
      const item = items.get(url.searchParams.get('key') ?? '');
      if (!item) return sendJson(res, 404, {});
      const key = url.searchParams.get('key');
      return sendJson(res, 200, { key, ...item, lease: 0, 'as-of': revision });
    }
    if (url.pathname === '/harrierglade/kv-range') {
      const after = url.searchParams.get('after-revision') ?? undefined;
      return sendJson(res, 200, range(url.searchParams.get('path-prefix') ?? '', after));
    }
    if (url.pathname === '/harrierglade/kv-watch') return watch(url, res);
    sendJson(res, 404, {});
  }

  const served = await serveLoopback(serve);
  served.server.keepAliveTimeout = keepAliveMs;
  const fake: FakeStore = {
    url: served.url,
    host: '127.0.0.1',
    port: served.port,
    calls,
    mode: 'well',
    pageSize: 500,
    put: (key, document) =>
      fake.putRaw(key, Buffer.from(JSON.stringify(document)).toString('base64')),
    putRaw: (key, value) => {
      revision += 1;
      items.set(key, { value, revision });
      changes.push({ key, revision, value });
      answerWatches();
    },
    remove: (key) => {
      revision += 1;
      items.delete(key);
      changes.push({ key, revision });
      answerWatches();
    },
    compact: () => {
      compactedRevision = revision;
      changes = [];
      answerWatches();
    },
    snapshot: () => ({ items: new Map(items), changes: [...changes], revision }),
    restore: (snapshot) => {
      era += 1;
      items = new Map(snapshot.items);
      changes = [...snapshot.changes];
      revision = snapshot.revision;
      for (const res of waitingWatches.values()) res.destroy();
    },
    close: () => closeServer(served.server),
  };
  return fake;
}
