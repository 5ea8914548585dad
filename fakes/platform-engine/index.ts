export * from './engine.js';
export * from './rank-calls.js';
