export * from './change-signal.js';
export * from './clock.js';
export * from './io-timeout.js';
export * from './suspension.js';
export * from './timed.js';
