export * from './own-count.js';
export * from './stream-limit.js';
export * from './turn-queue.js';
export * from './turn-terms.js';
export * from './outage.js';
