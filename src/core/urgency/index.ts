export * from './service-urgencies.js';
export * from './urgency.js';
export * from './admission-level.js';
export * from './level-slots.js';
export * from './demand-counter.js';
export * from './demand-sum.js';
export * from './hold-correction.js';
export { HOLDING_TIME_CONSTANT_MS } from './consts.js';
export * from './organisation-shares.js';
