export * from './byte-collector.js';
export { BUFFER_MEMORY_SHARE, KEEPS_UP_MS } from './consts.js';
export * from './memory-budget.js';
export * from './pending-memory.js';
export * from './types.js';
