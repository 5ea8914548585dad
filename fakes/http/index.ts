export * from './http.js';
export * from './own-host.js';
