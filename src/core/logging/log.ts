/** Logs: roarr, written as one line of key=value pairs for each event. */
import './enable.js';
import { ROARR, Roarr } from 'roarr';

/** Value of one pair. */
export type LogValue = string | number | boolean | undefined;
/** Pairs of one event. */
export type LogFields = Record<string, LogValue>;
/** Levels, least urgent first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Writes events at one level each. */
export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

function formatValue(value: LogValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/**
 * One event as a line of pairs; undefined values are left out.
 * @example formatLine({ event: 'start', port: 80 }) // 'event=start port=80'
 */
export function formatLine(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ');
}

/** Bytes that may wait for whoever reads the log; a reader that stands still must not hold us up. */
const MOST_PENDING_BYTES = 256 * 1024;
/** Lines a second, at most: a few for each request that one instance can take. */
const MOST_LINES_PER_SECOND = 500;

/** Where lines go, with the number of bytes that wait there. */
export interface LineSink {
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * Writes lines to a sink, at a bounded rate and with bounded memory; what is left out is counted and
 * said in the next line that gets through.
 */
export class BoundedLines {
  private dropped = 0;
  private second = 0;
  private lines = 0;

  constructor(private readonly sink: LineSink) {}

  /**
   * Writes a line, or leaves it out.
   * @example new BoundedLines(process.stdout).write('event=start', Date.now());
   */
  write(line: string, wallMs: number): void {
    const second = Math.floor(wallMs / 1000);
    if (second !== this.second) [this.second, this.lines] = [second, 0];
    this.lines += 1;
    if (this.lines > MOST_LINES_PER_SECOND || this.sink.writableLength > MOST_PENDING_BYTES) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) this.sink.write(`event=log.dropped level=warn lines=${this.dropped}\n`);
    this.dropped = 0;
    this.sink.write(`${line}\n`);
  }
}

const stdoutLines = new BoundedLines(process.stdout);

function writeRoarr(message: string): void {
  const parsed = JSON.parse(message) as { context: LogFields; message: string; time: number };
  const time = new Date(parsed.time).toISOString();
  stdoutLines.write(formatLine({ time, event: parsed.message, ...parsed.context }), parsed.time);
}

/**
 * A log whose every line carries the given pairs.
 * @example createLog('info', { instance: 'kgl-a-entry-1' }).info('start');
 */
export function createLog(least: LogLevel, common: LogFields): Log {
  ROARR.write = writeRoarr;
  const from = LOG_LEVELS.indexOf(least);
  const at =
    (level: LogLevel) =>
    (event: string, fields: LogFields = {}) => {
      if (LOG_LEVELS.indexOf(level) < from) return;
      Roarr({ level, ...common, ...fields } as never, event);
    };
  return { debug: at('debug'), info: at('info'), warn: at('warn'), error: at('error') };
}

/** A log that drops everything, for tests and benches. */
export const silentLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
