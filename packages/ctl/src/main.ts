#!/usr/bin/env node
import { formatBuildIdentity, readBuildIdentity } from '@peridotspring/build-identity';

import { runProgram } from './program.js';
import { processTerminal } from './terminal.js';

const version = formatBuildIdentity(await readBuildIdentity());
process.exitCode = await runProgram(process.argv.slice(2), processTerminal, version);
