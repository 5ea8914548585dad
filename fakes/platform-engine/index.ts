export type { EndlessFault } from './endless.js';
export * from './engine.js';
export * from './rank-calls.js';
