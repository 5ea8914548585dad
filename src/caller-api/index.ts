export * from './decisions.js';
export * from './caller-api.js';
export * from './organisation-limits.js';
export * from './published.js';
