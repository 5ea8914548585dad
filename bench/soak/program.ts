/** Runs the programs as separate processes; only processes started here are ever signalled. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { killOnExit } from '../harness/kill-on-exit.js';
import { handlesSignals } from './signals.js';

const MAIN = fileURLToPath(new URL('../../platform/main.js', import.meta.url));
/** Heap limit of each process, MB; as in deploy/system.toml. */
const HEAP_MB = 120;
/** Timeout and poll interval for a process to install its signal handlers, ms. */
const SIGNAL_HANDLER_TIMEOUT_MS = 5000;
const SIGNAL_HANDLER_POLL_MS = 20;

/** Options of a program. */
export interface ProgramOptions {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  /** Folder of its boot file and log. */
  readonly folder: string;
  readonly bootText: string;
}

/** One program that can be started again after it exits, as the platform does. */
export class Program {
  /** Whether a fault series is restarting it; other series then skip it. */
  isRestarting = false;
  /** Exits that were not requested, and requested stops with a code other than 0, as text. */
  readonly unexpectedExits: string[] = [];
  private child: ChildProcess | undefined;
  private exited: Promise<void> = Promise.resolve();
  /** The requested kind of exit, if any; `stop` must end with exit code 0. */
  private expectedExit: 'kill' | 'stop' | undefined;

  constructor(readonly options: ProgramOptions) {
    mkdirSync(options.folder, { recursive: true });
    this.rewriteBoot();
  }

  /** Rewrites the boot file, as when settings change. */
  rewriteBoot(comment = ''): void {
    writeFileSync(this.bootPath, `${this.options.bootText}\n# ${comment}\n`);
  }

  /** Starts it; its output goes to its log file. */
  start(): void {
    const { name, role, folder } = this.options;
    const log = openSync(join(folder, `${name}.log`), 'a');
    const child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, MAIN, role], {
      env: { ...process.env, HARRIERGLADE_BOOT: this.bootPath },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    killOnExit(child);
    this.child = child;
    this.expectedExit = undefined;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.recordExit(code, signal);
        resolve();
      });
    });
  }

  /** Suspends it with SIGSTOP, or resumes it with SIGCONT. */
  setSuspended(isSuspended: boolean): void {
    this.child?.kill(isSuspended ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Sends SIGHUP once its signal handlers are installed, so that it reloads its settings. */
  async reloadSettings(): Promise<void> {
    await this.untilSignalHandlersReady();
    this.child?.kill('SIGHUP');
  }

  /** Kills it with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    this.expectedExit = 'kill';
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  /** Sends SIGTERM, and SIGKILL if it has not exited after `graceMs`. */
  async stop(graceMs: number): Promise<void> {
    await this.untilSignalHandlersReady();
    this.expectedExit = 'stop';
    this.child?.kill('SIGTERM');
    const timer = setTimeout(() => void this.kill(), graceMs);
    await this.exited;
    clearTimeout(timer);
  }

  /** Waits until the program's own code handles signals, up to the timeout. */
  private async untilSignalHandlersReady(): Promise<void> {
    const untilMs = performance.now() + SIGNAL_HANDLER_TIMEOUT_MS;
    while (performance.now() < untilMs && !handlesSignals(this.child?.pid ?? 0))
      await sleep(SIGNAL_HANDLER_POLL_MS);
  }

  private get bootPath(): string {
    return join(this.options.folder, `${this.options.name}.toml`);
  }

  private recordExit(code: number | null, signal: NodeJS.Signals | null): void {
    const { name } = this.options;
    if (this.expectedExit === undefined)
      this.unexpectedExits.push(`${name} exited by itself: ${code ?? signal}`);
    if (this.expectedExit === 'stop' && code !== 0)
      this.unexpectedExits.push(`${name} was sent SIGTERM and exited with ${code ?? signal}`);
  }
}
