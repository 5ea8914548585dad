export * from './ids.js';
