export * from './pace-limit.js';
export * from './turn-queue.js';
export * from './outage.js';
