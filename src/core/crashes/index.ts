export * from './evidence.js';
export * from './fingerprint.js';
