import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync } from 'node:fs';

const startLimitMilliseconds = 30_000;

export interface ChildProgramOptions {
  readonly name: string;
  readonly script: string;
  readonly flags: readonly string[];
  /** Flags of Node.js itself. */
  readonly executableFlags?: readonly string[] | undefined;
  readonly environment?: Readonly<Record<string, string>> | undefined;
  /** A line of standard output that shows that the program is ready. */
  readonly readyPattern: RegExp;
  /** File that collects the output; without it the output is dropped. */
  readonly logFile?: string | undefined;
}

/** A program of this repository that runs as a process of its own. */
export class ChildProgram {
  private readonly child: ChildProcess;
  private output = '';
  private readonly exited: Promise<number | null>;

  public constructor(private readonly options: ChildProgramOptions) {
    const { environment, executableFlags = [], flags, logFile, script } = options;
    this.child = spawn(process.execPath, [...executableFlags, script, ...flags], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = once(this.child, 'exit').then(([code]) => code as number | null);
    const collect = (chunk: Buffer): void => {
      // Only the start is needed to find the ready line.
      if (this.output.length < 65_536) {
        this.output += chunk.toString();
      }
      if (logFile !== undefined) {
        appendFileSync(logFile, chunk);
      }
    };
    this.child.stdout?.on('data', collect);
    this.child.stderr?.on('data', collect);
  }

  public get pid(): number {
    return this.child.pid ?? 0;
  }

  public get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Waits for the ready line and returns its match. */
  public async ready(): Promise<RegExpExecArray> {
    const startedAt = performance.now();
    for (;;) {
      const match = this.options.readyPattern.exec(this.output);
      if (match !== null) {
        return match;
      }
      if (!this.isRunning || performance.now() - startedAt > startLimitMilliseconds) {
        throw new Error(`${this.options.name} did not start:\n${this.output}`);
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  public kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves to the exit code, or null after a signal. */
  public exit(): Promise<number | null> {
    return this.exited;
  }

  /** Ends the process at once. */
  public async close(): Promise<void> {
    if (this.isRunning) {
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
      await this.exited;
    }
  }
}
