export * from './stream-count-history.js';
export * from './stream-limit-estimator.js';
export * from './wait-queue.js';
export * from './queue-terms.js';
export * from './outage-detector.js';
export * from './last-chance.js';
export * from './holding-time.js';
export * from './slot-turnover.js';
