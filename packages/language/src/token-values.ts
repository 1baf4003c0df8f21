import type { IToken } from 'chevrotain';

import type { Position } from './syntax-tree.js';

const millisecondsPerUnit: Readonly<Record<string, number>> = {
  d: 86_400_000,
  h: 3_600_000,
  m: 60_000,
  ms: 1,
  s: 1_000,
};

/** Where a token starts. */
export function positionOf(token: IToken): Position {
  return { column: token.startColumn ?? 1, line: token.startLine ?? 1 };
}

/** Milliseconds of a duration such as `2s`. */
export function durationMilliseconds(image: string): number {
  const unit = image.replace(/^[\d.]+/, '');
  // Rounded because 0.1s times 1000 is not a whole number in floating point.
  return Math.round(Number.parseFloat(image) * (millisecondsPerUnit[unit] ?? 1));
}

/** The share that a percentage such as `1.5%` stands for. */
export function percentageShare(image: string): number {
  return Number((Number.parseFloat(image) / 100).toPrecision(12));
}

/** The content of a text in double quotes. */
export function unquote(image: string): string {
  return image.slice(1, -1).replace(/\\(["\\])/g, '$1');
}
