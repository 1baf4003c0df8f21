import {
  createLanguageError,
  type Comparison,
  type Condition,
  type LanguageError,
  type Name,
  type QuestionStatement,
} from '@peridotspring/language/text';

import { fieldsOf } from './fields.js';
import { FieldType, FieldUnit, type FieldDefinition, type Row, type RowValue } from './rows.js';

/** Maximum number of rows in an answer; a larger `limit` is an error. */
export const maximumLimit = 10_000;
/** Number of rows returned for a question without `limit`. */
export const defaultLimit = 1_000;

/** The rows that a question selects. */
export interface SelectedRows {
  readonly rows: readonly Row[];
  /** Number of rows that fulfil the conditions, including those cut off by the limit. */
  readonly matched: number;
}

function findFieldDefinition(
  statement: QuestionStatement,
  name: string,
): FieldDefinition | undefined {
  return fieldsOf(statement.question).find((field) => field.name === name);
}

function createUnknownFieldError(statement: QuestionStatement, field: Name): LanguageError {
  return createLanguageError({
    ...field.position,
    expected: fieldsOf(statement.question).map(({ name }) => `\`${name}\``),
    found: `the field \`${field.text}\``,
  });
}

function convertValue(condition: Condition, field: FieldDefinition): RowValue {
  const { value } = condition;
  if (field.type === FieldType.Text) return value.kind === 'text' ? value.value : null;
  if (field.type === FieldType.Boolean) {
    if (value.kind !== 'text') return null;
    return value.value === 'true' ? true : value.value === 'false' ? false : null;
  }
  if (value.kind === 'number') return value.value;
  if (value.kind === 'text') return null;
  if (field.unit === FieldUnit.Milliseconds) return value.milliseconds;
  return field.unit === FieldUnit.Seconds ? value.milliseconds / 1_000 : null;
}

function expectedValue(field: FieldDefinition): string {
  if (field.type === FieldType.Boolean) return '`true` or `false`';
  if (field.type === FieldType.Text) return 'a word or a text in double quotes';
  const hasTime = field.unit === FieldUnit.Milliseconds || field.unit === FieldUnit.Seconds;
  return hasTime ? 'a number or a duration' : 'a number';
}

function checkCondition(statement: QuestionStatement, condition: Condition): LanguageError[] {
  const field = findFieldDefinition(statement, condition.field.text);
  if (field === undefined) return [createUnknownFieldError(statement, condition.field)];
  if (condition.comparison === 'contains' && field.type !== FieldType.Text) {
    return [
      createLanguageError({
        ...condition.field.position,
        expected: ['a text field before `contains`'],
        found: `the ${field.type} field \`${field.name}\``,
      }),
    ];
  }
  if (convertValue(condition, field) !== null) return [];
  return [
    createLanguageError({
      ...condition.valuePosition,
      expected: [`${expectedValue(field)} for the field \`${field.name}\``],
      found: `a ${condition.value.kind}`,
    }),
  ];
}

function isAllowedLimit(limit: number): boolean {
  return Number.isInteger(limit) && limit >= 1 && limit <= maximumLimit;
}

/** Checks the fields, the values and the limit in a question. */
export function checkQuestion(statement: QuestionStatement): readonly LanguageError[] {
  const errors = statement.conditions.flatMap((condition) => checkCondition(statement, condition));
  const { limit, order } = statement;
  if (order !== undefined && findFieldDefinition(statement, order.field.text) === undefined) {
    errors.push(createUnknownFieldError(statement, order.field));
  }
  if (limit !== undefined && !isAllowedLimit(limit.value)) {
    errors.push(
      createLanguageError({
        ...limit.position,
        expected: [`a whole number from 1 to ${maximumLimit}`],
        found: `limit ${limit.value}`,
      }),
    );
  }
  return errors;
}

function compareValues(left: RowValue, right: RowValue): number {
  if (left === right) return 0;
  if (left === null) return -1;
  if (right === null) return 1;
  return left < right ? -1 : 1;
}

function satisfies(value: RowValue, comparison: Comparison, wanted: RowValue): boolean {
  if (value === null) return comparison === '!=';
  switch (comparison) {
    case 'contains':
      return String(value).includes(String(wanted));
    case '=':
      return value === wanted;
    case '!=':
      return value !== wanted;
    case '<':
      return compareValues(value, wanted) < 0;
    case '<=':
      return compareValues(value, wanted) <= 0;
    case '>':
      return compareValues(value, wanted) > 0;
    case '>=':
      return compareValues(value, wanted) >= 0;
  }
}

function matches(statement: QuestionStatement, row: Row): boolean {
  return statement.conditions.every((condition) => {
    const field = findFieldDefinition(statement, condition.field.text);
    if (field === undefined) return false;
    return satisfies(row[field.name] ?? null, condition.comparison, convertValue(condition, field));
  });
}

/** Filters, sorts and limits rows. The statement must have passed `checkQuestion`. */
export function selectRows(statement: QuestionStatement, rows: readonly Row[]): SelectedRows {
  const matching = rows.filter((row) => matches(statement, row));
  const { order } = statement;
  if (order !== undefined) {
    const sign = order.descending ? -1 : 1;
    const name = order.field.text;
    matching.sort((left, right) => sign * compareValues(left[name] ?? null, right[name] ?? null));
  }
  return {
    matched: matching.length,
    rows: matching.slice(0, statement.limit?.value ?? defaultLimit),
  };
}
