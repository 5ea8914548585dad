export * from './http.js';
