export * from './confirm.js';
export * from './plan.js';
export * from './render.js';
export * from './types.js';
