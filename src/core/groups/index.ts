export * from './consts.js';
export * from './coordinator.js';
export * from './count-deltas.js';
export * from './newest.js';
export * from './pace.js';
export * from './packing.js';
export * from './rank-gate.js';
export * from './types.js';
