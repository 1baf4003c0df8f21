// Bundles the node for the platform into one file, so that a process starts quickly.
import { join } from 'node:path';
import { argv } from 'node:process';

import { build } from 'esbuild';

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
  banner: {
    // Packages in CommonJS form call require, which modules do not have.
    js: "import { createRequire as createRequireForBundle } from 'node:module'; const require = createRequireForBundle(import.meta.url);",
  },
  bundle: true,
  // The native decoder is no part of the bundle, so a start would look for it in vain.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  entryPoints: ['platform/dist/src/main.js'],
  format: 'esm',
  minify: true,
  outfile: join(folder, 'peridotspring-mesh.mjs'),
  platform: 'node',
  plugins: [omitUnusedParts],
  target: 'node20',
});
