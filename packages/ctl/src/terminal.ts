import { createInterface } from 'node:readline/promises';

/** Where peridotctl reads from and writes to. */
export interface Terminal {
  /** Whether a person can be asked. */
  readonly isInteractive: boolean;
  out(text: string): void;
  error(text: string): void;
  ask(question: string): Promise<string>;
  /** Reads standard input to its end. */
  readInput(): Promise<string>;
}

/** The terminal of this process. */
export const processTerminal: Terminal = {
  ask: async (question) => {
    const prompt = createInterface({ input: process.stdin, output: process.stderr });
    try {
      return await prompt.question(question);
    } finally {
      prompt.close();
    }
  },
  error: (text) => {
    process.stderr.write(`${text}\n`);
  },
  isInteractive: process.stdin.isTTY && process.stdout.isTTY,
  out: (text) => {
    process.stdout.write(`${text}\n`);
  },
  readInput: async () => {
    const chunks: Buffer[] = [];
    for await (const chunk of process.stdin as AsyncIterable<Buffer>) chunks.push(chunk);
    return Buffer.concat(chunks).toString('utf8');
  },
};
