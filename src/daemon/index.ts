export * from './operators.js';
export * from './start.js';
