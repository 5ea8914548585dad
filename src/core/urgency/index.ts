export * from './urgency.js';
