/** Levels from the most to the least verbose. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof logLevels)[number];

/** A value of a log field. */
export type LogValue = boolean | number | string;

/** An event as it is written to the log. */
export interface LogRecord {
  /** Wall time in milliseconds. */
  readonly time: number;
  readonly level: LogLevel;
  readonly event: string;
  readonly fields: Readonly<Record<string, LogValue>>;
}

/** A longer value is cut, so that a caller can't fill the log with one request. */
export const maximumValueLength = 1_024;

const bareValue = /^[A-Za-z0-9_.:/@+,%-]+$/;

/**
 * Everything that could end a line, move a terminal's cursor or reorder the text on a screen: control
 * characters, line and paragraph separators, marks of writing direction, and halves of surrogate pairs.
 */
const unsafeCharacter =
  // eslint-disable-next-line no-control-regex
  /[\u0000-\u001f\u007f-\u009f\u061c\u200b-\u200f\u2028-\u202e\u2060-\u206f\ufeff]|[\ud800-\udbff](?![\udc00-\udfff])|(?<![\ud800-\udbff])[\udc00-\udfff]/g;

const shortEscapes: Readonly<Record<string, string>> = { '\n': '\\n', '\r': '\\r', '\t': '\\t' };

function escapeCharacter(character: string): string {
  const code = character.charCodeAt(0).toString(16).padStart(4, '0');
  return shortEscapes[character] ?? `\\u${code}`;
}

/** Writes a value so that it can't be taken for another key, another value or another line. */
export function formatValue(value: LogValue): string {
  if (typeof value !== 'string') return String(value);
  if (value.length <= maximumValueLength && bareValue.test(value)) return value;
  const isCut = value.length > maximumValueLength;
  const kept = isCut ? `${value.slice(0, maximumValueLength)}…` : value;
  const escaped = kept.replace(/["\\]/g, '\\$&').replace(unsafeCharacter, escapeCharacter);
  return `"${escaped}"`;
}

const reservedKeys: ReadonlySet<string> = new Set(['event', 'level', 'time']);

function formatKey(key: string): string {
  const clean = key.replace(/[^A-Za-z0-9_]/g, '_').slice(0, 64) || '_';
  // A field called `level` must not look like the level of the line.
  return reservedKeys.has(clean) ? `field_${clean}` : clean;
}

/** Formats an event as one line of `key=value` pairs, without a line break at its end. */
export function formatLine(record: LogRecord): string {
  const head = [
    `time=${new Date(record.time).toISOString()}`,
    `level=${record.level}`,
    `event=${formatValue(record.event)}`,
  ];
  const fields = Object.entries(record.fields).map(
    ([key, value]) => `${formatKey(key)}=${formatValue(value)}`,
  );
  return [...head, ...fields].join(' ');
}
