export { applyLeaving } from './backpressure/backpressure-signals.js';
export * from './context.js';
export * from './gateway.js';
export { shareOf } from './backpressure/limit-shares.js';
export * from './requests/refuse.js';
export * from './types.js';
