export * from './context.js';
export * from './replaceable-pool.js';
export * from './connection-pools.js';
export * from './read-body.js';
export * from './response-limits.js';
