/** Stand-in of the platform's store: items with revisions, range, watch, and the ways in which it fails. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { closeServer, sendJson, serveLoopback } from '../http/index.js';

/** How the store behaves towards all callers. */
export type StoreMood = 'well' | 'busy' | 'reset' | 'silent' | 'no-json' | 'half';

interface Item {
  readonly value: string;
  readonly revision: number;
}

interface Change {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
}

/** All that a store held at a moment. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly changes: readonly Change[];
  readonly revision: number;
}

/** A running stand-in. */
export interface StoreFake {
  readonly url: string;
  readonly host: string;
  readonly port: number;
  /** Calls by path since the start. */
  readonly calls: Map<string, number>;
  mood: StoreMood;
  /** Items in one page of a range. */
  pageSize: number;
  put(key: string, document: unknown): void;
  /** Puts bytes that need not be JSON or even base64. */
  putRaw(key: string, value: string): void;
  remove(key: string): void;
  /** Forgets the history and cuts all waits. */
  compact(): void;
  /** All that it holds now. */
  copy(): StoreCopy;
  /**
   * Comes back from a copy, in a new era: what was written since is gone, its revisions are given out again, and all waits
   * are cut.
   */
  restore(copy: StoreCopy): void;
  close(): void;
}

/** Time for which Node keeps an idle connection unless told otherwise, ms. */
const NODE_IDLE_MS = 5000;

/**
 * Starts a store, which keeps idle connections for `idleMs`.
 * @example const store = await startStore(); store.put('op/config', { version: 1 });
 */
export async function startStore(idleMs = NODE_IDLE_MS): Promise<StoreFake> {
  let items = new Map<string, Item>();
  let changes: Change[] = [];
  let revision = 1;
  let era = 1;
  let forgottenUpTo = 0;
  const calls = new Map<string, number>();
  const waiting = new Map<() => void, ServerResponse>();

  const wake = (): void => {
    for (const look of [...waiting.keys()]) look();
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
    const end = (): void => {
      clearTimeout(timer);
      waiting.delete(look);
    };
    res.on('close', () => end());
    const look = (timedOut = false): void => {
      if (after < forgottenUpTo || after > revision) {
        end();
        return sendJson(res, 410, {});
      }
      const events = changes.filter((c) => c.revision > after && c.key.startsWith(prefix));
      if (events.length === 0 && !timedOut) return;
      end();
      sendJson(res, 200, { events, 'as-of': revision });
    };
    const timer = setTimeout(() => look(true), waitMs);
    waiting.set(look, res);
    look();
  }

  async function serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
    res.setHeader('store-era', era);
    if (fake.mood === 'busy') return sendJson(res, 503, {});
    if (fake.mood === 'reset') return void req.socket.resetAndDestroy();
    if (fake.mood === 'silent') return;
    if (fake.mood === 'no-json') return void res.writeHead(200).end('<html>');
    if (fake.mood === 'half') {
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
  served.server.keepAliveTimeout = idleMs;
  const fake: StoreFake = {
    url: served.url,
    host: '127.0.0.1',
    port: served.port,
    calls,
    mood: 'well',
    pageSize: 500,
    put: (key, document) =>
      fake.putRaw(key, Buffer.from(JSON.stringify(document)).toString('base64')),
    putRaw: (key, value) => {
      revision += 1;
      items.set(key, { value, revision });
      changes.push({ key, revision, value });
      wake();
    },
    remove: (key) => {
      revision += 1;
      items.delete(key);
      changes.push({ key, revision });
      wake();
    },
    compact: () => {
      forgottenUpTo = revision;
      changes = [];
      wake();
    },
    copy: () => ({ items: new Map(items), changes: [...changes], revision }),
    restore: (copy) => {
      era += 1;
      items = new Map(copy.items);
      changes = [...copy.changes];
      revision = copy.revision;
      for (const res of waiting.values()) res.destroy();
    },
    close: () => closeServer(served.server),
  };
  return fake;
}
