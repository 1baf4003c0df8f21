import { createToken, Lexer, type TokenType } from 'chevrotain';

/** Names, keys, identifiers; may contain dots, colons and hyphens after the first character. */
export const Identifier = createToken({
  label: 'a name',
  name: 'Identifier',
  pattern: /[A-Za-z0-9_][A-Za-z0-9_.:-]*/,
});

const words = [
  'and',
  'ascending',
  'before',
  'begin',
  'body',
  'budget',
  'budgets',
  'by',
  'change',
  'commit',
  'configuration',
  'contains',
  'deadline',
  'declare',
  'default',
  'descending',
  'drain',
  'dry',
  'for',
  'hedging',
  'homes',
  'idempotent',
  'key',
  'limit',
  'load',
  'maximum',
  'members',
  'non-idempotent',
  'off',
  'on',
  'platform',
  'probe',
  'queue',
  'ramp',
  'ratio',
  'refusals',
  'remove',
  'request',
  'requests',
  'restore',
  'retry',
  'revision',
  'run',
  'server',
  'service',
  'services',
  'show',
  'since',
  'sort',
  'tenant',
  'tenant-in-flight',
  'tenants',
  'to',
  'up',
  'wait',
  'weight',
  'where',
  'zone',
] as const;

/** All words with a fixed meaning, for completion. */
export const keywords: readonly string[] = words;

/** A word with a fixed meaning. Every keyword may also be used as a name. */
export type Keyword = (typeof words)[number];

function createKeyword(word: Keyword): TokenType {
  return createToken({
    categories: Identifier,
    label: `\`${word}\``,
    longer_alt: Identifier,
    name: `Keyword:${word}`,
    pattern: word,
  });
}

/** The token of each keyword. */
export const keyword = Object.fromEntries(
  words.map((word) => [word, createKeyword(word)]),
) as Readonly<Record<Keyword, TokenType>>;

/** A number without a unit. */
export const NumberLiteral = createToken({
  label: 'a number',
  name: 'Number',
  pattern: /-?\d+(?:\.\d+)?(?![A-Za-z0-9_.:%-])/,
});

/** A share such as `1%`. */
export const Percentage = createToken({
  label: 'a percentage such as 1%',
  name: 'Percentage',
  pattern: /\d+(?:\.\d+)?%/,
});

/** A number with a unit of time. */
export const Duration = createToken({
  label: 'a duration such as 500ms, 2s, 10m or 1h',
  name: 'Duration',
  pattern: /\d+(?:\.\d+)?(?:ms|s|m|h|d)(?![A-Za-z0-9_.:-])/,
});

/** A text in double quotes on one line. */
export const StringLiteral = createToken({
  label: 'a text in double quotes',
  name: 'String',
  pattern: /"(?:[^"\\\r\n]|\\["\\])*"/,
});

/**
 * A quote whose text does not end on its line. Without this token the lexer would try again at each
 * further character of the line, which takes quadratic time.
 */
export const UnclosedText = createToken({
  label: 'a text that is not closed',
  name: 'UnclosedText',
  pattern: /"[^\r\n]*/,
});

/** Any comparison but `contains`. */
export const ComparisonSign = createToken({
  label: 'a comparison (=, !=, <, <=, >, >=)',
  name: 'Comparison',
  pattern: /!=|<=|>=|=|<|>/,
});

/** Ends a command inside a group, or a statement. */
export const Semicolon = createToken({ label: '`;`', name: 'Semicolon', pattern: ';' });

/** Stands for every HTTP method. */
export const Asterisk = createToken({ label: '`*`', name: 'Asterisk', pattern: '*' });

const Space = createToken({
  group: Lexer.SKIPPED,
  line_breaks: true,
  name: 'Space',
  pattern: /\s+/,
});

const Comment = createToken({ group: Lexer.SKIPPED, name: 'Comment', pattern: /#[^\r\n]*/ });

// A longer keyword has to be tried before its own prefix: `requests` before `request`.
const keywordsLongestFirst = [...words]
  .sort((left, right) => right.length - left.length)
  .map((word) => keyword[word]);

/** All tokens in the order in which the lexer tries them. */
export const allTokens: TokenType[] = [
  Space,
  Comment,
  Semicolon,
  Asterisk,
  ComparisonSign,
  StringLiteral,
  UnclosedText,
  Percentage,
  Duration,
  NumberLiteral,
  ...keywordsLongestFirst,
  Identifier,
];
