import { readFileSync } from 'node:fs';

import { quote, type Statement } from '@peridotspring/language';
import { Argument, Command, CommanderError, Option } from 'commander';

import { completionScript, completionShells, type CompletionShell } from './completion.js';
import { runConfirmed } from './confirm.js';
import {
  addConnectionOptions,
  createSession,
  parseCountFlag,
  parseDurationFlag,
} from './connection-options.js';
import { ExitCode } from './exit-code.js';
import { explainRequest, explainServer } from './explain.js';
import { parseOrReport, runText, type Session } from './session.js';
import type { Terminal } from './terminal.js';
import { watch } from './watch.js';

type Work = (session: Session, statement: Statement) => Promise<ExitCode>;

/** A command that reads the logs of nodes. */
interface LogCommand {
  readonly name: string;
  readonly description: string;
  /** What the identifier names. */
  readonly subject: string;
  readonly explain: (identifier: string, logs: readonly string[]) => readonly string[];
}

/** Builds the command line; the exit code of the command that ran is kept in `exitCode`. */
class Program {
  public exitCode: ExitCode = ExitCode.Done;
  private readonly command = new Command('peridotctl');

  public constructor(
    private readonly terminal: Terminal,
    version: string,
  ) {
    const write = (text: string): void => {
      terminal.error(text.trimEnd());
    };
    this.command
      .description('Asks and changes a peridotspring system through the operator port of any node.')
      .version(version, '--version', 'print which code this is')
      .exitOverride()
      .configureOutput({
        writeErr: write,
        writeOut: (text) => {
          terminal.out(text.trimEnd());
        },
      });
    addConnectionOptions(this.command);
    this.addQuery();
    this.addApply();
    this.addWatch();
    this.addWait();
    this.addDrainAndRestore();
    this.addExplain();
    this.addCompletion();
  }

  /** Parses and runs the command line. */
  public async run(argumentList: readonly string[]): Promise<ExitCode> {
    await this.command.parseAsync([...argumentList], { from: 'user' });
    return this.exitCode;
  }

  private addQuery(): void {
    this.command
      .command('query')
      .description('run one text in the language')
      .argument('<text...>', 'the text; its words are joined with spaces')
      .option('--yes', 'confirm a change that takes capacity away')
      .action(async (words: readonly string[], flags: { readonly yes?: boolean }) => {
        const text = words.join(' ');
        await this.work(text, (session, statement) =>
          runConfirmed(session, text, statement, flags.yes === true),
        );
      });
  }

  private addApply(): void {
    this.command
      .command('apply')
      .description('run the text of a file')
      .requiredOption('-f, --file <path>', 'the file; - for standard input')
      .option('--yes', 'confirm a change that takes capacity away')
      .action(async (flags: { readonly file: string; readonly yes?: boolean }) => {
        const text = await this.readFile(flags.file);
        if (text === undefined) return;
        await this.work(text, (session, statement) =>
          runConfirmed(session, text, statement, flags.yes === true),
        );
      });
  }

  private addWatch(): void {
    this.command
      .command('watch')
      .description('ask a question again and again')
      .argument('<question...>', 'the question; its words are joined with spaces')
      .addOption(
        new Option('--interval <duration>', 'time between two answers')
          .default(2_000, '2s')
          .argParser(parseDurationFlag),
      )
      .addOption(
        new Option('--count <number>', 'stop after this many answers').argParser(parseCountFlag),
      )
      .action(async (words: readonly string[], flags: { interval: number; count?: number }) => {
        const text = words.join(' ');
        const options = { count: flags.count, intervalMilliseconds: flags.interval };
        await this.work(text, (session, statement) => watch(session, text, statement, options));
      });
  }

  private addWait(): void {
    this.command
      .command('wait')
      .description('wait until a revision is in force everywhere')
      .addOption(
        new Option('--revision <number>', 'revision; that of the node if left out').argParser(
          parseCountFlag,
        ),
      )
      .addOption(
        new Option('--up-to <duration>', 'time to wait')
          .default(6_000, '6s')
          .argParser(parseDurationFlag),
      )
      .action(async (flags: { readonly revision?: number; readonly upTo: number }) => {
        const revision = flags.revision === undefined ? '' : `for revision ${flags.revision} `;
        const text = `wait ${revision}up to ${flags.upTo}ms`;
        await this.work(text, (session, statement) => runText(session, text, statement));
      });
  }

