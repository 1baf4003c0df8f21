import { randomUUID } from 'node:crypto';

import type { ChangeStatement, QuestionStatement } from '@peridotspring/language/text';

import { ChangeRunner } from './changes/change-runner.js';
import { waitInForce } from './changes/wait-in-force.js';
import type { GatheredRows, OperatorBackend } from './operator-backend.js';
import { revisionQuestion, type NodeQuestion } from './gathering/node-question.js';
import type { StatementParser } from './parsing/statement-parser.js';
import { combineRows } from './questions/combine-rows.js';
import { fieldsOf } from './questions/fields.js';
import { checkQuestion, selectRows } from './questions/select-rows.js';
import type { ChangeResult, InvalidQueryResult, QueryResult, RowsResult } from './results.js';

/** Time within which other nodes have to answer a question. */
export const gatherDeadlineMilliseconds = 2_000;

/** A query of an operator. */
export interface Query {
  readonly text: string;
  /** Identifier that the client chose for a change, to look up its result if the response is lost. */
  readonly changeId?: string | undefined;
}

const emptyGatheredRows: GatheredRows = { missing: [], revisions: [], rows: [] };

/** The question to ask other nodes; undefined if this node can answer alone. */
function questionForPeers(statement: QuestionStatement, text: string): NodeQuestion | undefined {
  switch (statement.question.kind) {
    case 'change':
    case 'key':
    case 'members':
    case 'services':
      return undefined;
    case 'configuration':
      return revisionQuestion;
    case 'budgets':
    case 'homes':
    case 'load':
    case 'platform':
    case 'refusals':
    case 'request':
    case 'requests':
    case 'revision':
    case 'tenants':
      return { statement, text };
  }
}

/** Parses queries in the operator language and runs them against a backend. */
export class QueryRunner {
  private readonly changes: ChangeRunner;

  public constructor(
    private readonly backend: OperatorBackend,
    private readonly parser: StatementParser,
  ) {
    this.changes = new ChangeRunner(backend);
  }

  public async run(query: Query): Promise<QueryResult> {
    const parsed = await this.parser.parse(query.text);
    if (parsed.kind === 'faulty') return { errors: parsed.errors, kind: 'faults' };
    const { statement } = parsed;
    switch (statement.kind) {
      case 'question':
        return this.answerQuestion(statement, query.text);
      case 'change':
        return this.runChange(statement, query);
      case 'wait': {
        const revision = statement.revision ?? this.backend.configuration().revision;
        return waitInForce(this.backend, revision, statement.upToMilliseconds);
      }
    }
  }

  private async answerQuestion(
    statement: QuestionStatement,
    text: string,
  ): Promise<InvalidQueryResult | RowsResult> {
    const errors = checkQuestion(statement);
    if (errors.length > 0) return { errors, kind: 'faults' };
    const { question } = statement;
    const [own, gathered] = await Promise.all([
      question.kind === 'change'
        ? this.changes.rowsOfChange(question.changeId)
        : this.backend.localRows(question),
      this.gather(statement, text),
    ]);
    const configuration = this.backend.configuration();
    const others = question.kind === 'configuration' ? [] : gathered.rows;
    const combined = combineRows(question, [...own, ...others], configuration);
    const isAboutRevision = question.kind === 'configuration' || question.kind === 'revision';
    const { revision } = configuration;
    return {
      ...selectRows(statement, combined),
      answered: gathered.revisions.length + 1,
      fields: fieldsOf(question),
      kind: 'rows',
      lacking: isAboutRevision ? gathered.revisions.filter((node) => node.revision < revision) : [],
      missing: gathered.missing,
      revision,
    };
  }

  private gather(statement: QuestionStatement, text: string): Promise<GatheredRows> {
    const gathered = questionForPeers(statement, text);
    if (gathered === undefined) return Promise.resolve(emptyGatheredRows);
    return this.backend.gather(gathered, { deadlineMilliseconds: gatherDeadlineMilliseconds });
  }

  private async runChange(
    statement: ChangeStatement,
    query: Query,
  ): Promise<ChangeResult | InvalidQueryResult> {
    const changeId = query.changeId ?? randomUUID();
    const result = await this.changes.run({ changeId, statement, text: query.text });
    const { wait } = statement;
    if (wait === undefined || result.kind === 'faults' || result.revision === undefined) {
      return result;
    }
    if (result.status !== 'accepted' && result.status !== 'unchanged') return result;
    const { upToMilliseconds } = wait;
    return {
      ...result,
      inForce: await waitInForce(this.backend, result.revision, upToMilliseconds),
    };
  }
}
