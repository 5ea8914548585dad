export { ClientConnections } from './client-connections.js';
export * from './client-limits.js';
export { HEAD_CHECK_INTERVAL_MS } from './consts.js';
