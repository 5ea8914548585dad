export * from './consts.js';
export * from './peers.js';
export * from './router.js';
export * from './serve.js';
