export * from './raw-endpoint.js';
