// Starts the bundled node from code that the build compiled, so that a start parses and compiles little.
const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

// The build puts in the name of the bundle, so that the files of two builds can't be combined.
const bundle = join(__dirname, 'bundle-name');
const filename = `${bundle}.js`;
const cachedData = readFileSync(`${bundle}.cache`);
// The bundle is ASCII, so each of its bytes is a character.
const script = new Script(readFileSync(filename, 'latin1'), { cachedData, filename });
if (script.cachedDataRejected === true) {
  process.emitWarning('the bundle was compiled for another runtime or other options');
}
script.runInThisContext()(require);
