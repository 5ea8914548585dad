export * from './address.js';
export * from './published-state.js';
export * from './routes.js';
export * from './types.js';
export * from './source.js';
export * from './follow.js';
export * from './relay.js';
export * from './relayed-source.js';
