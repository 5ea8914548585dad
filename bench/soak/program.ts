/** The platform's programs as separate processes; only what was started here is ever signalled. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { endWithUs } from '../harness/kill-on-exit.js';
import { listensForSignals } from './signals.js';

const MAIN = fileURLToPath(new URL('../../platform/main.js', import.meta.url));
/** Memory limit of each process's heap, MB; as in deploy/system.toml. */
const HEAP_MB = 120;
/** Longest time that a runtime is given to reach the program's first line, ms, and how often that is looked at. */
const LISTENS_MS = 5000;
const LISTENS_POLL_MS = 20;

/** What a program is started with. */
export interface ProgramOptions {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  /** Where its boot file and its log go. */
  readonly folder: string;
  readonly bootText: string;
}

/** One program that is started again whenever it has ended, as the platform does. */
export class Program {
  /** Whether some series is ending it and starting it again; another one then leaves it alone. */
  isClaimed = false;
  /** Ends that nobody asked for, in words. */
  readonly badEnds: string[] = [];
  private child: ChildProcess | undefined;
  private ended: Promise<void> = Promise.resolve();
  /** Whether its next end was asked for, and must be with exit code 0. */
  private expected: 'kill' | 'stop' | undefined;

  constructor(readonly options: ProgramOptions) {
    mkdirSync(options.folder, { recursive: true });
    this.rewriteBoot();
  }

  /** Writes the boot file again, as when settings change. */
  rewriteBoot(comment = ''): void {
    writeFileSync(this.bootPath, `${this.options.bootText}\n# ${comment}\n`);
  }

  /** Starts it; what it prints goes to its log file. */
  start(): void {
    const { name, role, folder } = this.options;
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
    const child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, MAIN, role], {
      env: { ...process.env, HARRIERGLADE_BOOT: this.bootPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    endWithUs(child);
    this.child = child;
    this.expected = undefined;
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.noteEnd(code, signal);
        resolve();
      });
      // What it printed last may come after its end.
      child.once('close', () => log.end());
    });
  }

  /** Pauses it, or lets it go on. */
  pause(isPaused: boolean): void {
    this.child?.kill(isPaused ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Tells it that its settings have changed. */
  async hangUp(): Promise<void> {
    await this.untilListens();
    this.child?.kill('SIGHUP');
  }

  /** Ends it without warning. */
  async kill(): Promise<void> {
    this.expected = 'kill';
    this.child?.kill('SIGKILL');
    await this.ended;
  }

  /** Tells it to stop, and kills it when it has not ended in time. */
  async stop(graceMs: number): Promise<void> {
    await this.untilListens();
    this.expected = 'stop';
    this.child?.kill('SIGTERM');
    const timer = setTimeout(() => void this.kill(), graceMs);
    await this.ended;
    clearTimeout(timer);
  }

  /** Waits until the program's own code has begun to run, or for a while. */
  private async untilListens(): Promise<void> {
    const untilMs = performance.now() + LISTENS_MS;
    while (performance.now() < untilMs && !listensForSignals(this.child?.pid ?? 0))
      await sleep(LISTENS_POLL_MS);
  }

  private get bootPath(): string {
    return join(this.options.folder, `${this.options.name}.toml`);
  }

  private noteEnd(code: number | null, signal: NodeJS.Signals | null): void {
    const { name } = this.options;
    if (this.expected === undefined)
      this.badEnds.push(`${name} ended by itself: ${code ?? signal}`);
    if (this.expected === 'stop' && code !== 0)
      this.badEnds.push(`${name} was told to stop and ended with ${code ?? signal}`);
  }
}
