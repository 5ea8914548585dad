export * from './decisions.js';
export * from './interface.js';
export * from './organisation-limits.js';
export * from './published.js';
