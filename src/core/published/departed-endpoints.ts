/** Tracks endpoint processes that must not receive new requests even if a later read lists them. */
import type { EndpointId } from '../ids/index.js';
import type { EndpointProcess } from './types.js';

/**
 * Number of removed endpoints remembered in case an outdated list names them again. A release
 * replaces at most 600.
 */
const MAX_GONE = 1024;

/**
 * Remembers endpoints that announced that they are leaving, for good, and endpoints that were
 * removed without notice, which only count while the list may be outdated.
 */
export class DepartedEndpoints {
  private readonly leaving = new Map<EndpointId, number>();
  private readonly gone = new Map<EndpointId, number>();
  private isListOutdated = false;

  /** Records a process that announced that it is leaving. */
  noteLeaving({ id, startedAtMs }: EndpointProcess): void {
    this.leaving.set(id, startedAtMs);
  }

  /** Records a process that is no longer listed. */
  noteGone({ id, startedAtMs }: EndpointProcess): void {
    this.gone.delete(id);
    this.gone.set(id, startedAtMs);
    const [oldest] = this.gone.keys();
    if (this.gone.size > MAX_GONE && oldest !== undefined) this.gone.delete(oldest);
  }

  /** Records a listed process: it has returned, unless the list may be outdated. */
  noteListed({ id }: EndpointProcess): void {
    if (!this.isListOutdated) this.gone.delete(id);
  }

  /**
   * Marks the list as possibly restored from an older copy, which may still name removed endpoints.
   */
  markListOutdated(): void {
    this.isListOutdated = true;
  }

  /** Marks the list as current: an endpoint that was removed and is still listed has returned. */
  markListCurrent(): void {
    this.isListOutdated = false;
    this.gone.clear();
  }

  /** Returns whether this process, or a later one with its id, announced that it is leaving. */
  isLeaving(process: EndpointProcess): boolean {
    return isSameOrEarlierProcess(this.leaving.get(process.id), process);
  }

  /** Returns whether the list may be outdated and this process, or a later one, was removed. */
  isGone(process: EndpointProcess): boolean {
    return this.isListOutdated && isSameOrEarlierProcess(this.gone.get(process.id), process);
  }
}

function isSameOrEarlierProcess(
  departedStartedAtMs: number | undefined,
  { startedAtMs }: EndpointProcess,
): boolean {
  return departedStartedAtMs !== undefined && startedAtMs <= departedStartedAtMs;
}
