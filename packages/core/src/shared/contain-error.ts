import { InvariantError } from './invariant-error.js';

/**
 * Runs an action on behalf of one request. An error that it throws is passed to `onError` and ends that request only;
 * an `InvariantError` is thrown on, because it means that the state shared by all requests is inconsistent.
 */
export function containError(action: () => void, onError: (error: Error) => void): void {
  try {
    action();
  } catch (error) {
    onError(toContainableError(error));
  }
}

/** Returns the error to attribute to one request; throws an `InvariantError` on. */
export function toContainableError(error: unknown): Error {
  if (error instanceof InvariantError) throw error;
  return error instanceof Error ? error : new Error(String(error));
}
