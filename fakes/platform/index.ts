export * from './platform.js';
