export * from './endpoint.js';
export * from './rank.js';
