// The build of the deploy file. It ends with the program of the present sources, or with none and an error.
import { argv, chdir } from 'node:process';
import { fileURLToPath } from 'node:url';
import { resolve } from 'node:path';

import { ensureDependencies } from './install-dependencies.mjs';
import { removeProgram } from './program-files.mjs';

const folder = resolve(argv[2] ?? 'target');
removeProgram(folder);
chdir(fileURLToPath(new URL('..', import.meta.url)));
ensureDependencies();
// Loads the bundler, which may have been installed just now.
const { bundle } = await import('./bundle.mjs');
await bundle(folder);
