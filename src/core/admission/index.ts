export * from './admission.js';
export * from './consts.js';
