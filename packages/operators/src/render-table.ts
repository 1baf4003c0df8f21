import { markError } from '@peridotspring/language';

import type { MissingNode, NodeRevision } from './operator-backend.js';
import type { RowValue } from './questions/rows.js';
import type { ChangeResult, InForceResult, QueryResult, RowsResult } from './results.js';

function cell(value: RowValue | undefined): string {
  if (value === null || value === undefined) return '-';
  // Names come from callers and upstreams, so control characters must not reach the terminal.
  // eslint-disable-next-line no-control-regex
  return String(value).replace(/[\u0000-\u0009\u000b-\u001f\u007f-\u009f]/g, '?');
}

function renderGrid(lines: readonly (readonly string[])[]): string {
  const widths = (lines[0] ?? []).map((_, column) =>
    lines.reduce((width, line) => Math.max(width, (line[column] ?? '').length), 0),
  );
  return lines
    .map((line) =>
      line
        .map((text, column) => text.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function renderMissing(missing: readonly MissingNode[]): readonly string[] {
  return missing.map(({ cause, server }) => `no answer from ${cell(server)}: ${cell(cause)}`);
}

function renderLacking(lacking: readonly NodeRevision[], revision: number): readonly string[] {
  return lacking.map(
    (node) => `${cell(node.server)} has revision ${node.revision}, not ${revision}`,
  );
}

function renderRows(result: RowsResult): string {
  const header = result.fields.map(({ name }) => name);
  const isConfiguration = header.includes('declaration');
  const body = isConfiguration
    ? result.rows.map((row) => cell(row.declaration)).join('\n')
    : renderGrid([
        header,
        ...result.rows.map((row) => header.map((name) => cell(row[name]).replace(/\n/g, ' '))),
      ]);
  const hidden = result.matched - result.rows.length;
  return [
    body,
    `${result.rows.length} rows, ${result.answered} nodes, revision ${result.revision}`,
    ...(hidden > 0 ? [`${hidden} more rows match; raise the limit or add conditions`] : []),
    ...renderLacking(result.lacking, result.revision),
    ...renderMissing(result.missing),
  ].join('\n');
}

function renderInForce(result: InForceResult): string {
  const state = result.everywhere ? 'in force everywhere' : 'not in force everywhere yet';
  return [
    `revision ${result.revision}: ${state}`,
    ...renderLacking(result.lacking, result.revision),
    ...renderMissing(result.missing),
  ].join('\n');
}

function renderChange(result: ChangeResult): string {
  const revision = result.revision === undefined ? '' : `, revision ${result.revision}`;
  const signs = { added: '+', removed: '-', reordered: '~' } as const;
  return [
    `${result.status}${revision}, change ${result.changeId}`,
    ...result.difference.map(
      ({ change, clause, object }) => `${signs[change]} ${cell(object)}: ${cell(clause)}`,
    ),
    ...result.notes.map((note) => `note: ${cell(note)}`),
    ...(result.inForce === undefined ? [] : [renderInForce(result.inForce)]),
  ].join('\n');
}

/** Renders a result as text for a terminal; the text of the query is needed to mark faults in it. */
export function renderTable(result: QueryResult, text: string): string {
  switch (result.kind) {
    case 'rows':
      return renderRows(result);
    case 'change':
      return renderChange(result);
    case 'in-force':
      return renderInForce(result);
    case 'faults':
      return result.errors.map((error) => cell(markError(text, error))).join('\n');
  }
}
