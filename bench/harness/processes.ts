/** Starts the repository's own programs as separate processes, and ends only those. */
import { spawn, type ChildProcessWithoutNullStreams } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { endWithUs } from './children.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const KEPT_LINES = 400;

/** One started process. */
export interface Spawned {
  readonly name: string;
  readonly pid: number;
  readonly child: ChildProcessWithoutNullStreams;
  /** The newest lines it printed. */
  readonly lines: string[];
  /** Exit code, once it ended; null after a signal. */
  readonly exited: Promise<number | null>;
  alive: boolean;
}

function keepLines(spawned: Spawned, onLine: (line: string) => void): void {
  let rest = '';
  spawned.child.stdout.setEncoding('utf8');
  spawned.child.stdout.on('data', (text: string) => {
    const parts = (rest + text).split('\n');
    rest = parts.pop() ?? '';
    for (const line of parts) {
      spawned.lines.push(line);
      if (spawned.lines.length > KEPT_LINES) spawned.lines.shift();
      onLine(line);
    }
  });
  spawned.child.stderr.on('data', (text: Buffer) => spawned.lines.push(String(text)));
}

/** Starts a compiled script and waits for the first line that `ready` recognises. */
export async function startProcess<T>(
  name: string,
  script: string,
  args: string[],
  ready: (line: string) => T | undefined,
): Promise<{ process: Spawned; value: T }> {
  const child = spawn(process.execPath, [`${ROOT}${script}`, ...args], { stdio: 'pipe' });
  endWithUs(child);
  const exited = new Promise<number | null>((resolve) =>
    child.once('exit', (code) => resolve(code)),
  );
  const spawned: Spawned = { name, pid: child.pid ?? 0, child, lines: [], exited, alive: true };
  void exited.then(() => (spawned.alive = false));
  child.stdin.on('error', () => undefined);
  const value = await new Promise<T>((resolve, reject) => {
    keepLines(spawned, (line) => {
      const found = ready(line);
      if (found !== undefined) resolve(found);
    });
    void exited.then((code) =>
      reject(
        new Error(`${name} ended with ${code} before it was ready:\n${spawned.lines.join('\n')}`),
      ),
    );
  });
  return { process: spawned, value };
}

/** Reads the JSON line that a stand-in prints when it serves. */
export function jsonLine<T>(line: string): T | undefined {
  return line.startsWith('{') ? (JSON.parse(line) as T) : undefined;
}

/**
 * Value of one pair in a log line.
 * @example logField('event=daemon.started daemons=41200', 'daemons') // '41200'
 */
export function logField(line: string, key: string): string | undefined {
  return new RegExp(`(?:^| )${key}=("[^"]*"|\\S+)`).exec(line)?.[1]?.replaceAll('"', '');
}

/** Ports of a daemon, from its log line at start. */
export interface ReadyPorts {
  readonly callers: number;
  readonly daemons: number;
  readonly operators: number;
}

/** Reads the ports from a daemon's log. */
export function readyPorts(line: string): ReadyPorts | undefined {
  if (logField(line, 'event') !== 'daemon.started') return undefined;
  const port = (key: string): number => Number(logField(line, key) ?? 0);
  return { callers: port('callers'), daemons: port('daemons'), operators: port('operators') };
}

/** Sends a signal to a process of ours; nothing when it has ended. */
export function signalProcess(spawned: Spawned, signal: NodeJS.Signals): void {
  if (spawned.alive) spawned.child.kill(signal);
}

/** Ends a process and waits for it. */
export async function endProcess(spawned: Spawned): Promise<void> {
  // A stopped process takes no other signal until it goes on.
  signalProcess(spawned, 'SIGCONT');
  signalProcess(spawned, 'SIGKILL');
  await spawned.exited;
}
