export * from './consts.js';
export * from './moves.js';
export * from './plan.js';
export * from './popularity.js';
export * from './repack.js';
export * from './skew.js';
export * from './types.js';
export * from './round-plan.js';
