/** A fault in a text; both numbers start at 1. */
export interface LanguageError {
  readonly line: number;
  readonly column: number;
  /** What stands at this place. */
  readonly found: string;
  /** What could stand there instead. */
  readonly expected: readonly string[];
  /** The whole fault as one sentence. */
  readonly message: string;
}

function listOf(alternatives: readonly string[]): string {
  if (alternatives.length <= 1) return alternatives[0] ?? 'nothing more';
  return `${alternatives.slice(0, -1).join(', ')} or ${alternatives.at(-1) ?? ''}`;
}

/** Builds an error with its sentence. */
export function createLanguageError(fault: Omit<LanguageError, 'message'>): LanguageError {
  const place = `line ${fault.line}, column ${fault.column}`;
  return {
    ...fault,
    message: `${place}: found ${fault.found}, expected ${listOf(fault.expected)}`,
  };
}

/** The faulty line with a mark below the column, for terminals. */
export function markError(text: string, error: LanguageError): string {
  const line = text.split(/\r\n|\r|\n/)[error.line - 1] ?? '';
  return `${error.message}\n  ${line}\n  ${' '.repeat(Math.max(0, error.column - 1))}^`;
}
