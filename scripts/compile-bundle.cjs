// Compiles every function of the given bundle. A process takes the result only if it runs
// the same version of the runtime with the same options, so this one has to be started with them.
const { readFileSync, writeFileSync } = require('node:fs');
const { argv } = require('node:process');
const { setFlagsFromString } = require('node:v8');
const { Script } = require('node:vm');

const [, , bundle] = argv;
const filename = `${bundle}.js`;
setFlagsFromString('--no-lazy');
const script = new Script(readFileSync(filename, 'latin1'), { filename });
// The options are part of what a process compares.
setFlagsFromString('--lazy');
writeFileSync(`${bundle}.cache`, script.createCachedData());
