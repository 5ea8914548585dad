/** Stand-in of the platform's store: keys, ranges, watches, and a restore from an older copy with a new era. */
import http from 'node:http';

const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

/** Starts a store at `host`. `away` makes it reset each call. */
export async function startStore(host) {
  let items = new Map();
  let changes = [];
  let revision = 1;
  let era = 1;
  const watches = new Set();
  const sockets = new Set();
  const store = { away: false, calls: 0 };

  const send = (res, status, body) => {
    const text = JSON.stringify(body);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'store-era': era,
    });
    res.end(text);
  };
  const itemOf = (key) => ({ key, ...items.get(key), lease: 0 });

  const server = http.createServer((req, res) => {
    store.calls += 1;
    if (store.away) return void req.socket.resetAndDestroy();
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    if (url.pathname === '/harrierglade/kv-key') {
      const key = query.get('key');
      return items.has(key)
        ? send(res, 200, { ...itemOf(key), 'as-of': revision })
        : send(res, 404, {});
    }
    if (url.pathname === '/harrierglade/kv-range') {
      const prefix = query.get('path-prefix') ?? '';
      const after = query.get('after-revision') ?? '';
      const keys = [...items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
      return send(res, 200, { items: keys.map(itemOf), 'has-more': false, 'as-of': revision });
    }
    if (url.pathname !== '/harrierglade/kv-watch') return send(res, 404, {});
    const prefix = query.get('path-prefix') ?? '';
    const after = Number(query.get('after-revision'));
    const end = () => {
      clearTimeout(timer);
      watches.delete(look);
    };
    const look = (isOver = false) => {
      if (after > revision) {
        end();
        return send(res, 410, {});
      }
      const events = changes.filter((c) => c.revision > after && c.key.startsWith(prefix));
      if (events.length === 0 && !isOver) return;
      end();
      send(res, 200, { events, 'as-of': revision });
    };
    const timer = setTimeout(() => look(true), Number(query.get('wait-ms')));
    res.on('close', end);
    watches.add(look);
    look();
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));

  const cut = () => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  return Object.assign(store, {
    address: `${host}:${server.address().port}`,
    /** Writes a value; the return is the ack. */
    put(key, value) {
      revision += 1;
      items.set(key, {
        value: encode(value),
        revision,
        'created-rev': items.get(key)?.['created-rev'] ?? revision,
      });
      changes.push({ lease: 0, key, ...items.get(key) });
      for (const look of [...watches]) look();
      return revision;
    },
    copy: () => ({ items: new Map(items), changes: [...changes], revision }),
    /** The store goes away: open connections are reset, and so is each call. */
    leave() {
      store.away = true;
      cut();
    },
    /** The store is back, from a copy if one is given. */
    comeBack(copy) {
      if (copy) {
        ({ revision } = copy);
        items = new Map(copy.items);
        changes = [...copy.changes];
        era += 1;
      }
      store.away = false;
    },
    close() {
      cut();
      server.close();
    },
  });
}