  private addDrainAndRestore(): void {
    for (const verb of ['drain', 'restore'] as const) {
      const purpose =
        verb === 'drain'
          ? 'take a server or zone out of use without interrupting requests in flight'
          : 'take a drained server or zone into use again';
      this.command
        .command(verb)
        .description(purpose)
        .addArgument(new Argument('<object>', 'what is meant').choices(['server', 'zone']))
        .argument('<name>', 'name of the server or zone')
        .option('--yes', 'confirm')
        .option('--wait', 'wait until the change is in force everywhere')
        .action(async (object: string, name: string, flags: { yes?: boolean; wait?: boolean }) => {
          const suffix = flags.wait === true ? ' wait' : '';
          const text = `${verb} ${object} ${quote(name)}${suffix}`;
          await this.work(text, (session, statement) =>
            runConfirmed(session, text, statement, flags.yes === true),
          );
        });
    }
  }

  private addExplain(): void {
    this.addLogCommand({
      description: 'print what the logs of nodes say of a request, in order of time',
      explain: explainRequest,
      name: 'explain',
      subject: 'request',
    });
    this.addLogCommand({
      description:
        'print what the logs of nodes say of a server, and which code they ran, in order of time',
      explain: explainServer,
      name: 'explain-server',
      subject: 'instance',
    });
  }

  private addLogCommand({ description, explain, name, subject }: LogCommand): void {
    this.command
      .command(name)
      .description(description)
      .argument(`<${subject}>`, `the identifier of the ${subject}`)
      .argument('<file...>', 'log files of any number of nodes; - for standard input')
      .action(async (identifier: string, files: readonly string[]) => {
        const logs: string[] = [];
        for (const file of files) {
          const log = await this.readFile(file);
          if (log === undefined) return;
          logs.push(log);
        }
        const lines = explain(identifier, logs);
        for (const line of lines) this.terminal.out(line);
        if (lines.length > 0) return;
        this.terminal.error(`no line speaks of the ${subject} ${identifier}`);
        this.exitCode = ExitCode.Partial;
      });
  }

  private addCompletion(): void {
    this.command
      .command('completion')
      .description('print the completion script of a shell')
      .addArgument(new Argument('<shell>', 'the shell').choices(completionShells))
      .action((shell: CompletionShell) => {
        const commands = this.command.commands.map((command) => command.name());
        const all = [this.command, ...this.command.commands];
        const flags = all.flatMap((command) => command.options.map(({ long }) => long ?? ''));
        const words = { commands, flags: [...new Set(flags)].filter((flag) => flag !== '') };
        this.terminal.out(completionScript(shell, words).trimEnd());
      });
  }

  private async work(text: string, work: Work): Promise<void> {
    const statement = parseOrReport(this.terminal, text);
    if (statement === undefined) {
      this.exitCode = ExitCode.Usage;
      return;
    }
    const session = createSession(this.command, this.terminal);
    if (typeof session === 'string') {
      this.terminal.error(session);
      this.exitCode = ExitCode.Usage;
      return;
    }
    this.exitCode = await work(session, statement);
  }

  private async readFile(path: string): Promise<string | undefined> {
    if (path === '-') return this.terminal.readInput();
    try {
      return readFileSync(path, 'utf8');
    } catch (error) {
      const cause = error instanceof Error ? error.message : 'unknown fault';
      this.terminal.error(`the file can't be read: ${cause}`);
      this.exitCode = ExitCode.Usage;
      return undefined;
    }
  }
}

/** Runs peridotctl and returns its exit code. `argumentList` is without the program's name. */
export async function runProgram(
  argumentList: readonly string[],
  terminal: Terminal,
  version = 'unknown',
): Promise<ExitCode> {
  try {
    return await new Program(terminal, version).run(argumentList);
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    // Commander has written its message already.
    return error.exitCode === 0 ? ExitCode.Done : ExitCode.Usage;
  }
}
