export * from './service-urgencies.js';
export * from './urgency.js';
export * from './admission-level.js';
export * from './demand-counter.js';
export * from './demand-sum.js';
export * from './hold-correction.js';
export * from './holding-time.js';
export * from './organisation-shares.js';
