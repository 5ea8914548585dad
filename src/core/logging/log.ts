/** Structured logging with roarr, one line of key=value pairs per event. */
import './enable-roarr.js';
import { ROARR, Roarr } from 'roarr';

/** Value of one log field. */
export type LogValue = string | number | boolean | undefined;
/** Fields of one log event. */
export type LogFields = Record<string, LogValue>;
/** Log levels, from least to most severe. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Writes log events, one method per level. */
export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  /** Like `info`, for lines without which a failed request cannot be explained: dropped last. */
  evidence(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

function formatValue(value: LogValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/**
 * Formats fields as one line of key=value pairs; undefined values are omitted.
 * @example formatLine({ event: 'start', port: 80 }) // 'event=start port=80'
 */
export function formatLine(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ');
}

/** Maximum bytes buffered for the log reader; a stalled reader must not block the process. */
const MAX_PENDING_BYTES = 256 * 1024;
/** Maximum lines per second: a few for each request that one instance can serve. */
const MAX_LINES_PER_SECOND = 500;
/** The part of them that only evidence, warnings and errors may use. */
const RESERVED_LINES_PER_SECOND = 200;

/** Destination of log lines; `writableLength` is the number of buffered bytes. */
export interface LineSink {
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * Writes lines to a sink with bounded rate and memory. Dropped lines are counted, and the count is
 * logged before the next line that is written.
 */
export class BoundedLineWriter {
  private dropped = 0;
  private second = 0;
  private lines = 0;

  constructor(private readonly sink: LineSink) {}

  /**
   * Writes a line, or drops it when a limit is reached; routine lines leave a reserve for the others.
   * @example new BoundedLineWriter(process.stdout).write('event=start', Date.now());
   */
  write(line: string, wallMs: number, isRoutine = false): void {
    const second = Math.floor(wallMs / 1000);
    if (second !== this.second) [this.second, this.lines] = [second, 0];
    const maxLines = MAX_LINES_PER_SECOND - (isRoutine ? RESERVED_LINES_PER_SECOND : 0);
    if (this.lines >= maxLines || this.sink.writableLength > MAX_PENDING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.lines += 1;
    if (this.dropped > 0) this.sink.write(`event=log.dropped level=warn lines=${this.dropped}\n`);
    this.dropped = 0;
    this.sink.write(`${line}\n`);
  }
}

const stdoutWriter = new BoundedLineWriter(process.stdout);

function writeRoarr(message: string): void {
  const parsed = JSON.parse(message) as { context: LogFields; message: string; time: number };
  const { isRoutine, ...fields } = parsed.context;
  const time = new Date(parsed.time).toISOString();
  const line = formatLine({ time, event: parsed.message, ...fields });
  stdoutWriter.write(line, parsed.time, isRoutine === true);
}

/**
 * Creates a log that adds the common fields to every line and drops events below `minLevel`.
 * @example createLog('info', { instance: 'kgl-a-entry-1' }).info('start');
 */
export function createLog(minLevel: LogLevel, commonFields: LogFields): Log {
  ROARR.write = writeRoarr;
  const minIndex = LOG_LEVELS.indexOf(minLevel);
  const logAt =
    (level: LogLevel, isRoutine: boolean) =>
    (event: string, fields: LogFields = {}) => {
      if (LOG_LEVELS.indexOf(level) < minIndex) return;
      Roarr({ level, ...commonFields, ...fields, isRoutine } as never, event);
    };
  return {
    debug: logAt('debug', true),
    info: logAt('info', true),
    evidence: logAt('info', false),
    warn: logAt('warn', false),
    error: logAt('error', false),
  };
}

/** A log that drops everything, for tests and benchmarks. */
export const silentLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  evidence: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
