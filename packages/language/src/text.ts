/** What works on statements and faults without the parser, which is large and slow to load. */
export { createLanguageError, markError } from './language-error.js';
export type { LanguageError } from './language-error.js';
export { printDuration, printName, printNumber, printService, quote } from './print.js';
export * from './syntax-tree.js';
