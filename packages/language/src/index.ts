export { maximumTextLength, parseStatement } from './parse.js';
export type { ParseResult } from './parse.js';
export * from './text.js';
export { keywords } from './tokens.js';
