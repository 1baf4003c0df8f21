import {
  EOF,
  Lexer,
  tokenMatcher,
  type ILexingError,
  type IToken,
  type TokenType,
} from 'chevrotain';

import { createLanguageError, type LanguageError } from './language-error.js';
import { StatementGrammar } from './statement-grammar.js';
import type { Position, Statement } from './syntax-tree.js';
import { positionOf } from './token-values.js';
import { allTokens, UnclosedText } from './tokens.js';

/** Longest text that is parsed; a declaration of 300 request kinds stays below it. */
export const maximumTextLength = 262_144;

/** The statement of a text, or its faults. */
export type ParseResult =
  | { readonly kind: 'parsed'; readonly statement: Statement }
  | { readonly kind: 'faulty'; readonly errors: readonly LanguageError[] };

/** Errors that are reported at once; a text of another kind would fill the answer with them. */
const maximumErrors = 10;

const lexer = new Lexer(allTokens, { positionTracking: 'full' });
const grammar = new StatementGrammar();

/** Content assist walks the grammar again from the start, so only a bounded prefix is given to it. */
const maximumAssistedTokens = 2_000;

function endOf(text: string): Position {
  const lines = text.trimEnd().split(/\r\n|\r|\n/);
  return { column: (lines.at(-1)?.length ?? 0) + 1, line: lines.length };
}

function nextTokenTypes(tokens: readonly IToken[]): readonly TokenType[] {
  const paths = grammar.computeContentAssist('statement', [...tokens]);
  return [...new Set(paths.map((path) => path.nextTokenType))];
}

function labelsOf(types: readonly TokenType[]): readonly string[] {
  const labels = types.map((type) => (type === EOF ? 'the end' : (type.LABEL ?? type.name)));
  return [...new Set(labels)];
}

function unclosedText(token: IToken): LanguageError {
  return createLanguageError({
    ...positionOf(token),
    expected: ['a text that ends with a quote on the same line; only \\" and \\\\ are escapes'],
    found: 'a text that is not closed',
  });
}

function lexingError(text: string, error: ILexingError): LanguageError {
  return createLanguageError({
    column: error.column ?? 1,
    expected: ['a word, a number, a duration or a text in double quotes'],
    found: JSON.stringify(text.charAt(error.offset)),
    line: error.line ?? 1,
  });
}

/** Finds the first token that can't follow the ones before it, at or after the reported one. */
function parsingError(
  text: string,
  tokens: readonly IToken[],
  reported: number,
): LanguageError | undefined {
  for (let index = reported; index <= tokens.length; index += 1) {
    const expected = nextTokenTypes(tokens.slice(0, index));
    const token = tokens[index];
    if (token !== undefined && expected.some((type) => tokenMatcher(token, type))) continue;
    return createLanguageError({
      ...(token === undefined ? endOf(text) : positionOf(token)),
      expected: labelsOf(expected),
      found: token === undefined ? 'the end' : `\`${token.image}\``,
    });
  }
  return undefined;
}

function describeFault(text: string, tokens: readonly IToken[], token: IToken): LanguageError {
  const index = tokens.indexOf(token);
  const reported = index < 0 ? tokens.length : index;
  const isBounded = reported <= maximumAssistedTokens;
  const precise = isBounded ? parsingError(text, tokens, reported) : undefined;
  return (
    precise ??
    createLanguageError({
      ...(index < 0 ? endOf(text) : positionOf(token)),
      expected: ['another word here'],
      found: index < 0 ? 'the end' : `\`${token.image}\``,
    })
  );
}

/** Parses one statement. */
export function parseStatement(text: string): ParseResult {
  if (text.length > maximumTextLength) {
    const error = createLanguageError({
      column: 1,
      expected: [`at most ${maximumTextLength} characters`],
      found: `${text.length} characters`,
      line: 1,
    });
    return { errors: [error], kind: 'faulty' };
  }
  const { errors: lexingErrors, tokens } = lexer.tokenize(text);
  const faults = [
    ...tokens.filter(({ tokenType }) => tokenType === UnclosedText).map(unclosedText),
    ...lexingErrors.map((error) => lexingError(text, error)),
  ];
  if (faults.length > 0) return { errors: faults.slice(0, maximumErrors), kind: 'faulty' };
  grammar.input = tokens;
  const statement = grammar.statement();
  const fault = grammar.errors[0];
  if (fault !== undefined) {
    return { errors: [describeFault(text, tokens, fault.token)], kind: 'faulty' };
  }
  return { kind: 'parsed', statement };
}
