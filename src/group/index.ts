export * from './agent-process.js';
export * from './engine-calls.js';
