/** A straight line through measured points. */
export interface FittedLine {
  readonly slope: number;
  readonly intercept: number;
}

/** Fits a line by least squares. */
export function fitLine(points: readonly (readonly [x: number, y: number])[]): FittedLine {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

/** Prints a Markdown table. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`;
  return [line(header), line(header.map(() => '---')), ...rows.map(line)].join('\n');
}

/** A number with three significant digits, without an exponent. */
export function formatNumber(value: number): string {
  if (value === 0 || !Number.isFinite(value)) return String(value);
  const digits = Math.max(0, 2 - Math.floor(Math.log10(Math.abs(value))));
  return value.toFixed(Math.min(digits, 12));
}
