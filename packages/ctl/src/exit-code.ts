/** Exit codes of peridotctl. They are documented in docs/OPERATIONS.md and stable. */
export const ExitCode = {
  /** Everything that was asked for is done, and every node answered. */
  Done: 0,
  /** The answer lacks nodes, or a revision is not in force everywhere yet. */
  Partial: 1,
  /** Wrong flags, or the text has faults; nothing was done. */
  Usage: 2,
  /** Another change came first; nothing was changed. */
  Conflict: 3,
  /** The change was rejected; nothing was changed. */
  Rejected: 4,
  /** The node could not be asked or failed; nothing was changed. */
  Unreachable: 5,
  /** Nobody could say in time whether the change was made. */
  Unknown: 6,
  /** The secret was not accepted; nothing was done. */
  Forbidden: 7,
  /** The operator did not confirm; nothing was done. */
  NotConfirmed: 8,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
