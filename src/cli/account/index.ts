/** `harrierglade account`: tabulates how requests ended, from the logs of entries and agents. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { errorText } from '../../core/errors/index.js';
import type { SwitchOutcome } from '../../core/groups/index.js';
import { CommandError, EXIT_CODE, print } from '../shared/io.js';
import { parseLine, type LogPairs } from './log-lines.js';
import { readEndedRequest, type EndedRequest } from './request-ends.js';
import { aggregateBySpan, formatReasons, formatSpans, type GroupSample } from './tables.js';

const MAX_SPAN_S = 86_400;

function readNumber(line: LogPairs, name: string): number | undefined {
  const value = Number(line[name]);
  return line[name] === undefined || Number.isNaN(value) ? undefined : value;
}

const ROUND_RESULTS: readonly SwitchOutcome['kind'][] = ['kept', 'switched', 'aborted', 'blocked'];

function readRoundResult(line: LogPairs): SwitchOutcome['kind'] | undefined {
  return ROUND_RESULTS.find((kind) => kind === line['end']);
}

function readGroupSample(line: LogPairs): GroupSample | undefined {
  const atMs = Date.parse(line['time'] ?? '');
  if (Number.isNaN(atMs)) return undefined;
  if (line['event'] === 'group.switch') return { atMs, roundResult: readRoundResult(line) };
  if (line['event'] !== 'group.seen') return undefined;
  return {
    atMs,
    skew: readNumber(line, 'skew'),
    running: readNumber(line, 'running'),
    limit: readNumber(line, 'limit'),
    stepMs: readNumber(line, 'stepMs'),
  };
}

async function readLogs(
  files: readonly string[],
): Promise<{ requests: EndedRequest[]; samples: GroupSample[] }> {
  const requests: EndedRequest[] = [];
  const samples: GroupSample[] = [];
  for (const file of files) {
    try {
      for await (const text of createInterface({ input: createReadStream(file) })) {
        const line = parseLine(text);
        const request = line && readEndedRequest(line);
        const sample = line && readGroupSample(line);
        if (request) requests.push(request);
        if (sample) samples.push(sample);
      }
    } catch (err) {
      throw new CommandError(
        `${file}: ${errorText(err)}. Give the path of a readable log.`,
        EXIT_CODE.usage,
      );
    }
  }
  return { requests, samples };
}

/** Prints a row per time span and a row per reason, or the time spans as JSON. */
export async function account(
  files: readonly string[],
  options: { span: string; json?: boolean },
): Promise<void> {
  const spanS = Number(options.span);
  if (!(spanS > 0 && spanS <= MAX_SPAN_S))
    throw new CommandError(
      `--span ${options.span}: write a number of seconds above 0 and at most ${MAX_SPAN_S}.`,
      EXIT_CODE.usage,
    );
  const { requests, samples } = await readLogs(files);
  if (requests.length === 0)
    throw new CommandError(
      'The logs have no event=request.end line. Give the logs of entries.',
      EXIT_CODE.refused,
    );
  const spans = aggregateBySpan(requests, samples, spanS);
  if (options.json)
    return print(
      JSON.stringify(spans.map((span) => ({ ...span, counts: Object.fromEntries(span.counts) }))),
    );
  print(formatSpans(spans));
  print('');
  print(formatReasons(requests));
}
