export { STRANGERS } from './consts.js';
export * from './exchange.js';
export * from './known-limits.js';
export * from './known-sharers.js';
export * from './read.js';
export * from './limit-bucket.js';
export * from './limit-share.js';
export * from './rest.js';
export type * from './types.js';
