/** Parses log lines of daemons: key=value pairs, which may follow a prefix of a log collector. */

/** The key=value pairs of one line. */
export type LogPairs = Readonly<Record<string, string>>;

const PAIR = /([A-Za-z][A-Za-z0-9_.]*)=("(?:[^"\\]|\\.)*"?|[^\s"]*)/g;

function parseValue(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return JSON.parse(text) as string;
  } catch {
    // The log collector truncated the line; the rest of the value is still useful.
    return text.slice(1);
  }
}

/**
 * The pairs of one line; undefined if the line has no `event`.
 * @example parseLine('12.5 front-1 event=request.end request=a1 tookMs=3')?.tookMs // '3'
 */
export function parseLine(line: string): LogPairs | undefined {
  const start = line.search(/(?:^|\s)(?:time|event)=/);
  if (start < 0) return undefined;
  const pairs: Record<string, string> = {};
  for (const [, key, value] of line.slice(start).matchAll(PAIR))
    pairs[key as string] = parseValue(value as string);
  return pairs['event'] === undefined ? undefined : pairs;
}
