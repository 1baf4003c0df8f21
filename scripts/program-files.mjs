import { mkdirSync, readdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';

/** The file that the deploy file starts. */
export const programName = 'peridotspring-mesh.cjs';

const programFiles = /^(bundle.*\.(js|cache)|staging-.*)$/;

/** Removes the program of an earlier build, so that a build that fails leaves none. */
export function removeProgram(folder) {
  mkdirSync(folder, { recursive: true });
  for (const file of readdirSync(folder)) {
    if (file === programName || programFiles.test(file))
      rmSync(join(folder, file), { force: true, recursive: true });
  }
}
