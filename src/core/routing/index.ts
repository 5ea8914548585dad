export * from './consts.js';
export * from './endpoint-health.js';
