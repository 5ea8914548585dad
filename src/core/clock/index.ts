export * from './changes.js';
export * from './clock.js';
export * from './suspension.js';
export * from './timed.js';
