/**
 * Parses the backpressure signals of an answer; invalid values are reported and treated as absent.
 */
import { MAX_BACKOFF_MS } from './consts.js';
import type { BackpressureSignals, SignalName, SignalTexts } from './types.js';

const UNAVAILABLE = 503;
const MS_PER_S = 1000;
const DECIMAL = /^\d{1,9}(?:\.\d{1,9})?$/;

function parseDecimal(text: string): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined;
}

function parseBackoffMs(text: string): number | undefined {
  const seconds = parseDecimal(text);
  const isAccepted = seconds !== undefined && seconds * MS_PER_S <= MAX_BACKOFF_MS;
  return isAccepted ? seconds * MS_PER_S : undefined;
}

function parseLeaving(text: string): boolean | undefined {
  if (text === '1') return true;
  return text === '0' ? false : undefined;
}

/**
 * Parses the backpressure signals of an answer. Only a 503 may request a backoff, in seconds with
 * fractions.
 * @example parseSignals(503, { rest: '2.5', leaving: undefined, limit: undefined }).backoffMs // 2500
 */
export function parseSignals(
  status: number,
  { rest, leaving, limit }: SignalTexts,
): BackpressureSignals {
  const unreadable: SignalName[] = [];
  const read = <T>(
    name: SignalName,
    text: string | undefined,
    parse: (text: string) => T | undefined,
  ) => {
    if (text === undefined) return undefined;
    const value = parse(text.trim());
    if (value === undefined) unreadable.push(name);
    return value;
  };
  return {
    backoffMs: status === UNAVAILABLE ? read('rest', rest, parseBackoffMs) : undefined,
    isLeaving: read('leaving', leaving, parseLeaving) ?? false,
    limitPerS: read('limit', limit, parseDecimal),
    unreadable,
  };
}
