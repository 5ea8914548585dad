/** Re-exports ts-results, a CommonJS package whose named exports ES modules cannot import. */
import results, { type Result } from 'ts-results';

export const { Ok, Err } = results;
export type { Result };
