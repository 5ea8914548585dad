/** Reads log lines of daemons: key=value pairs, with or without a collector's text before them. */

/** The pairs of one line. */
export type LogPairs = Readonly<Record<string, string>>;

const PAIR = /([A-Za-z][A-Za-z0-9_.]*)=("(?:[^"\\]|\\.)*"?|[^\s"]*)/g;

function valueOf(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return JSON.parse(text) as string;
  } catch {
    // Cut off by whoever collected the line: what there is says more than nothing.
    return text.slice(1);
  }
}

/**
 * The pairs of one line; undefined for a line that tells of no event.
 * @example parseLine('12.5 front-1 event=request.end request=a1 tookMs=3')?.tookMs // '3'
 */
export function parseLine(line: string): LogPairs | undefined {
  const from = line.search(/(?:^|\s)(?:time|event)=/);
  if (from < 0) return undefined;
  const pairs: Record<string, string> = {};
  for (const [, key, value] of line.slice(from).matchAll(PAIR))
    pairs[key as string] = valueOf(value as string);
  return pairs['event'] === undefined ? undefined : pairs;
}
