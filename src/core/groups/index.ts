export * from './consts.js';
export * from './switch-round.js';
export * from './count-deltas.js';
export * from './evict-oldest.js';
export * from './round-delay.js';
export * from './packing.js';
export * from './switch-participant.js';
export * from './types.js';
