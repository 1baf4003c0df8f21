import {
  createLanguageError,
  type LanguageError,
  type Name,
  type Quantity,
} from '@peridotspring/language/text';

/** Allowed range of a number in the configuration of a service. */
export interface NumberRange {
  readonly field: string;
  readonly unit: string;
  readonly minimum: number;
  readonly maximum: number;
  /** Whether the number has to be an integer. */
  readonly isInteger?: boolean;
}

function range(field: string, unit: string, minimum: number, maximum: number): NumberRange {
  return { field, maximum, minimum, unit };
}

function integerRange(field: string, unit: string, minimum: number, maximum: number): NumberRange {
  return { field, isInteger: true, maximum, minimum, unit };
}

/** Allowed ranges of all numbers that an operator can set. */
export const ranges = {
  // The entry refuses longer deadlines, so that no request outlives the lease on its key by minutes.
  defaultDeadline: range('deadline default', 'ms', 1, 60_000),
  maximumDeadline: range('deadline maximum', 'ms', 1, 60_000),
  // Above a share of 0.1, probes would use more than one slot in ten.
  probeBudget: range('probe budget', 'of the slot-time', 0, 0.1),
  body: integerRange('body maximum', 'bytes', 0, 1_073_741_824),
  // Queued requests hold their bodies in the memory of the server.
  queue: integerRange('queue maximum', 'requests at a server', 0, 1_000),
  tenantInFlight: integerRange('tenant-in-flight maximum', 'requests at a server', 1, 10_000),
  ramp: range('ramp', 'ms', 0, 600_000),
  // With a ratio above 1, retries could outnumber successes and would amplify an overload.
  retryBudgetRatio: range('retry budget ratio', 'tokens per success', 0, 1),
  retryBudgetMaximum: range('retry budget maximum', 'tokens', 0, 1_000),
  weight: range('weight', 'relative to other tenants', 0.001, 1_000),
} as const;

/**
 * Limit of the request kinds of a service. Together with the limits below, it keeps the stored service
 * below the store's 1 MB for a value, and the root page small.
 */
export const maximumRequestKinds = 300;
/** Limit of the tenants with a weight in a service. */
export const maximumTenants = 1_000;
/** Limit of the length of a path prefix, in characters. */
export const maximumPathPrefixLength = 512;

/** Pattern that a name has to match, and its description for error messages. */
export interface NamePattern {
  readonly field: string;
  readonly pattern: RegExp;
  readonly description: string;
}

/** Patterns of all names that an operator can set. */
export const namePatterns = {
  // The service name is a segment of the URLs of callers and of keys in the store.
  service: {
    description: '1 to 63 letters, digits and hyphens, starting with a letter or a digit',
    field: 'service name',
    pattern: /^[A-Za-z0-9][A-Za-z0-9-]{0,62}$/,
  },
  server: {
    description: '1 to 128 letters, digits, dots, colons, underscores and hyphens',
    field: 'server or zone name',
    pattern: /^[A-Za-z0-9_.:-]{1,128}$/,
  },
  method: {
    description: 'an HTTP method in capital letters or `*`',
    field: 'method',
    pattern: /^(?:[A-Z]{1,20}|\*)$/,
  },
  requestName: {
    description: '1 to 64 letters, digits, dots, underscores and hyphens',
    field: 'request name',
    pattern: /^[A-Za-z0-9_.-]{1,64}$/,
  },
  pathPrefix: {
    description: `a path that starts with / and has at most ${maximumPathPrefixLength} visible ASCII characters`,
    field: 'path prefix',
    pattern: /^\/[\x21-\x7e]{0,511}$/,
  },
  tenant: {
    description: '1 to 128 visible ASCII characters',
    field: 'tenant name',
    pattern: /^[\x21-\x7e]{1,128}$/,
  },
} as const satisfies Readonly<Record<string, NamePattern>>;

/** Checks a number against its range. */
export function checkRange(quantity: Quantity, allowed: NumberRange): readonly LanguageError[] {
  const { value } = quantity;
  const isWhole = allowed.isInteger !== true || Number.isInteger(value);
  if (isWhole && value >= allowed.minimum && value <= allowed.maximum) return [];
  const noun = allowed.isInteger === true ? 'a whole number' : 'a value';
  return [
    createLanguageError({
      ...quantity.position,
      expected: [`${noun} from ${allowed.minimum} to ${allowed.maximum} ${allowed.unit}`],
      found: `${allowed.field} ${quantity.value}`,
    }),
  ];
}

/** Checks a name against its pattern. */
export function checkName(name: Name, namePattern: NamePattern): readonly LanguageError[] {
  if (namePattern.pattern.test(name.text)) return [];
  return [
    createLanguageError({
      ...name.position,
      expected: [namePattern.description],
      found: `${namePattern.field} ${JSON.stringify(name.text)}`,
    }),
  ];
}

/** Creates an error about the object that a name refers to. */
export function createReferenceError(name: Name, found: string, expected: string): LanguageError {
  return createLanguageError({ ...name.position, expected: [expected], found });
}
