export * from './changes.js';
export * from './clock.js';
export * from './timed.js';
