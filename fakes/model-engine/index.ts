export * from './group.js';
export * from './rank.js';
export * from './types.js';
