export * from './deployment.js';
export { EventQueue } from './event-queue.js';
export * from './run-result.js';
export * from './scenario.js';
export { Simulation } from './simulation.js';
export { renderTables, runSeeds } from './tables.js';
export * from './trace.js';
export * from './variant.js';
