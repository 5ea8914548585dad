export * from './caller.js';
export * from './cluster-spec.js';
export * from './cluster.js';
export * from './processes.js';
export * from './measure.js';
