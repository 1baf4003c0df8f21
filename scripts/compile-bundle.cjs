// Compiles every function of the bundle in the given folder. A process takes the result only if it runs
// the same version of the runtime with the same options, so this one has to be started with them.
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { argv } = require('node:process');
const { setFlagsFromString } = require('node:v8');
const { Script } = require('node:vm');

const folder = argv[2];
const filename = join(folder, 'bundle.js');
setFlagsFromString('--no-lazy');
const script = new Script(readFileSync(filename, 'latin1'), { filename });
// The options are part of what a process compares.
setFlagsFromString('--lazy');
writeFileSync(join(folder, 'bundle.cache'), script.createCachedData());
