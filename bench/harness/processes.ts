/** Starts compiled scripts of the repository as child processes; signals and kills only these. */
import { spawn, type ChildProcessWithoutNullStreams } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { killOnExit } from './kill-on-exit.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const MAX_OUTPUT_LINES = 400;

/** A started child process. */
export interface SpawnedProcess {
  readonly name: string;
  readonly pid: number;
  readonly child: ChildProcessWithoutNullStreams;
  /** Latest lines of its output. */
  readonly output: string[];
  /** Exit code when it exits; null if it was killed by a signal. */
  readonly exited: Promise<number | null>;
  isAlive: boolean;
}

function collectOutput(spawned: SpawnedProcess, onLine: (line: string) => void): void {
  let partialLine = '';
  spawned.child.stdout.setEncoding('utf8');
  spawned.child.stdout.on('data', (text: string) => {
    const lines = (partialLine + text).split('\n');
    partialLine = lines.pop() ?? '';
    for (const line of lines) {
      spawned.output.push(line);
      if (spawned.output.length > MAX_OUTPUT_LINES) spawned.output.shift();
      onLine(line);
    }
  });
  spawned.child.stderr.on('data', (text: Buffer) => spawned.output.push(String(text)));
}

/** Starts a compiled script and waits for the first line that `parseReady` recognises. */
export async function startProcess<T>(
  name: string,
  script: string,
  args: string[],
  parseReady: (line: string) => T | undefined,
): Promise<{ process: SpawnedProcess; value: T }> {
  const child = spawn(process.execPath, [`${ROOT}${script}`, ...args], { stdio: 'pipe' });
  killOnExit(child);
  const exited = new Promise<number | null>((resolve) =>
    child.once('exit', (code) => resolve(code)),
  );
  const spawned: SpawnedProcess = {
    name,
    pid: child.pid ?? 0,
    child,
    output: [],
    exited,
    isAlive: true,
  };
  void exited.then(() => (spawned.isAlive = false));
  child.stdin.on('error', () => undefined);
  const value = await new Promise<T>((resolve, reject) => {
    collectOutput(spawned, (line) => {
      const parsed = parseReady(line);
      if (parsed !== undefined) resolve(parsed);
    });
    void exited.then((code) =>
      reject(
        new Error(
          `${name} exited with code ${code} before it was ready:\n${spawned.output.join('\n')}`,
        ),
      ),
    );
  });
  return { process: spawned, value };
}

/** Parses the JSON line that a fake prints when it listens. */
export function parseJsonLine<T>(line: string): T | undefined {
  return line.startsWith('{') ? (JSON.parse(line) as T) : undefined;
}

/**
 * Value of a key in a log line.
 * @example logField('event=daemon.started daemons=41200', 'daemons') // '41200'
 */
export function logField(line: string, key: string): string | undefined {
  return new RegExp(`(?:^| )${key}=("[^"]*"|\\S+)`).exec(line)?.[1]?.replaceAll('"', '');
}

/** Ports of a daemon, from its `daemon.started` log line. */
export interface DaemonPorts {
  readonly callers: number;
  readonly daemons: number;
  readonly operators: number;
}

/** Parses the ports from a `daemon.started` log line; undefined for any other line. */
export function parseDaemonPorts(line: string): DaemonPorts | undefined {
  if (logField(line, 'event') !== 'daemon.started') return undefined;
  const port = (key: string): number => Number(logField(line, key) ?? 0);
  return { callers: port('callers'), daemons: port('daemons'), operators: port('operators') };
}

/** Sends a signal to a process that was started here; does nothing once it has exited. */
export function signalProcess(spawned: SpawnedProcess, signal: NodeJS.Signals): void {
  if (spawned.isAlive) spawned.child.kill(signal);
}

/** Kills a process and waits for its exit. */
export async function killProcess(spawned: SpawnedProcess): Promise<void> {
  // A process stopped by SIGSTOP handles no further signal until it continues.
  signalProcess(spawned, 'SIGCONT');
  signalProcess(spawned, 'SIGKILL');
  await spawned.exited;
}
