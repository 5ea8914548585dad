export * from './read.js';
export * from './rest.js';
export type * from './types.js';
