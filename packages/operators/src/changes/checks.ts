import {
  createLanguageError,
  type LanguageError,
  type Name,
  type Quantity,
} from '@peridotspring/language/text';

/** Range of a number in a service's configuration. */
export interface NumberRange {
  readonly field: string;
  readonly unit: string;
  readonly minimum: number;
  readonly maximum: number;
  /** Whether fractions are refused. */
  readonly integer?: boolean;
}

function range(field: string, unit: string, minimum: number, maximum: number): NumberRange {
  return { field, maximum, minimum, unit };
}

function integers(field: string, unit: string, minimum: number, maximum: number): NumberRange {
  return { field, integer: true, maximum, minimum, unit };
}

/** Ranges of every number that an operator can set. */
export const ranges = {
  // The entry refuses longer deadlines, so that no request outlives the lease of its key by minutes.
  defaultDeadline: range('deadline default', 'ms', 1, 60_000),
  maximumDeadline: range('deadline maximum', 'ms', 1, 60_000),
  // Above the slot-time share of 0.1 measuring would take more than a slot in ten.
  probeBudget: range('probe budget', 'of the slot-time', 0, 0.1),
  body: integers('body maximum', 'bytes', 0, 1_073_741_824),
  // Waiting requests hold their bodies in the server's memory.
  queue: integers('queue maximum', 'requests at a server', 0, 1_000),
  tenantInFlight: integers('tenant-in-flight maximum', 'requests at a server', 1, 10_000),
  ramp: range('ramp', 'ms', 0, 600_000),
  // A ratio above 1 lets retries outnumber successes and amplifies an overload.
  retryBudgetRatio: range('retry budget ratio', 'tokens per success', 0, 1),
  retryBudgetMaximum: range('retry budget maximum', 'tokens', 0, 1_000),
  weight: range('weight', 'relative to other tenants', 0.001, 1_000),
} as const;

/** Bounds that keep a service's value below the platform's 1 MB and its root page small. */
export const maximumRequestKinds = 300;
/** Tenants of a service with a weight. */
export const maximumTenants = 1_000;
/** Characters of a path prefix. */
export const maximumPathPrefixLength = 512;

/** Form of a name, with its description for errors. */
export interface NameForm {
  readonly field: string;
  readonly pattern: RegExp;
  readonly description: string;
}

/** Forms of every name that an operator can set. */
export const nameForms = {
  // A service is a segment of the caller's URL and of the store's keys.
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
} as const satisfies Readonly<Record<string, NameForm>>;

/** Checks a number against its range. */
export function checkRange(quantity: Quantity, allowed: NumberRange): readonly LanguageError[] {
  const { value } = quantity;
  const isWhole = allowed.integer !== true || Number.isInteger(value);
  if (isWhole && value >= allowed.minimum && value <= allowed.maximum) return [];
  const noun = allowed.integer === true ? 'a whole number' : 'a value';
  return [
    createLanguageError({
      ...quantity.position,
      expected: [`${noun} from ${allowed.minimum} to ${allowed.maximum} ${allowed.unit}`],
      found: `${allowed.field} ${quantity.value}`,
    }),
  ];
}

/** Checks a name against its form. */
export function checkName(name: Name, form: NameForm): readonly LanguageError[] {
  if (form.pattern.test(name.text)) return [];
  return [
    createLanguageError({
      ...name.position,
      expected: [form.description],
      found: `${form.field} ${JSON.stringify(name.text)}`,
    }),
  ];
}

/** A fault in what a name refers to. */
export function referenceFault(name: Name, found: string, expected: string): LanguageError {
  return createLanguageError({ ...name.position, expected: [expected], found });
}
