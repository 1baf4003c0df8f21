import { RequestClass } from '@peridotspring/core';

import { QuestionGrammar } from './question-grammar.js';
import type { Command, Name, Quantity, ServiceClause } from './syntax-tree.js';
import { positionOf } from './token-values.js';
import { Asterisk, Identifier, keyword } from './tokens.js';

/** Rules for changes of services, servers and availability zones. */
export abstract class CommandGrammar extends QuestionGrammar {
  private readonly method = this.RULE('method', (): Name => {
    const token = this.OR([
      { ALT: () => this.CONSUME(Identifier) },
      { ALT: () => this.CONSUME(Asterisk) },
    ]);
    return { position: positionOf(token), text: token.image };
  });

  private readonly requestClass = this.RULE('requestClass', (): RequestClass =>
    this.OR([
      this.wordFor(keyword.idempotent, RequestClass.Idempotent),
      this.wordFor(keyword['non-idempotent'], RequestClass.NonIdempotent),
    ]),
  );

  private readonly requestClause = this.RULE('requestClause', (): ServiceClause => {
    this.CONSUME(keyword.request);
    const name = this.SUBRULE1(this.name);
    const method = this.SUBRULE(this.method);
    const pathPrefix = this.SUBRULE(this.quotedText);
    const requestClass = this.SUBRULE(this.requestClass);
    const before = this.OPTION(() => {
      this.CONSUME(keyword.before);
      return this.SUBRULE2(this.name);
    });
    return { before, kind: 'request', method, name, pathPrefix, requestClass };
  });

  private readonly tenantClause = this.RULE('tenantClause', (): ServiceClause => {
    this.CONSUME(keyword.tenant);
    const tenant = this.SUBRULE(this.name);
    this.CONSUME(keyword.weight);
    return { kind: 'tenant', tenant, weight: this.SUBRULE(this.number) };
  });

  private readonly deadlineClause = this.RULE('deadlineClause', (): ServiceClause => {
    this.CONSUME(keyword.deadline);
    const kind = this.OR([
      this.wordFor(keyword.default, 'default-deadline' as const),
      this.wordFor(keyword.maximum, 'maximum-deadline' as const),
    ]);
    return { kind, milliseconds: this.SUBRULE(this.duration) };
  });

  private readonly retryBudgetClause = this.RULE('retryBudgetClause', (): ServiceClause => {
    this.CONSUME(keyword.retry);
    this.CONSUME(keyword.budget);
    return this.OR<ServiceClause>([
      {
        ALT: () => {
          this.CONSUME(keyword.ratio);
          return { kind: 'retry-budget-ratio', ratio: this.SUBRULE(this.share) };
        },
      },
      {
        ALT: () => {
          this.CONSUME(keyword.maximum);
          return { kind: 'retry-budget-maximum', maximum: this.SUBRULE(this.number) };
        },
      },
    ]);
  });

  private readonly hedgingClause = this.RULE('hedgingClause', (): ServiceClause => {
    this.CONSUME(keyword.hedging);
    const enabled = this.OR([this.wordFor(keyword.on, true), this.wordFor(keyword.off, false)]);
    return { enabled, kind: 'hedging' };
  });

  private readonly probeBudgetClause = this.RULE('probeBudgetClause', (): ServiceClause => {
    this.CONSUME(keyword.probe);
    this.CONSUME(keyword.budget);
    return { kind: 'probe-budget', share: this.SUBRULE(this.share) };
  });

  private readonly rampClause = this.RULE('rampClause', (): ServiceClause => {
    this.CONSUME(keyword.ramp);
    return { kind: 'ramp', milliseconds: this.SUBRULE(this.duration) };
  });

  private readonly boundClause = this.RULE('boundClause', (): ServiceClause => {
    const kind = this.OR1([
      this.wordFor(keyword.body, 'body-maximum' as const),
      this.wordFor(keyword.queue, 'queue-maximum' as const),
      this.wordFor(keyword['tenant-in-flight'], 'tenant-in-flight-maximum' as const),
    ]);
    this.CONSUME(keyword.maximum);
    const maximum = this.OR2<Quantity | undefined>([
      { ALT: () => this.SUBRULE(this.number) },
      this.wordFor(keyword.off, undefined),
    ]);
    return { kind, maximum };
  });

  private readonly setClause = this.RULE('setClause', (): ServiceClause =>
    this.OR([
      { ALT: () => this.SUBRULE(this.requestClause) },
      { ALT: () => this.SUBRULE(this.tenantClause) },
      { ALT: () => this.SUBRULE(this.deadlineClause) },
      { ALT: () => this.SUBRULE(this.retryBudgetClause) },
      { ALT: () => this.SUBRULE(this.hedgingClause) },
      { ALT: () => this.SUBRULE(this.probeBudgetClause) },
      { ALT: () => this.SUBRULE(this.rampClause) },
      { ALT: () => this.SUBRULE(this.boundClause) },
    ]),
  );

  private readonly removeClause = this.RULE('removeClause', (): ServiceClause => {
    this.CONSUME(keyword.remove);
    return this.OR<ServiceClause>([
      {
        ALT: () => {
          this.CONSUME(keyword.request);
          return { kind: 'remove-request', name: this.SUBRULE1(this.name) };
        },
      },
      {
        ALT: () => {
          this.CONSUME(keyword.tenant);
          return { kind: 'remove-tenant', tenant: this.SUBRULE2(this.name) };
        },
      },
    ]);
  });

  private readonly declareService = this.RULE('declareService', (): Command => {
    const clauses: ServiceClause[] = [];
    this.CONSUME(keyword.declare);
    this.CONSUME(keyword.service);
    const service = this.SUBRULE(this.name);
    this.MANY(() => {
      clauses.push(this.SUBRULE(this.setClause));
    });
    return { clauses, kind: 'declare-service', service };
  });

  private readonly changeService = this.RULE('changeService', (): Command => {
    const clauses: ServiceClause[] = [];
    this.CONSUME(keyword.change);
    this.CONSUME(keyword.service);
    const service = this.SUBRULE(this.name);
    this.AT_LEAST_ONE(() => {
      const clause = this.OR([
        { ALT: () => this.SUBRULE(this.setClause) },
        { ALT: () => this.SUBRULE(this.removeClause) },
      ]);
      clauses.push(clause);
    });
    return { clauses, kind: 'change-service', service };
  });

  private readonly removeService = this.RULE('removeService', (): Command => {
    this.CONSUME(keyword.remove);
    this.CONSUME(keyword.service);
    return { kind: 'remove-service', service: this.SUBRULE(this.name) };
  });

  private readonly drainOrRestore = this.RULE('drainOrRestore', (): Command => {
    const verb = this.OR1([
      this.wordFor(keyword.drain, 'drain' as const),
      this.wordFor(keyword.restore, 'restore' as const),
    ]);
    const object = this.OR2([
      this.wordFor(keyword.server, 'server' as const),
      this.wordFor(keyword.zone, 'zone' as const),
    ]);
    const name = this.SUBRULE(this.name);
    return object === 'server'
      ? { kind: `${verb}-server`, server: name }
      : { kind: `${verb}-zone`, zone: name };
  });

  protected readonly command = this.RULE('command', (): Command =>
    this.OR([
      { ALT: () => this.SUBRULE(this.declareService) },
      { ALT: () => this.SUBRULE(this.changeService) },
      { ALT: () => this.SUBRULE(this.removeService) },
      { ALT: () => this.SUBRULE(this.drainOrRestore) },
    ]),
  );
}
