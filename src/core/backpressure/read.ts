/** Reads what an answer asks for; a value that makes no sense is named and counts as not asked for. */
import { MAX_BACKOFF_MS } from './consts.js';
import type { AnswerAsks, AskName, AskTexts } from './types.js';

const UNAVAILABLE = 503;
const MS_PER_S = 1000;
const DECIMAL = /^\d{1,9}(?:\.\d{1,9})?$/;

function decimal(text: string): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined;
}

function readRestMs(text: string): number | undefined {
  const seconds = decimal(text);
  const isMeant = seconds !== undefined && seconds * MS_PER_S <= MAX_BACKOFF_MS;
  return isMeant ? seconds * MS_PER_S : undefined;
}

function readLeaving(text: string): boolean | undefined {
  if (text === '1') return true;
  return text === '0' ? false : undefined;
}

/**
 * Reads what an answer asks for. Only one that turns a request away may ask for rest: seconds, with fractions.
 * @example readAsks(503, { rest: '2.5', leaving: undefined, limit: undefined }).restMs // 2500
 */
export function readAsks(status: number, { rest, leaving, limit }: AskTexts): AnswerAsks {
  const unreadable: AskName[] = [];
  const read = <T>(
    name: AskName,
    text: string | undefined,
    as: (text: string) => T | undefined,
  ) => {
    if (text === undefined) return undefined;
    const value = as(text.trim());
    if (value === undefined) unreadable.push(name);
    return value;
  };
  return {
    restMs: status === UNAVAILABLE ? read('rest', rest, readRestMs) : undefined,
    isLeaving: read('leaving', leaving, readLeaving) ?? false,
    limitPerS: read('limit', limit, decimal),
    unreadable,
  };
}
