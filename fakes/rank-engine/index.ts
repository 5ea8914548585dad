export * from './rank-group.js';
export * from './virtual-time.js';
export * from './wall-time.js';
