/** An invalid field of a proposed configuration. */
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

type UnknownFields = Readonly<Record<string, unknown>>;

/** Whether the value is an object that is not an array. */
export function isPlainObject(value: unknown): value is UnknownFields {
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
  return [{ field, expected, found: describeValue(value) }];
}

/** Checks that the value is a string that matches a pattern. */
export function checkPattern(
  value: unknown,
  field: string,
  pattern: RegExp,
  expected: string,
): ConfigurationFault[] {
  if (typeof value === 'string' && pattern.test(value)) return [];
  return [{ field, expected, found: describeValue(value) }];
}

/** Checks that the value is true or false. */
export function checkBoolean(value: unknown, field: string): ConfigurationFault[] {
  if (typeof value === 'boolean') return [];
  return [{ field, expected: 'true or false', found: describeValue(value) }];
}

/** Checks that the value is a list of objects and checks each of them. */
export function checkList(
  value: unknown,
  field: string,
  maximum: number,
  check: (element: UnknownFields, field: string) => readonly ConfigurationFault[],
): ConfigurationFault[] {
  if (!Array.isArray(value) || value.length > maximum) {
    const found = Array.isArray(value) ? `${value.length} entries` : describeValue(value);
    return [{ field, expected: `a list of at most ${maximum} entries`, found }];
  }
  return value.flatMap((element: unknown, index) => {
    const at = `${field}[${index}]`;
    if (isPlainObject(element)) return check(element, at);
    return [{ field: at, expected: 'an object', found: describeValue(element) }];
  });
}

/** Checks that no two objects of a list have the same value of a field. */
export function checkUnique(value: unknown, field: string, key: string): ConfigurationFault[] {
  if (!Array.isArray(value)) return [];
  const seen = new Set<unknown>();
  for (const element of value as unknown[]) {
    const name = isPlainObject(element) ? element[key] : undefined;
    if (seen.has(name))
      return [{ field, expected: `each ${key} once`, found: describeValue(name) }];
    seen.add(name);
  }
  return [];
}

function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > 80 ? `${text.slice(0, 77)}...` : text;
}
