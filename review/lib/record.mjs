/** Keeps what was sent, answered and run, and writes it to record.txt beside the script. */
import { writeFileSync } from 'node:fs';

const seconds = (ms) => (ms / 1000).toFixed(3);

/** One line for a request: when it was sent, what its client got, and what engines did with it. */
function describe(lines) {
  const [sent] = lines.filter(({ what }) => what === 'sent');
  const [end] = lines.filter(({ what }) => what === 'answered');
  const atEngines = lines.filter(({ client }) => !client);
  const events = atEngines.map(({ engine, what, at }) => `${engine} ${what} ${seconds(at)}`);
  const answer = end
    ? `${end.status}${end.isWhole ? '' : ' not whole'} ${seconds(end.at)}`
    : 'none';
  return `sent ${sent ? seconds(sent.at) : '-'} ${lines[0].id} ${sent?.path ?? ''} answer ${answer}; ${events.join(', ')}`;
}

export class Recorder {
  constructor(path) {
    this.path = path;
    this.lines = [];
    this.add = (line) => void this.lines.push(line);
  }

  /** Lines of the engines or clients with a word. */
  of(what) {
    return this.lines.filter((line) => line.what === what);
  }

  /** Writes a summary, the lines that `isShown` chooses, in order of time, and a line for each request. */
  write(summary, isShown) {
    const lines = [...this.lines].sort((a, b) => a.at - b.at);
    const shown = lines
      .filter(isShown)
      .map(({ at, ...rest }) => `${seconds(at)} ${JSON.stringify(rest)}`);
    const byId = new Map();
    for (const line of lines) {
      if (line.id === undefined) continue;
      const known = byId.get(line.id);
      if (known) known.push(line);
      else byId.set(line.id, [line]);
    }
    const all = [...byId.values()].map(describe);
    const text = [...summary, '', ...shown, '', 'all requests:', ...all].join('\n');
    writeFileSync(this.path, `${text}\n`);
  }
}
