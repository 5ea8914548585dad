/** Keeps what was sent, answered and run, and writes it to record.txt beside the script. */
import { writeFileSync } from 'node:fs';

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

  /** Writes a summary, then all lines in order of time; `keep` filters them. */
  write(summary, keep = () => true) {
    const kept = this.lines.filter(keep).sort((a, b) => a.at - b.at);
    const text = kept.map(({ at, ...rest }) => `${(at / 1000).toFixed(3)} ${JSON.stringify(rest)}`);
    writeFileSync(this.path, `${[...summary, '', ...text].join('\n')}\n`);
  }
}
