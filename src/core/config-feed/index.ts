export * from './check-document.js';
export * from './delta.js';
export * from './empty-body.js';
export * from './feed.js';
export * from './store.js';
