/** `harrierglade account`: where the worth went, from the logs of entries and agents. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { errorText } from '../../core/errors/index.js';
import type { SwitchOutcome } from '../../core/groups/index.js';
import { CommandError, EXIT, print } from '../shared/io.js';
import { readEnd, type RequestEndLine } from './ends.js';
import { parseLine, type LogPairs } from './log-lines.js';
import { printReasons, printSpans, spansOf, type GroupFigure } from './tables.js';

const MOST_SPAN_S = 86_400;

function numberIn(line: LogPairs, name: string): number | undefined {
  const value = Number(line[name]);
  return line[name] === undefined || Number.isNaN(value) ? undefined : value;
}

const ROUND_ENDS: readonly SwitchOutcome['kind'][] = ['kept', 'switched', 'aborted', 'blocked'];

function readRound(line: LogPairs): SwitchOutcome['kind'] | undefined {
  return ROUND_ENDS.find((kind) => kind === line['end']);
}

function readFigure(line: LogPairs): GroupFigure | undefined {
  const atMs = Date.parse(line['time'] ?? '');
  if (Number.isNaN(atMs)) return undefined;
  if (line['event'] === 'group.switch') return { atMs, round: readRound(line) };
  if (line['event'] !== 'group.seen') return undefined;
  return {
    atMs,
    skew: numberIn(line, 'skew'),
    running: numberIn(line, 'running'),
    limit: numberIn(line, 'limit'),
    stepMs: numberIn(line, 'stepMs'),
  };
}

async function readLogs(
  files: readonly string[],
): Promise<{ ends: RequestEndLine[]; figures: GroupFigure[] }> {
  const ends: RequestEndLine[] = [];
  const figures: GroupFigure[] = [];
  for (const file of files) {
    try {
      for await (const text of createInterface({ input: createReadStream(file) })) {
        const line = parseLine(text);
        const end = line && readEnd(line);
        const figure = line && readFigure(line);
        if (end) ends.push(end);
        if (figure) figures.push(figure);
      }
    } catch (err) {
      throw new CommandError(`${file}: ${errorText(err)}. Name a readable log.`, EXIT.usage);
    }
  }
  return { ends, figures };
}

/** Runs the command. */
export async function account(
  files: readonly string[],
  options: { span: string; json?: boolean },
): Promise<void> {
  const spanS = Number(options.span);
  if (!(spanS > 0 && spanS <= MOST_SPAN_S))
    throw new CommandError(
      `--span ${options.span}: write seconds, above 0 and at most ${MOST_SPAN_S}.`,
      EXIT.usage,
    );
  const { ends, figures } = await readLogs(files);
  if (ends.length === 0)
    throw new CommandError(
      'No line tells of the end of a request. Name logs of entries.',
      EXIT.refused,
    );
  const spans = spansOf(ends, figures, spanS);
  if (options.json)
    return print(
      JSON.stringify(spans.map((span) => ({ ...span, counts: Object.fromEntries(span.counts) }))),
    );
  print(printSpans(spans));
  print('');
  print(printReasons(ends));
}
