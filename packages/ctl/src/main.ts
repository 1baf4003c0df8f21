#!/usr/bin/env node
import { runProgram } from './program.js';
import { processTerminal } from './terminal.js';

process.exitCode = await runProgram(process.argv.slice(2), processTerminal);
