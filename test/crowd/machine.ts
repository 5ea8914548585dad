/**
 * Runs one program of the system on a small machine of its own, and measures what it takes. Memory and descriptors
 * of the machine are the bounds of the crowd tests.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { killOnExit } from '../../bench/harness/kill-on-exit.js';

/** Memory and descriptors of a machine, and the heap limit in the command of its program. */
export interface Machine {
  readonly memoryMb: number;
  readonly heapMb: number;
  readonly descriptors: number;
}

/** About half the memory of the machines of the deploy file, with heaps in proportion. */
export const ENTRY_MACHINE: Machine = { memoryMb: 180, heapMb: 80, descriptors: 600 };
export const AGENT_MACHINE: Machine = { memoryMb: 160, heapMb: 66, descriptors: 600 };

const BYTES_PER_MB = 1e6;
/** Unit of /proc, bytes. */
const BYTES_PER_KB = 1024;
const SAMPLE_MS = 25;
const KILL_AFTER_MS = 3000;

/** What a program has taken of its machine. */
export interface Taken {
  /** Highest resident memory so far, MB. */
  readonly memoryMb: number;
  /** Most open descriptors so far. */
  readonly descriptors: number;
}

/** A running program. */
export interface RunningProgram {
  /** How the program ended; undefined while it runs. */
  ended(): string | undefined;
  taken(): Taken;
  /** The last lines that it wrote. */
  output(): string;
  stop(): Promise<void>;
}

/** Command line and files of a program. */
export interface ProgramSpec {
  readonly machine: Machine;
  readonly main: string;
  /** Content of its settings file. */
  readonly settings: string;
  /** Arguments and environment, given the path of the settings file. */
  readonly args: (settingsPath: string) => readonly string[];
  readonly env: (settingsPath: string) => Readonly<Record<string, string>>;
}

/** Highest resident memory of a process, MB of 1,000,000 bytes. */
function peakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const [, peakKb = '0'] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  return (Number(peakKb) * BYTES_PER_KB) / BYTES_PER_MB;
}

function openDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}

const MAX_OUTPUT = 4000;

function watchOutput(child: ChildProcess): () => string {
  let output = '';
  const keep = (text: unknown): void => void (output = (output + String(text)).slice(-MAX_OUTPUT));
  child.stdout?.on('data', keep);
  child.stderr?.on('data', keep);
  return () => output;
}

/**
 * Starts a program whose open descriptors the system limits as its machine does.
 * @example const program = startProgram(spec); program.taken().memoryMb;
 */
export function startProgram({ machine, main, settings, args, env }: ProgramSpec): RunningProgram {
  const dir = mkdtempSync(join(tmpdir(), 'harrierglade-crowd-'));
  const path = join(dir, 'settings');
  writeFileSync(path, settings);
  const heap = `--max-old-space-size=${machine.heapMb}`;
  const limited = `ulimit -n ${machine.descriptors} && exec "$0" "$@"`;
  const child = spawn('sh', ['-c', limited, process.execPath, heap, main, ...args(path)], {
    env: { ...process.env, ...env(path) },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  killOnExit(child);
  const output = watchOutput(child);
  const pid = child.pid ?? 0;
  let end: string | undefined;
  let memoryMb = 0;
  let descriptors = 0;
  const sample = (): void => {
    if (end !== undefined) return;
    try {
      memoryMb = Math.max(memoryMb, peakMemoryMb(pid));
      descriptors = Math.max(descriptors, openDescriptors(pid));
    } catch {
      // The process is about to be reported as ended.
    }
  };
  const sampler = setInterval(sample, SAMPLE_MS);
  const exited = new Promise<void>((resolve) =>
    child.once('exit', (code, signal) => {
      end = `${signal ?? `code ${code}`}`;
      clearInterval(sampler);
      rmSync(dir, { recursive: true });
      resolve();
    }),
  );
  return {
    ended: () => end,
    taken: () => {
      sample();
      return { memoryMb: Math.round(memoryMb), descriptors };
    },
    output,
    stop: async () => {
      child.kill('SIGKILL');
      await Promise.race([exited, wait(KILL_AFTER_MS)]);
    },
  };
}

function canListen(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

const TRIES = 50;

/**
 * Returns a loopback address on which the ports are free.
 * @example const ip = await freeAddress([8227, 8220]);
 */
export async function freeAddress(ports: readonly number[]): Promise<string> {
  for (let i = 0; i < TRIES; i += 1) {
    const ip = `127.${210 + Math.floor(Math.random() * 40)}.${Math.floor(Math.random() * 250)}.1`;
    const areFree = await Promise.all(ports.map((port) => canListen(ip, port)));
    if (areFree.every(Boolean)) return ip;
  }
  throw new Error(`no loopback address has the ports ${ports.join(', ')} free`);
}
