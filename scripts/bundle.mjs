// Bundles the node for the platform into one file and compiles it, so that a process starts quickly.
import { execFileSync } from 'node:child_process';
import { copyFileSync } from 'node:fs';
import { join } from 'node:path';
import { argv, execPath } from 'node:process';

import { build } from 'esbuild';

import { deployedOptions } from './deployed-options.mjs';

const folder = argv[2] ?? 'target';

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

await build({
  // The launcher calls this function with what the bundle needs of its module.
  banner: { js: '(function (require) {' },
  bundle: true,
  // The native decoder is no part of the bundle, so a start would look for it in vain.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  entryPoints: ['platform/dist/src/main.js'],
  footer: { js: '})' },
  format: 'cjs',
  minify: true,
  outfile: join(folder, 'bundle.js'),
  platform: 'node',
  plugins: [omitUnusedParts],
  target: 'node20',
});
copyFileSync('scripts/launch.cjs', join(folder, 'peridotspring-mesh.cjs'));
execFileSync(execPath, [...deployedOptions(), 'scripts/compile-bundle.cjs', folder]);
