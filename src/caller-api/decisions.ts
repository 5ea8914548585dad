/** The last requests of this entry, for `harrierglade explain`: kept from the lines of their ends. */
import type { Log, LogFields } from '../core/logging/index.js';
import { KEPT_DECISIONS } from './consts.js';

/** What is kept of one request: the fields of its log line. */
export type DecisionNote = LogFields & { readonly request: string };

/** Event of the line that ends a request. */
const END_EVENT = 'request.end';

/** A bounded record of requests. */
export class DecisionRecord {
  private readonly notes = new Map<string, DecisionNote>();

  /**
   * A log that also keeps the ends of requests.
   * @example const log = record.watch(createLog('info', {}));
   */
  watch(log: Log): Log {
    return {
      debug: (event, fields) => log.debug(event, fields),
      info: (event, fields = {}) => {
        if (event === END_EVENT) this.keep(fields);
        log.info(event, fields);
      },
      warn: (event, fields) => log.warn(event, fields),
      error: (event, fields) => log.error(event, fields),
    };
  }

  /** The note of a request, while it is kept. */
  find(id: string): DecisionNote | undefined {
    return this.notes.get(id);
  }

  /** The newest notes, newest first. */
  latest(count: number): DecisionNote[] {
    return [...this.notes.values()].slice(-count).reverse();
  }

  private keep(fields: LogFields): void {
    const request = String(fields['request']);
    this.notes.set(request, { ...fields, request });
    const oldest = this.notes.keys().next().value;
    if (this.notes.size > KEPT_DECISIONS && oldest !== undefined) this.notes.delete(oldest);
  }
}
