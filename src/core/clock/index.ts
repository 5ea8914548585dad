export * from './change-signal.js';
export * from './clock.js';
export * from './suspension.js';
export * from './timed.js';
