export * from './log.js';
