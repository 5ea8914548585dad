export * from './service.js';
