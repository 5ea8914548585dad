export * from './read.js';
export type * from './types.js';
