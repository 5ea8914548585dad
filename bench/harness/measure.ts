/** Memory and metrics of processes, linear regression and the median. */
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import type { Member } from './cluster.js';

const PAGE_BYTES = 4096;

/** Resident memory of a process, MB (10^6 bytes). */
export function residentMb(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
  return (Number(fields[1]) * PAGE_BYTES) / 1e6;
}

/** Reads an unlabelled gauge or counter of a daemon; NaN if it does not exist. */
export async function readMetric(member: Member, name: string): Promise<number> {
  const text = await (
    await request(`http://127.0.0.1:${member.ports.operators}/metrics`)
  ).body.text();
  const line = text.split('\n').find((l) => l.startsWith(`harrierglade_${name} `));
  return Number(line?.split(' ')[1] ?? Number.NaN);
}

/** A line fitted to points, and the residual at each point. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  readonly residuals: readonly number[];
}

/**
 * Fits a line by least squares.
 * @example fitLine([[1, 2], [2, 4]]).slope // 2
 */
export function fitLine(points: readonly (readonly [number, number])[]): LinearFit {
  const n = points.length;
  const meanX = points.reduce((s, [x]) => s + x, 0) / n;
  const meanY = points.reduce((s, [, y]) => s + y, 0) / n;
  const sxx = points.reduce((s, [x]) => s + (x - meanX) ** 2, 0);
  const slope =
    sxx === 0 ? 0 : points.reduce((s, [x, y]) => s + (x - meanX) * (y - meanY), 0) / sxx;
  const base = meanY - slope * meanX;
  return { intercept: base, slope, residuals: points.map(([x, y]) => y - (base + slope * x)) };
}

/** Median; the upper one of the two middle values if their number is even. */
export function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;
}
