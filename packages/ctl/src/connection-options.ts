import { readFileSync } from 'node:fs';

import { InvalidArgumentError, Option, type Command } from 'commander';

import { resolveMilliseconds } from './resolve-change.js';
import type { Session } from './session.js';
import type { Terminal } from './terminal.js';

interface Address {
  readonly host: string;
  readonly port: number;
}

function parseAddress(text: string): Address {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([A-Za-z0-9.-]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || !(port >= 1 && port <= 65_535)) {
    throw new InvalidArgumentError('It must be host:port with a port from 1 to 65535.');
  }
  return { host, port };
}

const millisecondsPerUnit: Readonly<Record<string, number>> = { m: 60_000, ms: 1, s: 1_000 };

/** Reads a duration such as `500ms`, `2s` or `1m`. */
export function parseDurationFlag(text: string): number {
  const [, number, unit] = /^(\d{1,6})(ms|s|m)$/.exec(text) ?? [];
  const factor = millisecondsPerUnit[unit ?? ''];
  if (number === undefined || factor === undefined || Number(number) === 0) {
    throw new InvalidArgumentError('It must be a duration such as 500ms, 2s or 1m.');
  }
  return Number(number) * factor;
}

/** Reads a whole number from 1. */
export function parseCountFlag(text: string): number {
  if (!/^[1-9]\d{0,14}$/.test(text)) throw new InvalidArgumentError('It must be a whole number.');
  return Number(text);
}

const defaultAddress: Address = { host: '127.0.0.1', port: 7103 };
/** A node gives up a change after 10 s and says why; that answer must not be missed. */
const defaultTimeoutMilliseconds = 15_000;

/** Adds the flags that say how the node is reached; each also comes from the environment. */
export function addConnectionOptions(program: Command): void {
  program
    .addOption(
      new Option('--address <host:port>', 'operator address of any node')
        .env('PERIDOTCTL_ADDRESS')
        .default(defaultAddress, '127.0.0.1:7103')
        .argParser(parseAddress),
    )
    .addOption(
      new Option('--secret <secret>', 'operator secret; other users can read flags').env(
        'PERIDOTCTL_SECRET',
      ),
    )
    .addOption(
      new Option('--secret-file <path>', 'file with the operator secret').env(
        'PERIDOTCTL_SECRET_FILE',
      ),
    )
    .addOption(
      new Option('--timeout <duration>', 'time for one answer of the node')
        .env('PERIDOTCTL_TIMEOUT')
        .default(defaultTimeoutMilliseconds, '15s')
        .argParser(parseDurationFlag),
    )
    .addOption(
      new Option('--resolve <duration>', 'time in which a change with a lost answer is asked for')
        .env('PERIDOTCTL_RESOLVE')
        .default(resolveMilliseconds, '15s')
        .argParser(parseDurationFlag),
    )
    .addOption(
      new Option('--output <form>', 'form of the answer')
        .env('PERIDOTCTL_OUTPUT')
        .choices(['table', 'json'])
        .default('table'),
    );
}

interface ConnectionFlags {
  readonly address: Address;
  readonly secret?: string | undefined;
  readonly secretFile?: string | undefined;
  readonly timeout: number;
  readonly resolve: number;
  readonly output: 'json' | 'table';
}

/** Makes a session of the program's flags; a string says what is wrong with them. */
export function createSession(program: Command, terminal: Terminal): Session | string {
  const flags: ConnectionFlags = program.opts();
  let { secret } = flags;
  if (secret === undefined && flags.secretFile !== undefined) {
    try {
      secret = readFileSync(flags.secretFile, 'utf8').trim();
    } catch {
      return `the secret file ${flags.secretFile} can't be read`;
    }
  }
  if (secret === undefined || !/^[\x21-\x7e]+$/.test(secret)) {
    return 'the operator secret is missing or has other than visible ASCII characters; set PERIDOTCTL_SECRET';
  }
  return {
    connection: { ...flags.address, secret, timeoutMilliseconds: flags.timeout },
    output: flags.output,
    resolveMilliseconds: flags.resolve,
    terminal,
  };
}
