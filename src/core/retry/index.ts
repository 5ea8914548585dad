export * from './retry.js';
