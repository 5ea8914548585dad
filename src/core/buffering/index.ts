export { KEEPS_UP_MS } from './consts.js';
export * from './memory-budget.js';
export * from './types.js';
