export * from './modes.js';
export * from './server.js';
