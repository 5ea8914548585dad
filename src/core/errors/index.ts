export * from './errors.js';
export * from './kinds.js';
