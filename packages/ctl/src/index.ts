export { ExitCode } from './exit-code.js';
export { runProgram } from './program.js';
export { processTerminal } from './terminal.js';
export type { Terminal } from './terminal.js';
