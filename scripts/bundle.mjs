// Bundles the node for the platform into one file, so that a process starts quickly.
import { build } from 'esbuild';

await build({
  banner: {
    // Packages in CommonJS form call require, which modules do not have.
    js: "import { createRequire as createRequireForBundle } from 'node:module'; const require = createRequireForBundle(import.meta.url);",
  },
  bundle: true,
  entryPoints: ['platform/dist/src/main.js'],
  format: 'esm',
  minify: true,
  outfile: 'target/peridotspring-mesh.mjs',
  platform: 'node',
  target: 'node20',
});
