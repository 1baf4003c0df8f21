import { markError } from '@peridotspring/language/text';

import type { MissingNode, NodeRevision } from './operator-backend.js';
import { FieldType, type RowValue } from './questions/rows.js';
import type { ChangeResult, InForceResult, QueryResult, RowsResult } from './results.js';

/** Prints integers in full, other numbers with four significant digits or, from 1,000, without a fraction. */
function formatNumber(value: number): string {
  if (Number.isInteger(value)) return String(value);
  return Math.abs(value) >= 1_000 ? value.toFixed(0) : String(Number(value.toPrecision(4)));
}

function renderCell(value: RowValue | undefined): string {
  if (value === null || value === undefined) return '-';
  if (typeof value === 'number') return formatNumber(value);
  // Callers and upstreams choose some of the names, so control characters must not reach the terminal.
  // eslint-disable-next-line no-control-regex
  return String(value).replace(/[\u0000-\u0009\u000b-\u001f\u007f-\u009f]/g, '?');
}

function formatCount(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

function renderGrid(lines: readonly (readonly string[])[], isNumber: readonly boolean[]): string {
  const widths = (lines[0] ?? []).map((_, column) =>
    lines.reduce((width, line) => Math.max(width, (line[column] ?? '').length), 0),
  );
  return lines
    .map((line) =>
      line
        .map((text, column) => {
          const width = widths[column] ?? 0;
          return isNumber[column] === true ? text.padStart(width) : text.padEnd(width);
        })
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function renderMissing(missing: readonly MissingNode[]): readonly string[] {
  return missing.map(
    ({ cause, server }) => `no answer from ${renderCell(server)}: ${renderCell(cause)}`,
  );
}

function renderLacking(lacking: readonly NodeRevision[], revision: number): readonly string[] {
  return lacking.map(
    (node) => `${renderCell(node.server)} has revision ${node.revision}, not ${revision}`,
  );
}

function renderRows(result: RowsResult): string {
  const header = result.fields.map(({ name }) => name);
  const isConfiguration = header.includes('declaration');
  const body = isConfiguration
    ? result.rows.map((row) => renderCell(row.declaration)).join('\n')
    : renderGrid(
        [
          header,
          ...result.rows.map((row) =>
            header.map((name) => renderCell(row[name]).replace(/\n/g, ' ')),
          ),
        ],
        result.fields.map(({ type }) => type === FieldType.Number),
      );
  const hidden = result.matched - result.rows.length;
  return [
    body,
    `${formatCount(result.rows.length, 'row')}, ${formatCount(result.answered, 'node')}, revision ${result.revision}`,
    // Each node sends no more rows than the limit, so more rows may match than this node received.
    ...(hidden > 0
      ? [`at least ${formatCount(hidden, 'more row')} match; raise the limit or add conditions`]
      : []),
    ...renderLacking(result.lacking, result.revision),
    ...renderMissing(result.missing),
  ].join('\n');
}

function renderOmittedCount(count: number, description: string): readonly string[] {
  return count > 0 ? [`${count} ${description}`] : [];
}

function renderInForce(result: InForceResult): string {
  const state = result.everywhere ? 'in force everywhere' : 'not in force everywhere yet';
  return [
    `revision ${result.revision}: ${state}`,
    ...renderLacking(result.lacking, result.revision),
    ...renderOmittedCount(result.lackingCount - result.lacking.length, 'more lack it'),
    ...renderMissing(result.missing),
    ...renderOmittedCount(result.missingCount - result.missing.length, 'more did not answer'),
  ].join('\n');
}

function renderChange(result: ChangeResult): string {
  const revision = result.revision === undefined ? '' : `, revision ${result.revision}`;
  const signs = { added: '+', removed: '-', reordered: '~' } as const;
  return [
    `${result.status}${revision}, change ${result.changeId}`,
    ...result.difference.map(
      ({ change, clause, object }) =>
        `${signs[change]} ${renderCell(object)}: ${renderCell(clause)}`,
    ),
    ...result.notes.map((note) => `note: ${renderCell(note)}`),
    ...(result.inForce === undefined ? [] : [renderInForce(result.inForce)]),
  ].join('\n');
}

/** Renders a result as text for a terminal. The text of the query is needed to mark errors in it. */
export function renderTable(result: QueryResult, text: string): string {
  switch (result.kind) {
    case 'rows':
      return renderRows(result);
    case 'change':
      return renderChange(result);
    case 'in-force':
      return renderInForce(result);
    case 'faults':
      return result.errors.map((error) => renderCell(markError(text, error))).join('\n');
  }
}
