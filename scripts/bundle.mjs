// Bundles the node for the platform into one file and compiles it, so that a process starts quickly.
import { execFileSync, spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtempSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { execPath } from 'node:process';

import { build } from 'esbuild';

import { deployedOptions } from './deployed-options.mjs';
import { programName } from './program-files.mjs';

const digestLength = 16;
const scope = '@peridotspring/';

/** Parts of prom-client that nodes don't use and that load TLS, the cluster module and others. */
const unusedMetricParts = /^\.\/lib\/(pushgateway|defaultMetrics|cluster)$/;

/** A start would spend a tenth of its time on loading them. */
const omitUnusedParts = {
  name: 'omit-unused-parts',
  setup({ onLoad, onResolve }) {
    onResolve({ filter: unusedMetricParts }, ({ importer, path }) =>
      importer.endsWith('prom-client/index.js') ? { namespace: 'omitted', path } : undefined,
    );
    onLoad({ filter: /.*/, namespace: 'omitted' }, () => ({ contents: '' }));
  },
};

/** Resolves the packages of this repository to their sources: what an earlier build compiled may be older. */
const resolveToSources = {
  name: 'resolve-to-sources',
  setup({ onResolve }) {
    onResolve({ filter: new RegExp(`^${scope}`) }, ({ path }) => {
      const [name, ...rest] = path.slice(scope.length).split('/');
      const folder = join(process.cwd(), 'packages', name);
      const { exports } = JSON.parse(readFileSync(join(folder, 'package.json'), 'utf8'));
      const compiled = exports[['.', ...rest].join('/')].default;
      return { path: join(folder, compiled.replace('/dist/', '/').replace(/\.js$/, '.ts')) };
    });
  },
};

async function bundleSources(identity) {
  const { metafile, outputFiles } = await build({
    // The launcher calls this function with what the bundle needs of its module.
    banner: { js: '(function (require) {' },
    bundle: true,
    define: {
      PERIDOTSPRING_COMMIT: JSON.stringify(identity.commit),
      PERIDOTSPRING_SOURCE_DIGEST: JSON.stringify(identity.digest),
      // The native decoder is no part of the bundle, so a start would look for it in vain.
      'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"',
    },
    entryPoints: ['platform/src/main.ts'],
    footer: { js: '})' },
    format: 'cjs',
    metafile: true,
    minify: true,
    platform: 'node',
    plugins: [omitUnusedParts, resolveToSources],
    target: 'node20',
    write: false,
  });
  return { digest: digestOf(Object.keys(metafile.inputs)), script: outputFiles[0].contents };
}

/** The digest of all files that are part of the bundle, by their paths in the repository. */
function digestOf(inputs) {
  const hash = createHash('sha256');
  for (const path of inputs.filter((input) => !input.startsWith('omitted:')).sort()) {
    const content = createHash('sha256').update(readFileSync(path)).digest('hex');
    hash.update(`${path}\0${content}\n`);
  }
  return hash.digest('hex').slice(0, digestLength);
}

/** The commit of the sources, with `-dirty` if tracked files differ from it; `unknown` outside of a git repository. */
function readCommit() {
  const git = (...argumentList) => spawnSync('git', argumentList, { encoding: 'utf8' });
  const head = git('rev-parse', '--short=12', 'HEAD');
  if (head.status !== 0) return 'unknown';
  const sources = ['packages', 'platform', 'scripts', 'package-lock.json'];
  const { status } = git('diff', '--quiet', 'HEAD', '--', ...sources);
  return `${head.stdout.trim()}${status === 0 ? '' : '-dirty'}`;
}

/** Starts the program as it is deployed, to print which sources it consists of. */
function checkProgram(program, identity) {
  const expected = `sources=${identity.digest} commit=${identity.commit}`;
  const options = { encoding: 'utf8', stdio: ['ignore', 'pipe', 'pipe'] };
  const { status, stderr, stdout } = spawnSync(
    execPath,
    [...deployedOptions(), program, '--version'],
    options,
  );
  if (status === 0 && stdout.startsWith(expected) && stderr === '') return;
  throw new Error(`the program does not start as built: ${stdout}${stderr}`);
}

/** Creates the program in a folder. The file that the deploy file starts is put there last. */
export async function bundle(folder) {
  const commit = readCommit();
  const { digest } = await bundleSources({ commit, digest: '' });
  const identity = { commit, digest };
  const bundled = await bundleSources(identity);
  if (bundled.digest !== digest) throw new Error('the sources changed during the build');
  const staging = mkdtempSync(join(folder, 'staging-'));
  const name = `bundle-${digest}`;
  writeFileSync(join(staging, `${name}.js`), bundled.script);
  const launcher = readFileSync('scripts/launch.cjs', 'utf8').replace('bundle-name', name);
  writeFileSync(join(staging, programName), launcher);
  const compile = [...deployedOptions(), 'scripts/compile-bundle.cjs', join(staging, name)];
  execFileSync(execPath, compile);
  checkProgram(join(staging, programName), identity);
  for (const file of [`${name}.js`, `${name}.cache`, programName])
    renameSync(join(staging, file), join(folder, file));
  rmSync(staging, { recursive: true });
}
