/** A field of a proposed configuration that is not acceptable. */
export interface ConfigurationFault {
  /** Path of the field, for example `services.provenance.rampMilliseconds`. */
  readonly field: string;
  /** What is accepted, with its range and unit. */
  readonly expected: string;
  readonly found: string;
}

/** An inclusive range of numbers. */
export interface NumberRange {
  readonly minimum: number;
  readonly maximum: number;
  readonly integer: boolean;
}

type Fields = Readonly<Record<string, unknown>>;

/** Whether the value is an object and no list. */
export function isRecord(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Checks that the value is a number within a range. */
export function checkNumber(
  value: unknown,
  field: string,
  range: NumberRange,
): ConfigurationFault[] {
  const isInRange =
    typeof value === 'number' &&
    value >= range.minimum &&
    value <= range.maximum &&
    (!range.integer || Number.isInteger(value));
  if (isInRange) return [];
  const noun = range.integer ? 'an integer' : 'a number';
  const expected = `${noun} from ${range.minimum} to ${range.maximum}`;
  return [{ field, expected, found: describe(value) }];
}

/** Checks that the value is text of a given form. */
export function checkPattern(
  value: unknown,
  field: string,
  pattern: RegExp,
  expected: string,
): ConfigurationFault[] {
  if (typeof value === 'string' && pattern.test(value)) return [];
  return [{ field, expected, found: describe(value) }];
}

/** Checks that the value is true or false. */
export function checkBoolean(value: unknown, field: string): ConfigurationFault[] {
  if (typeof value === 'boolean') return [];
  return [{ field, expected: 'true or false', found: describe(value) }];
}

/** Checks that the value is a list of objects and checks each of them. */
export function checkList(
  value: unknown,
  field: string,
  maximum: number,
  check: (element: Fields, field: string) => readonly ConfigurationFault[],
): ConfigurationFault[] {
  if (!Array.isArray(value) || value.length > maximum) {
    const found = Array.isArray(value) ? `${value.length} entries` : describe(value);
    return [{ field, expected: `a list of at most ${maximum} entries`, found }];
  }
  return value.flatMap((element: unknown, index) => {
    const at = `${field}[${index}]`;
    if (isRecord(element)) return check(element, at);
    return [{ field: at, expected: 'an object', found: describe(element) }];
  });
}

/** Checks that no two objects of a list share the value of a field. */
export function checkUnique(value: unknown, field: string, key: string): ConfigurationFault[] {
  if (!Array.isArray(value)) return [];
  const seen = new Set<unknown>();
  for (const element of value as unknown[]) {
    const name = isRecord(element) ? element[key] : undefined;
    if (seen.has(name)) return [{ field, expected: `each ${key} once`, found: describe(name) }];
    seen.add(name);
  }
  return [];
}

function describe(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > 80 ? `${text.slice(0, 77)}...` : text;
}
