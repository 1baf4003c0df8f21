import {
  Comparison,
  LoadGrouping,
  type Condition,
  type Quantity,
  type Question,
  type QuestionStatement,
  type SortOrder,
} from './syntax-tree.js';
import type { TokenType } from 'chevrotain';

import { ComparisonSign, keyword, Semicolon } from './tokens.js';
import { ValueGrammar } from './value-grammar.js';

/** Rules for questions: `show … where … sort by … limit …`. */
export abstract class QuestionGrammar extends ValueGrammar {
  private readonly loadGrouping = this.RULE('loadGrouping', (): LoadGrouping =>
    this.OR<LoadGrouping>([
      this.wordFor(keyword.service, LoadGrouping.Service),
      this.wordFor(keyword.zone, LoadGrouping.Zone),
      this.wordFor(keyword.server, LoadGrouping.Server),
      this.wordFor(keyword.tenant, LoadGrouping.Tenant),
    ]),
  );

  private readonly simpleQuestion = this.RULE('simpleQuestion', (): Question =>
    this.OR<Question>([
      this.wordFor(keyword.configuration, { kind: 'configuration' as const }),
      this.wordFor(keyword.services, { kind: 'services' as const }),
      this.wordFor(keyword.homes, { kind: 'homes' as const }),
      this.wordFor(keyword.tenants, { kind: 'tenants' as const }),
      this.wordFor(keyword.members, { kind: 'members' as const }),
      this.wordFor(keyword.requests, { kind: 'requests' as const }),
      this.wordFor(keyword.budgets, { kind: 'budgets' as const }),
      this.wordFor(keyword.platform, { kind: 'platform' as const }),
      this.wordFor(keyword.revision, { kind: 'revision' as const }),
    ]),
  );

  private readonly loadQuestion = this.RULE('loadQuestion', (): Question => {
    this.CONSUME(keyword.load);
    this.CONSUME(keyword.by);
    return { by: this.SUBRULE(this.loadGrouping), kind: 'load' };
  });

  private readonly refusalsQuestion = this.RULE('refusalsQuestion', (): Question => {
    this.CONSUME(keyword.refusals);
    const sinceMilliseconds = this.OPTION(() => {
      this.CONSUME(keyword.since);
      return this.SUBRULE(this.duration).value;
    });
    return { kind: 'refusals', sinceMilliseconds };
  });

  private readonly requestQuestion = this.RULE('requestQuestion', (): Question => {
    this.CONSUME(keyword.request);
    return { kind: 'request', requestId: this.SUBRULE(this.name).text };
  });

  private readonly changeQuestion = this.RULE('changeQuestion', (): Question => {
    this.CONSUME(keyword.change);
    return { changeId: this.SUBRULE(this.name).text, kind: 'change' };
  });

  private readonly keyQuestion = this.RULE('keyQuestion', (): Question => {
    this.CONSUME(keyword.key);
    const service = this.SUBRULE1(this.name).text;
    return { key: this.SUBRULE2(this.name).text, kind: 'key', service };
  });

  private readonly comparison = this.RULE('comparison', (): Comparison =>
    this.OR([
      { ALT: () => this.CONSUME(ComparisonSign).image as Comparison },
      this.wordFor(keyword.contains, Comparison.Contains),
    ]),
  );

  private readonly condition = this.RULE('condition', (): Condition => {
    const field = this.SUBRULE(this.name);
    const comparison = this.SUBRULE(this.comparison);
    const { position, value } = this.SUBRULE(this.value);
    return { comparison, field, value, valuePosition: position };
  });

  private readonly filter = this.RULE('filter', (): readonly Condition[] => {
    const conditions: Condition[] = [];
    this.CONSUME(keyword.where);
    this.AT_LEAST_ONE_SEP({
      DEF: () => {
        conditions.push(this.SUBRULE(this.condition));
      },
      SEP: keyword.and,
    });
    return conditions;
  });

  private readonly order = this.RULE('order', (): SortOrder => {
    this.CONSUME(keyword.sort);
    this.CONSUME(keyword.by);
    const field = this.SUBRULE(this.name);
    const descending = this.OPTION(() =>
      this.OR([this.wordFor(keyword.descending, true), this.wordFor(keyword.ascending, false)]),
    );
    return { descending: descending ?? false, field };
  });

  private readonly limit = this.RULE('limit', (): Quantity => {
    this.CONSUME(keyword.limit);
    return this.SUBRULE(this.number);
  });

  protected readonly questionStatement = this.RULE('questionStatement', (): QuestionStatement => {
    this.CONSUME(keyword.show);
    const question = this.OR([
      { ALT: () => this.SUBRULE(this.simpleQuestion) },
      { ALT: () => this.SUBRULE(this.loadQuestion) },
      { ALT: () => this.SUBRULE(this.refusalsQuestion) },
      { ALT: () => this.SUBRULE(this.requestQuestion) },
      { ALT: () => this.SUBRULE(this.changeQuestion) },
      { ALT: () => this.SUBRULE(this.keyQuestion) },
    ]);
    const conditions = this.OPTION1(() => this.SUBRULE(this.filter)) ?? [];
    const order = this.OPTION2(() => this.SUBRULE(this.order));
    const limit = this.OPTION3(() => this.SUBRULE(this.limit));
    this.OPTION4(() => this.CONSUME(Semicolon));
    return { conditions, kind: 'question', limit, order, question };
  });

  /** An alternative that consists of one word and stands for a value. */
  protected wordFor<Result>(word: TokenType, result: Result): { ALT: () => Result } {
    return {
      ALT: () => {
        this.CONSUME(word);
        return result;
      },
    };
  }
}
