export { applyLeaving } from './backpressure-signals.js';
export * from './context.js';
export * from './gateway.js';
export { shareOf } from './limit-shares.js';
export * from './refuse.js';
export * from './types.js';
