export * from './consts.js';
export * from './health.js';
