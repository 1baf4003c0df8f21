const lineFeed = 10;
const carriageReturn = 13;
/** An empty line has at most a carriage return before its line feed. */
const longestEmptyLineBytes = 2;
/** Lines that are parsed at once: a few tenths of a millisecond of processor time. */
const maximumLines = 64;

/** The first bytes of the input, which are given to the parser at once. */
export interface InputSlice {
  readonly byteCount: number;
  readonly lineCount: number;
  /** Whether there is more than empty lines. */
  readonly hasText: boolean;
}

/**
 * Chooses how much of the input to parse next. An empty line may be the end of a head, so a slice ends there: a further request
 * is parsed only when it may be. The parser alone decides what the bytes mean. `isHeadOpen` tells that the input continues a head.
 */
export function nextSlice(input: Buffer, maximumBytes: number, isHeadOpen: boolean): InputSlice {
  let hasText = isHeadOpen;
  let lineCount = 0;
  let position = 0;
  const limit = Math.min(input.length, maximumBytes);
  while (lineCount < maximumLines && position < limit) {
    const end = input.indexOf(lineFeed, position) + 1;
    if (end === 0) {
      hasText ||= input[position] !== carriageReturn;
      return { byteCount: limit, hasText, lineCount };
    }
    lineCount += 1;
    const isEmptyLine = end - position <= longestEmptyLineBytes;
    position = end;
    if (isEmptyLine && hasText) break;
    hasText ||= !isEmptyLine;
  }
  return { byteCount: Math.min(position, limit), hasText, lineCount };
}
