/** The programs of the system with what they need around them, each with an ordinary client. */
import http from 'node:http';
import { join } from 'node:path';
import {
  okResponse,
  responseHead,
  startRawEndpoint,
  type RawResponder,
} from '../../fakes/raw-endpoint/index.js';
import {
  Cluster,
  parseDaemonPorts,
  sendRequest,
  SERVICE,
  testKey,
  type DaemonPorts,
} from '../../bench/harness/index.js';
import { startStore } from '../../fakes/store/index.js';
import { createPeers } from '../../src/rpc/peers.js';
import { ConnectionPools } from '../../src/runtime/connection-pools.js';
import { until } from '../fixtures/until.js';
import { bootText } from '../platform/boot-text.js';
import type { Target } from './check.js';
import {
  AGENT_MACHINE,
  ENTRY_MACHINE,
  freeAddress,
  startProgram,
  type Machine,
} from './machine.js';

const DAEMON_MAIN = join(import.meta.dirname, '../../src/daemon/main.js');
const PLATFORM_MAIN = join(import.meta.dirname, '../../platform/main.js');

/** Ports of the entry and the agent, one address a program. */
export const PORT = {
  callers: 8227,
  ready: 8220,
  control: 8229,
  metrics: 9464,
  engine: 8228,
  internal: 7340,
} as const;

/** Limits of the configuration. */
export const MAX_BODY_BYTES = 1024 * 1024;
export const MAX_HEADER_BYTES = 16_384;

/** Timeout of an ordinary request, ms. */
const ASK_MS = 5000;

const route = (id: string, service: string): object => ({
  name: id,
  host: 'a.example',
  'path-prefix': `/${id}/`,
  kind: 'idempotent',
  'timeout-ms': 20_000,
  service,
});

const CONFIG = {
  version: 3,
  routes: [route('x', 's-1'), route('slow', 's-2')],
  services: [
    { name: 's-1', 'max-connections': 100 },
    { name: 's-2', 'max-connections': 100 },
  ],
  limits: {
    'max-header-bytes': MAX_HEADER_BYTES,
    'max-body-bytes': MAX_BODY_BYTES,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
  },
  tenants: [{ name: 'org-1', 'api-keys': ['k-1'] }],
};

/** A program and its surroundings. */
export interface CrowdTarget extends Target {
  stop(): Promise<void>;
}

/** Head of a request of the crowd, without its last, empty line. */
export function callerHead(method: string, path: string, ...headers: string[]): string {
  return [
    `${method} ${path} HTTP/1.1`,
    'Host: a.example',
    'X-Request-Id: crowd-1',
    'Authorization: Bearer k-1',
    ...headers,
    '',
  ].join('\r\n');
}

let asked = 0;

/** Sends an ordinary request to an entry on a connection of its own; resolves to its status, 0 for none. */
function sendOrdinary(host: string, port: number, path: string): Promise<number> {
  return new Promise((resolve) => {
    const headers = {
      host: 'a.example',
      'x-request-id': `ordinary-${(asked += 1)}`,
      'x-deadline-ms': String(ASK_MS),
      authorization: 'Bearer k-1',
    };
    const options = { host, port, path, method: 'GET', agent: false, headers, timeout: ASK_MS };
    const req = http.request(options, (res) => {
      res.on('error', () => resolve(0));
      res.resume().on('end', () => resolve(res.statusCode ?? 0));
    });
    req.on('error', () => resolve(0)).on('timeout', () => req.destroy());
    req.end();
  });
}

const peers = createPeers(new ConnectionPools({ keepAliveTimeout: 100 }));

/** Whether a call of another daemon is answered. */
async function isCallAnswered(address: string): Promise<boolean> {
  try {
    await peers
      .at(address)
      .group.query({ from: 'e-9', sends: false }, { signal: AbortSignal.timeout(ASK_MS) });
    return true;
  } catch (err) {
    // The daemon has read the call and answered it.
    return /NOT_IMPLEMENTED|does not serve the call/.test(String(err));
  }
}

/** Responses of the sound endpoint by path; all others are short. */
const LARGE = 'y'.repeat(700_000);
/** Beyond what the system buffers for a connection. */
const HUGE = 'y'.repeat(6_000_000);
const TINY_CHUNKS = `${'1\r\ny\r\n'.repeat(600_000)}0\r\n\r\n`;
/** Time that the slow endpoint works on a request, ms. */
const SLOW_MS = 15_000;

const respond: RawResponder = (req) => {
  const path = req.line.split(' ')[1];
  if (path === '/x/tiny')
    req.socket.write(responseHead(req, '200 OK', ['Transfer-Encoding: chunked']) + TINY_CHUNKS);
  else if (path === '/x/huge') req.socket.write(okResponse(req, HUGE));
  else req.socket.write(okResponse(req, path === '/x/large' ? LARGE : 'ok'));
};

const respondSlowly: RawResponder = (req) =>
  void setTimeout(() => req.socket.writable && req.socket.write(okResponse(req, 'late')), SLOW_MS);

