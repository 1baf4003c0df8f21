import type { ProcessingAllowanceOptions } from './processing-allowance.js';

/** Estimated processor time in microseconds. */
export const processingCost = {
  /** A read of a socket, with its turn of the event loop. */
  read: 20,
  /** A request beside its parsing. */
  request: 100,
} as const;
/** The parser passes on each header field and each chunk by itself. */
const microsecondsPerLine = 1.5;
const microsecondsPerKibibyte = 1;
const bytesPerKibibyte = 1_024;

/** Processor time to parse input, in microseconds, estimated by what the parser passes on one by one. */
export function parsingCost(byteCount: number, lineCount: number): number {
  return microsecondsPerLine * lineCount + (microsecondsPerKibibyte * byteCount) / bytesPerKibibyte;
}

/**
 * Processor time for the input of one connection, which suffices for some requests a second. Input beyond it is deferred, so that
 * connections with little input come first. The share is small, since it may be taken by some thousand connections at once.
 */
export const connectionProcessing: ProcessingAllowanceOptions = {
  initialMicroseconds: 1_000,
  maximumMicroseconds: 1_000,
  share: 0.001,
};

/**
 * Processor time for the deferred input of all connections together: two thousand requests a second, several times what a process
 * can pass on, or 15 MB of chunks of a hundred bytes.
 */
export const deferredProcessing: ProcessingAllowanceOptions = {
  initialMicroseconds: 2_000,
  maximumMicroseconds: 2_000,
  share: 0.3,
};
