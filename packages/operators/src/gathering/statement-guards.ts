import {
  Comparison,
  LoadGrouping,
  type Condition,
  type ConditionValue,
  type Name,
  type Position,
  type Quantity,
  type Question,
  type QuestionStatement,
  type SortOrder,
} from '@peridotspring/language/text';

type Fields = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null;
}

function isOneOf<Value>(values: Readonly<Record<string, Value>>, value: unknown): value is Value {
  return Object.values(values).includes(value as Value);
}

function isPosition(value: unknown): value is Position {
  return isObject(value) && typeof value.line === 'number' && typeof value.column === 'number';
}

function isName(value: unknown): value is Name {
  return isObject(value) && typeof value.text === 'string' && isPosition(value.position);
}

function isQuantity(value: unknown): value is Quantity {
  return isObject(value) && typeof value.value === 'number' && isPosition(value.position);
}

function isConditionValue(value: unknown): value is ConditionValue {
  if (!isObject(value)) return false;
  switch (value.kind) {
    case 'duration':
      return typeof value.milliseconds === 'number';
    case 'number':
      return typeof value.value === 'number';
    case 'text':
      return typeof value.value === 'string';
    default:
      return false;
  }
}

function isCondition(value: unknown): value is Condition {
  if (!isObject(value) || !isName(value.field) || !isPosition(value.valuePosition)) return false;
  return isOneOf(Comparison, value.comparison) && isConditionValue(value.value);
}

function isOrder(value: unknown): value is SortOrder {
  return isObject(value) && isName(value.field) && typeof value.descending === 'boolean';
}

/** Whether nodes ask each other this question; the others are answered by the node that receives the query. */
function isGatheredQuestion(value: unknown): value is Question {
  if (!isObject(value)) return false;
  switch (value.kind) {
    case 'budgets':
    case 'homes':
    case 'platform':
    case 'requests':
    case 'revision':
    case 'tenants':
      return true;
    case 'load':
      return isOneOf(LoadGrouping, value.by);
    case 'refusals':
      return value.sinceMilliseconds === undefined || typeof value.sinceMilliseconds === 'number';
    case 'request':
      return typeof value.requestId === 'string';
    default:
      return false;
  }
}

/** Whether a value received from another node is a well-formed question that nodes ask each other. */
export function isGatheredStatement(value: unknown): value is QuestionStatement {
  if (!isObject(value) || value.kind !== 'question') return false;
  const { conditions, limit, order, question } = value;
  return (
    isGatheredQuestion(question) &&
    Array.isArray(conditions) &&
    conditions.every(isCondition) &&
    (order === undefined || isOrder(order)) &&
    (limit === undefined || isQuantity(limit))
  );
}
