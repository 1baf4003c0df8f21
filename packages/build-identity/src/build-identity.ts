/** The bundler replaces these names by strings; they don't exist in code that only the compiler has processed. */
declare const PERIDOTSPRING_COMMIT: string | undefined;
declare const PERIDOTSPRING_SOURCE_DIGEST: string | undefined;

const unknownCommit = 'unknown';

/** The code that a process runs, and what runs it. */
export interface BuildIdentity {
  /** First 16 hexadecimal digits of a SHA-256 digest of the bundle's sources; `compiled-` and that of the compiled files without a bundle. */
  readonly sources: string;
  /** Commit of the sources, with `-dirty` if they differ from it; `unknown` if it is not known. */
  readonly commit: string;
  /** Version of Node.js. */
  readonly runtime: string;
  /** Architecture of the processor, such as `x64` or `arm64`. */
  readonly architecture: string;
}

/** The identity of the code that contains this function. */
export async function readBuildIdentity(): Promise<BuildIdentity> {
  const { arch: architecture, version: runtime } = process;
  if (typeof PERIDOTSPRING_SOURCE_DIGEST === 'undefined') {
    const { digestCompiledFiles } = await import('./compiled-files.js');
    const sources = `compiled-${digestCompiledFiles()}`;
    return { architecture, commit: unknownCommit, runtime, sources };
  } else {
    const commit =
      typeof PERIDOTSPRING_COMMIT === 'undefined' ? unknownCommit : PERIDOTSPRING_COMMIT;
    return { architecture, commit, runtime, sources: PERIDOTSPRING_SOURCE_DIGEST };
  }
}

/** The identity in one line, in the format of log fields. */
export function formatBuildIdentity(identity: BuildIdentity): string {
  const { architecture, commit, runtime, sources } = identity;
  return `sources=${sources} commit=${commit} runtime=${runtime} architecture=${architecture}`;
}
