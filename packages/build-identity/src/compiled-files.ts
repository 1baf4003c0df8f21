import { createHash } from 'node:crypto';
import { readdirSync, readFileSync } from 'node:fs';
import { join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';

const digestLength = 16;
const packagesFolder = fileURLToPath(new URL('../../..', import.meta.url));
const platformFolder = fileURLToPath(new URL('../../../../platform', import.meta.url));

/** Digest of the compiled files of all packages. What runs are these files, which may be older than the sources. */
export function digestCompiledFiles(): string {
  const folders = readdirSync(packagesFolder).map((name) => join(packagesFolder, name));
  const hash = createHash('sha256');
  for (const folder of [...folders.sort(), platformFolder]) {
    for (const file of listScripts(join(folder, 'dist', 'src'))) {
      hash.update(`${relative(packagesFolder, file)}\0`).update(readFileSync(file));
    }
  }
  return hash.digest('hex').slice(0, digestLength);
}

function listScripts(folder: string): readonly string[] {
  try {
    return readdirSync(folder, { recursive: true, encoding: 'utf8' })
      .filter((name) => name.endsWith('.js'))
      .sort()
      .map((name) => join(folder, name));
  } catch {
    // A package that has not been compiled is no part of what runs.
    return [];
  }
}
