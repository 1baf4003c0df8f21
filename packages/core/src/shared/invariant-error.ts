/** Thrown when an invariant of the core is broken; the process stops. */
export class InvariantError extends Error {
  public override readonly name = 'InvariantError';
}

/** Asserts an invariant. */
export function assertInvariant(condition: boolean, description: string): asserts condition {
  if (!condition) {
    throw new InvariantError(description);
  }
}
