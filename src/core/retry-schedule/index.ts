export * from './arrival-forecast.js';
export * from './return-plan.js';
export * from './leftover.js';
export * from './return-schedule.js';
