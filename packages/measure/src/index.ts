export { PoissonSchedule, seededRandom } from './arrival-schedule.js';
export type { ArrivalSchedule } from './arrival-schedule.js';
export { runExperiment } from './experiment.js';
export type { ExperimentOptions, ExperimentResult, VariantResult } from './experiment.js';
export type { VariantOptions } from './load-variant.js';
export { renderMarkdown } from './markdown-report.js';
export { createTimeOrderedKey } from './time-ordered-key.js';
