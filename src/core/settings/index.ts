export * from './nearest-name.js';
export * from './settings.js';