/** Starts an entry with a sound endpoint and a slow one. */
export async function startEntry(machine: Machine = ENTRY_MACHINE): Promise<CrowdTarget> {
  const host = await freeAddress([PORT.callers, PORT.ready, PORT.control, PORT.metrics]);
  const store = await startStore();
  const endpoints = await Promise.all([respond, respondSlowly].map(startRawEndpoint));
  store.put('op/config', CONFIG);
  for (const [i, { address }] of endpoints.entries()) {
    const service = `s-${i + 1}`;
    store.put(`servers/i-${i + 1}`, { service, address, zone: 'a', slots: 200, state: 'ready' });
  }
  const program = startProgram({
    machine,
    main: PLATFORM_MAIN,
    settings: bootText({
      ip: `"${host}"`,
      front: `"${host}:${PORT.callers}"`,
      ready: `"${host}:${PORT.ready}"`,
      control: `"${host}:${PORT.control}"`,
      'seed-nodes': `["${host}:${PORT.control}"]`,
      address: `"127.0.0.1:${store.port}"`,
      'memory-mb': String(machine.memoryMb),
      'max-fds': String(machine.descriptors),
    }),
    args: () => ['entry'],
    env: (path) => ({ HARRIERGLADE_BOOT: path }),
  });
  return {
    host,
    machine,
    program,
    ask: async () =>
      (await sendOrdinary(host, PORT.callers, '/x/1')) === 200 &&
      (await sendOrdinary(host, PORT.ready, '/harrierglade/readiness')) === 200 &&
      (await sendOrdinary(host, PORT.metrics, '/metrics')) === 200 &&
      (await isCallAnswered(`${host}:${PORT.control}`)),
    stop: async () => {
      await program.stop();
      for (const endpoint of endpoints) endpoint.close();
      store.close();
    },
  };
}

/** Starts an agent whose engine cannot be reached. */
export async function startAgent(machine: Machine = AGENT_MACHINE): Promise<CrowdTarget> {
  const host = await freeAddress([PORT.internal, PORT.engine]);
  const store = await startStore();
  const program = startProgram({
    machine,
    main: PLATFORM_MAIN,
    settings: bootText({
      ip: `"${host}"`,
      app: `"${host}:${PORT.engine}"`,
      'seed-nodes': '[]',
      address: `"127.0.0.1:${store.port}"`,
      'memory-mb': String(machine.memoryMb),
      'max-fds': String(machine.descriptors),
    }),
    args: () => ['agent'],
    env: (path) => ({ HARRIERGLADE_BOOT: path }),
  });
  return {
    host,
    machine,
    program,
    ask: () => isCallAnswered(`${host}:${PORT.internal}`),
    stop: async () => {
      await program.stop();
      store.close();
    },
  };
}

/** Organisation of the product's own interface. */
const ORGANISATION = 'org-1';

/** A daemon of the product's own interface, and its ports. */
export interface DaemonTarget extends CrowdTarget {
  readonly ports: DaemonPorts;
}

async function isStatusServed(port: number): Promise<boolean> {
  return (await sendOrdinary(DAEMON_HOST, port, '/status')) === 200;
}

const DAEMON_HOST = '127.0.0.1';

/** Starts a daemon beside a small deployment of others. */
export async function startDaemon(
  role: 'entry' | 'agent',
  machine: Machine = ENTRY_MACHINE,
): Promise<DaemonTarget> {
  const cluster = await Cluster.start({
    dataCentres: ['kgl-a'],
    entriesPerDataCentre: 1,
    servicesPerDataCentre: 1,
    ranksPerDataCentre: 1,
    organisations: [{ id: ORGANISATION, weight: 1, tokensPerSecond: 100_000 }],
  });
  const [member] = role === 'entry' ? cluster.entries : cluster.agents;
  if (!member) throw new Error(`the cluster has no ${role}`);
  const any = { host: DAEMON_HOST, port: 0 };
  const settings = {
    ...member.settings,
    instance: 'crowded',
    listen: { ...(role === 'entry' && { callers: any }), daemons: any, operators: any },
    limits: {
      ...member.settings.limits,
      bodyBytes: MAX_BODY_BYTES,
      memoryMb: machine.memoryMb,
      descriptors: machine.descriptors,
    },
  };
  const program = startProgram({
    machine,
    main: DAEMON_MAIN,
    settings: JSON.stringify(settings),
    args: (path) => ['--settings', path],
    env: () => ({}),
  });
  const findPorts = (): DaemonPorts | undefined =>
    program
      .output()
      .split('\n')
      .map((line) => parseDaemonPorts(line))
      .find((found) => found !== undefined);
  await until('the daemon listens', () => findPorts() !== undefined);
  const ports = findPorts() as DaemonPorts;
  const isCallerServed = async (): Promise<boolean> => {
    const nonce = `n-${(asked += 1)}`;
    const target = {
      kind: 'many',
      nonce,
      organisation: ORGANISATION,
      port: ports.callers,
    } as const;
    return (await sendRequest(target, { deadlineMs: ASK_MS })).outcome === 'answered';
  };
  return {
    host: DAEMON_HOST,
    machine,
    program,
    ports,
    ask: async () =>
      (role === 'agent' || (await isCallerServed())) &&
      (await isStatusServed(ports.operators)) &&
      (await isCallAnswered(`${DAEMON_HOST}:${ports.daemons}`)),
    stop: async () => {
      await program.stop();
      await cluster.stop();
    },
  };
}

/** Head of a request of the crowd to the product's own interface, without its last, empty line. */
export function ownHead(...headers: string[]): string {
  return [
    `POST /services/${SERVICE}/bags HTTP/1.1`,
    'Host: a.example',
    `Authorization: Bearer ${testKey(ORGANISATION)}`,
    'Content-Type: application/json',
    ...headers,
    '',
  ].join('\r\n');
}
