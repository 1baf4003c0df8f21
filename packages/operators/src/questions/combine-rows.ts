import type { Configuration } from '@peridotspring/core';
import type { Question } from '@peridotspring/language/text';

import { findService } from '../changes/find-service.js';
import type { Row } from './rows.js';

function numberOf(row: Row, field: string): number {
  const value = row[field];
  return typeof value === 'number' ? value : 0;
}

function textOf(row: Row, field: string): string {
  const value = row[field];
  return typeof value === 'string' ? value : '';
}

function sum(rows: readonly Row[], field: string): number {
  return rows.reduce((total, row) => total + numberOf(row, field), 0);
}

function maximum(rows: readonly Row[], field: string): number {
  return rows.reduce((highest, row) => Math.max(highest, numberOf(row, field)), 0);
}

/** Groups rows by the values of the given fields, sorted by those values. */
function groupBy(rows: readonly Row[], fields: readonly string[]): (readonly [Row, Row[]])[] {
  const groups = new Map<string, readonly [Row, Row[]]>();
  for (const row of rows) {
    const values = fields.map((field) => row[field] ?? null);
    const key = JSON.stringify(values);
    const group = groups.get(key);
    if (group !== undefined) {
      group[1].push(row);
      continue;
    }
    const names = Object.fromEntries(fields.map((field, index) => [field, values[index] ?? null]));
    groups.set(key, [names, [row]]);
  }
  return [...groups.entries()]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([, group]) => group);
}

function combineLoad(rows: readonly Row[], fields: readonly string[]): readonly Row[] {
  return groupBy(rows, fields).map(([names, members]) => {
    const limit = sum(members, 'limit');
    const inFlight = sum(members, 'in_flight');
    const queued = sum(members, 'queued');
    return {
      ...names,
      in_flight: inFlight,
      latency_ms: maximum(members, 'latency_ms'),
      limit,
      queued,
      servers: members.length,
      utilisation: limit === 0 ? null : Number(((inFlight + queued) / limit).toFixed(4)),
    };
  });
}

function combineUsage(rows: readonly Row[], fields: readonly string[]): readonly Row[] {
  return groupBy(rows, fields).map(([names, members]) => ({
    ...names,
    in_flight: sum(members, 'in_flight'),
    queued: sum(members, 'queued'),
  }));
}

function combineTenants(rows: readonly Row[], configuration: Configuration): readonly Row[] {
  // Declared tenants are also listed if they have no requests.
  const declared = Object.values(configuration.services).flatMap((service) =>
    service.tenants.map(({ tenant }) => ({
      in_flight: 0,
      queued: 0,
      service: service.name,
      tenant,
    })),
  );
  return combineUsage([...rows, ...declared], ['service', 'tenant']).map((row) => {
    const service = findService(configuration, textOf(row, 'service'));
    const share = service?.tenants.find(({ tenant }) => tenant === row.tenant);
    return { ...row, declared: share !== undefined, weight: share?.weight ?? 1 };
  });
}

function combineRefusals(rows: readonly Row[]): readonly Row[] {
  return groupBy(rows, ['service', 'outcome', 'reason'])
    .map(([names, members]): Row => ({
      ...names,
      count: sum(members, 'count'),
      last_at: members.map((row) => textOf(row, 'last_at')).reduce((a, b) => (a > b ? a : b)),
    }))
    .sort((left, right) => numberOf(right, 'count') - numberOf(left, 'count'));
}

/** Sorts rows by text fields, so that the result does not depend on the order in which nodes answer. */
function sortByTextFields(rows: readonly Row[], ...fields: readonly string[]): readonly Row[] {
  const keyOf = (row: Row): string => fields.map((field) => textOf(row, field)).join('\n');
  return [...rows].sort((left, right) => {
    const [leftKey, rightKey] = [keyOf(left), keyOf(right)];
    return leftKey === rightKey ? 0 : leftKey < rightKey ? -1 : 1;
  });
}

/** Combines the rows of all nodes into the rows of the answer. */
export function combineRows(
  question: Question,
  rows: readonly Row[],
  configuration: Configuration,
): readonly Row[] {
  switch (question.kind) {
    case 'load':
      if (question.by === 'tenant') return combineUsage(rows, ['tenant']);
      return combineLoad(
        rows,
        question.by === 'server' ? ['server', 'zone', 'service', 'state'] : [question.by],
      );
    case 'refusals':
      return combineRefusals(rows);
    case 'tenants':
      return combineTenants(rows, configuration);
    case 'revision':
      return sortByTextFields(rows, 'server').map((row) => ({
        ...row,
        in_force: numberOf(row, 'revision') >= configuration.revision,
      }));
    case 'request':
      return sortByTextFields(rows, 'at');
    case 'requests':
      // Newest first. The double reversal keeps the order of rows with equal times.
      return [...sortByTextFields([...rows].reverse(), 'at')].reverse();
    case 'budgets':
      return sortByTextFields(rows, 'server', 'budget', 'service');
    case 'homes':
      return sortByTextFields(rows, 'service', 'server');
    case 'members':
      return sortByTextFields(rows, 'zone', 'server');
    case 'platform':
      return sortByTextFields(rows, 'server');
    case 'change':
    case 'configuration':
    case 'key':
    case 'services':
      return rows;
  }
}
