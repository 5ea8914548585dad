export * from './consts.js';
export * from './endpoint-health.js';
export * from './rank-work.js';
export * from './choose-rank.js';
export * from './rank-summary.js';
