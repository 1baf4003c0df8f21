import { z } from 'zod';

/** Definition of a setting: how its text is parsed, and its documentation for operators. */
export interface SettingDefinition<Value> {
  /** Parses the text of a flag or of an environment variable. */
  readonly schema: z.ZodType<Value>;
  /** Text that is parsed when the setting is not given; undefined makes the setting required. */
  readonly defaultText: string | undefined;
  readonly unit: string;
  readonly range: string;
  readonly documentation: string;
  /** The values of secrets are never printed. */
  readonly isSecret: boolean;
}

interface SettingDescription {
  readonly documentation: string;
  readonly default?: string;
}

/** Defines a setting for an integer with a unit and a range. */
export function wholeNumber(
  unit: string,
  minimum: number,
  maximum: number,
  { default: defaultText, documentation }: SettingDescription,
): SettingDefinition<number> {
  const range = `${minimum} to ${maximum}`;
  const errorMessage = `must be a whole number of ${unit} from ${range}`;
  return {
    defaultText,
    documentation,
    isSecret: false,
    range,
    schema: z
      .string()
      .regex(/^\d{1,15}$/, errorMessage)
      .transform(Number)
      .refine((value) => value >= minimum && value <= maximum, errorMessage),
    unit,
  };
}

/**
 * Defines a setting for a name of at most 128 characters that is safe in addresses, keys and logs.
 */
export function nameText(description: SettingDescription): SettingDefinition<string> {
  const range = '1 to 128 letters, digits, dots, underscores and hyphens';
  return {
    defaultText: description.default,
    documentation: description.documentation,
    isSecret: false,
    range,
    schema: z.string().regex(/^[A-Za-z0-9_.-]{1,128}$/, `must have ${range}`),
    unit: 'name',
  };
}

/** Parsed form of `host:port`. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

const addressPattern = /^(?:\[([0-9A-Fa-f:.]{2,45})\]|([A-Za-z0-9.-]{1,253})):(\d{1,5})$/;

function parseAddress(text: string): HostAndPort | undefined {
  const [, ipv6, name, port] = addressPattern.exec(text) ?? [];
  const host = ipv6 ?? name;
  const number = Number(port);
  if (host === undefined || !(number >= 0 && number <= 65_535)) return undefined;
  return { host, port: number };
}

const addressSchema = z.string().transform((text, context): HostAndPort => {
  const address = parseAddress(text);
  if (address !== undefined) return address;
  context.addIssue({
    code: 'custom',
    message: 'must be host:port with a port from 0 to 65535, and IPv6 addresses in brackets',
  });
  return z.NEVER;
});

/** Defines a setting for a required address, or one with a default, in the form `host:port`. */
export function address(description: SettingDescription): SettingDefinition<HostAndPort> {
  return {
    defaultText: description.default,
    documentation: description.documentation,
    isSecret: false,
    range: 'port 0 to 65535; IPv6 addresses in brackets',
    schema: addressSchema,
    unit: 'host:port',
  };
}

/** Defines a setting for an optional address in the form `host:port`. */
export function optionalAddress(documentation: string): SettingDefinition<HostAndPort | undefined> {
  return {
    ...address({ documentation }),
    defaultText: '',
    schema: z.union([z.literal('').transform(() => undefined), addressSchema]),
  };
}

const secretPattern = /^[\x21-\x7e]{16,256}$/;
const secretRange = '16 to 256 visible ASCII characters';

/** Defines a setting for a required secret. */
export function secret(documentation: string): SettingDefinition<string> {
  return {
    defaultText: undefined,
    documentation,
    isSecret: true,
    range: secretRange,
    schema: z.string().regex(secretPattern, `must have ${secretRange}`),
    unit: 'secret',
  };
}

/** Defines a setting for an optional secret. */
export function optionalSecret(documentation: string): SettingDefinition<string | undefined> {
  return {
    ...secret(documentation),
    defaultText: '',
    schema: z
      .string()
      .refine((text) => text === '' || secretPattern.test(text), `must have ${secretRange}`)
      .transform((text) => (text === '' ? undefined : text)),
  };
}

/** Defines a setting whose value is one of a list of words. */
export function choice<Word extends string>(
  words: readonly [Word, ...Word[]],
  description: SettingDescription,
): SettingDefinition<Word> {
  return {
    defaultText: description.default,
    documentation: description.documentation,
    isSecret: false,
    range: words.join(', '),
    schema: z.enum(words, `must be one of ${words.join(', ')}`),
    unit: 'word',
  };
}
