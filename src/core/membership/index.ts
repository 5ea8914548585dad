export * from './instance-view.js';
export * from './rendezvous.js';
