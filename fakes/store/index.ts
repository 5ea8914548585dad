export * from './store.js';
