/** Levels from the most to the least verbose. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof logLevels)[number];

export type LogValue = boolean | number | string;

/** An event to be written to the log. */
export interface LogRecord {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly time: number;
  readonly level: LogLevel;
  readonly event: string;
  readonly fields: Readonly<Record<string, LogValue>>;
}

/** Longer values are truncated, so that a caller cannot fill the log with a single request. */
export const maximumValueLength = 1_024;

const unquotedValue = /^[A-Za-z0-9_.:/@+,%-]+$/;

/**
 * Characters that could end a line, move the cursor of a terminal or reorder displayed text: control characters,
 * line and paragraph separators, zero-width and bidirectional formatting characters, and lone surrogates.
 */
const unsafeCharacter =
  // eslint-disable-next-line no-control-regex
  /[\u0000-\u001f\u007f-\u009f\u061c\u200b-\u200f\u2028-\u202e\u2060-\u206f\ufeff]|[\ud800-\udbff](?![\udc00-\udfff])|(?<![\ud800-\udbff])[\udc00-\udfff]/g;

const shortEscapes: Readonly<Record<string, string>> = { '\n': '\\n', '\r': '\\r', '\t': '\\t' };

function escapeCharacter(character: string): string {
  const code = character.charCodeAt(0).toString(16).padStart(4, '0');
  return shortEscapes[character] ?? `\\u${code}`;
}

/** Quotes and escapes a value where needed, so that it cannot be read as another key, value or line. */
export function formatValue(value: LogValue): string {
  if (typeof value !== 'string') return String(value);
  if (value.length <= maximumValueLength && unquotedValue.test(value)) return value;
  const isTruncated = value.length > maximumValueLength;
  const truncated = isTruncated ? `${value.slice(0, maximumValueLength)}…` : value;
  const escaped = truncated.replace(/["\\]/g, '\\$&').replace(unsafeCharacter, escapeCharacter);
  return `"${escaped}"`;
}

const reservedKeys: ReadonlySet<string> = new Set(['event', 'level', 'time']);

function formatKey(key: string): string {
  const sanitized = key.replace(/[^A-Za-z0-9_]/g, '_').slice(0, 64) || '_';
  // A field named `level`, for example, must not look like the level of the line.
  return reservedKeys.has(sanitized) ? `field_${sanitized}` : sanitized;
}

/** Formats an event as one line of `key=value` pairs without a trailing line break. */
export function formatLine(record: LogRecord): string {
  const prefix = [
    `time=${new Date(record.time).toISOString()}`,
    `level=${record.level}`,
    `event=${formatValue(record.event)}`,
  ];
  const fields = Object.entries(record.fields).map(
    ([key, value]) => `${formatKey(key)}=${formatValue(value)}`,
  );
  return [...prefix, ...fields].join(' ');
}
