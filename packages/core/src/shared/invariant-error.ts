/** Thrown if an invariant of the core is violated; the process then stops. */
export class InvariantError extends Error {
  public override readonly name = 'InvariantError';
}

/** Throws an `InvariantError` unless the condition holds. */
export function assertInvariant(condition: boolean, description: string): asserts condition {
  if (!condition) {
    throw new InvariantError(description);
  }
}
