/** Readings of a process by the operating system, and small statistics. */
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import type { Member } from './cluster.js';

const PAGE_BYTES = 4096;

/** Resident memory of a process, MB. */
export function residentMb(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
  return (Number(fields[1]) * PAGE_BYTES) / 1e6;
}

/** One gauge or counter of a daemon, from its metrics. */
export async function readMetric(member: Member, name: string): Promise<number> {
  const text = await (
    await request(`http://127.0.0.1:${member.ports.operators}/metrics`)
  ).body.text();
  const line = text.split('\n').find((l) => l.startsWith(`harrierglade_${name} `));
  return Number(line?.split(' ')[1] ?? Number.NaN);
}

/** A straight line through points, and how far it misses each. */
export interface Fit {
  readonly base: number;
  readonly slope: number;
  readonly residuals: readonly number[];
}

/**
 * Least squares.
 * @example fitLine([[1, 2], [2, 4]]).slope // 2
 */
export function fitLine(points: readonly (readonly [number, number])[]): Fit {
  const n = points.length;
  const mx = points.reduce((s, [x]) => s + x, 0) / n;
  const my = points.reduce((s, [, y]) => s + y, 0) / n;
  const sxx = points.reduce((s, [x]) => s + (x - mx) ** 2, 0);
  const slope = sxx === 0 ? 0 : points.reduce((s, [x, y]) => s + (x - mx) * (y - my), 0) / sxx;
  const base = my - slope * mx;
  return { base, slope, residuals: points.map(([x, y]) => y - (base + slope * x)) };
}

/** The middle value. */
export function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;
}
