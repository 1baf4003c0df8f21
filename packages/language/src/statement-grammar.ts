import { EOF } from 'chevrotain';

import { CommandGrammar } from './command-grammar.js';
import type { ChangeStatement, Command, Statement, WaitClause } from './syntax-tree.js';
import { keyword, Semicolon } from './tokens.js';

/** The whole grammar; `statement` is the start rule. */
export class StatementGrammar extends CommandGrammar {
  private readonly waitClause = this.RULE('waitClause', (): WaitClause => {
    this.CONSUME(keyword.wait);
    return { upToMilliseconds: this.OPTION(() => this.SUBRULE(this.upTo)) };
  });

  private readonly waitStatement = this.RULE('waitStatement', (): Statement => {
    this.CONSUME(keyword.wait);
    const revision = this.OPTION1(() => {
      this.CONSUME(keyword.for);
      this.CONSUME(keyword.revision);
      return this.SUBRULE(this.number).value;
    });
    const upToMilliseconds = this.OPTION2(() => this.SUBRULE(this.upTo));
    this.OPTION3(() => this.CONSUME(Semicolon));
    return { kind: 'wait', revision, upToMilliseconds };
  });

  private readonly group = this.RULE('group', (): readonly Command[] => {
    const commands: Command[] = [];
    this.CONSUME(keyword.begin);
    this.CONSUME1(Semicolon);
    this.AT_LEAST_ONE(() => {
      commands.push(this.SUBRULE(this.command));
      this.CONSUME2(Semicolon);
    });
    this.CONSUME(keyword.commit);
    return commands;
  });

  private readonly changeStatement = this.RULE('changeStatement', (): ChangeStatement => {
    const dryRun = this.OPTION1(() => {
      this.CONSUME(keyword.dry);
      this.CONSUME(keyword.run);
      return true;
    });
    const commands = this.OR([
      { ALT: () => this.SUBRULE(this.group) },
      { ALT: () => [this.SUBRULE(this.command)] },
    ]);
    const wait = this.OPTION2(() => this.SUBRULE(this.waitClause));
    this.OPTION3(() => this.CONSUME(Semicolon));
    return { commands, dryRun: dryRun ?? false, kind: 'change', wait };
  });

  public readonly statement = this.RULE('statement', (): Statement => {
    const statement = this.OR<Statement>([
      { ALT: () => this.SUBRULE(this.questionStatement) },
      { ALT: () => this.SUBRULE(this.waitStatement) },
      { ALT: () => this.SUBRULE(this.changeStatement) },
    ]);
    this.CONSUME(EOF);
    return statement;
  });

  public constructor() {
    super();
    this.performSelfAnalysis();
  }
}
