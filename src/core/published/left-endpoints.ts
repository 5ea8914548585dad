/** Endpoints that take no new work whatever is read of them later, each by the start of its process. */
import type { EndpointId } from '../ids/index.js';
import type { EndpointProcess } from './types.js';

/** Endpoints that are gone are remembered for the case that an old list names them again; a release replaces 600 at most. */
const MOST_GONE = 1024;

/** Endpoints that were seen leaving, for good, and those that went without a word, for as long as the list is an old one. */
export class LeftEndpoints {
  private readonly leaving = new Map<EndpointId, number>();
  private readonly gone = new Map<EndpointId, number>();
  private isListOld = false;

  /** Notes one that said that it leaves. */
  noteLeaving({ id, startedAtMs }: EndpointProcess): void {
    this.leaving.set(id, startedAtMs);
  }

  /** Notes one that is no longer listed. */
  noteGone({ id, startedAtMs }: EndpointProcess): void {
    this.gone.delete(id);
    this.gone.set(id, startedAtMs);
    const [oldest] = this.gone.keys();
    if (this.gone.size > MOST_GONE && oldest !== undefined) this.gone.delete(oldest);
  }

  /** Notes one that is listed: it came back, unless the list is an old one. */
  noteListed({ id }: EndpointProcess): void {
    if (!this.isListOld) this.gone.delete(id);
  }

  /** The list may be one of some time ago: whoever was gone by now may stand in it. */
  distrustList(): void {
    this.isListOld = true;
  }

  /** The list tells who lives; those who were gone and are listed all the same came back. */
  trustList(): void {
    this.isListOld = false;
    this.gone.clear();
  }

  /** Whether a process said that it leaves. */
  isLeaving(process: EndpointProcess): boolean {
    return isUpTo(this.leaving.get(process.id), process);
  }

  /** Whether a process was gone before the list that names it was written. */
  isGone(process: EndpointProcess): boolean {
    return this.isListOld && isUpTo(this.gone.get(process.id), process);
  }
}

function isUpTo(leftStartedAtMs: number | undefined, { startedAtMs }: EndpointProcess): boolean {
  return leftStartedAtMs !== undefined && startedAtMs <= leftStartedAtMs;
}
