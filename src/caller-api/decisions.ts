/** Keeps the log fields of recently ended requests of this entry for `harrierglade explain`. */
import type { Log, LogFields } from '../core/logging/index.js';
import { MAX_DECISIONS } from './consts.js';

/** The log fields of the end of one request. */
export type Decision = LogFields & { readonly request: string };

/** Log event written at the end of each request. */
const REQUEST_END_EVENT = 'request.end';

/** A bounded record of ended requests; the oldest is evicted first. */
export class DecisionRecord {
  private readonly decisions = new Map<string, Decision>();

  /**
   * Wraps a log so that the ends of requests are also recorded here.
   * @example const log = decisions.recordFrom(createLog('info', {}));
   */
  recordFrom(log: Log): Log {
    const recordEnd =
      (write: Log['info']): Log['info'] =>
      (event, fields = {}) => {
        if (event === REQUEST_END_EVENT) this.record(fields);
        write(event, fields);
      };
    return {
      debug: (event, fields) => log.debug(event, fields),
      info: recordEnd(log.info),
      evidence: recordEnd(log.evidence),
      warn: (event, fields) => log.warn(event, fields),
      error: (event, fields) => log.error(event, fields),
    };
  }

  /** The decision for a request id; undefined once evicted. */
  find(id: string): Decision | undefined {
    return this.decisions.get(id);
  }

  /** The latest decisions, newest first. */
  latest(count: number): Decision[] {
    return [...this.decisions.values()].slice(-count).reverse();
  }

  private record(fields: LogFields): void {
    const request = String(fields['request']);
    this.decisions.set(request, { ...fields, request });
    const oldest = this.decisions.keys().next().value;
    if (this.decisions.size > MAX_DECISIONS && oldest !== undefined) this.decisions.delete(oldest);
  }
}
