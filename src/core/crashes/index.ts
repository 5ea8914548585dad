export * from './evidence.js';
export * from './evidence-updates.js';
export * from './traits.js';
