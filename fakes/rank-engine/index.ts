export * from './rank-group.js';
export * from './virtual-time.js';
