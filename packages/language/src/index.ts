export { createLanguageError, markError } from './language-error.js';
export type { LanguageError } from './language-error.js';
export { maximumTextLength, parseStatement } from './parse.js';
export type { ParseResult } from './parse.js';
export { printDuration, printName, printNumber, printService, quote } from './print.js';
export * from './syntax-tree.js';
export { keywords } from './tokens.js';
