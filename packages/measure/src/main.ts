#!/usr/bin/env node
import { writeFileSync } from 'node:fs';

import { Command, InvalidArgumentError } from 'commander';

import { runExperiment } from './experiment.js';
import type { VariantOptions } from './load-variant.js';
import { renderMarkdown } from './markdown-report.js';

interface RunFlags {
  readonly target: readonly string[];
  readonly rate: number;
  readonly seconds: number;
  readonly warmUp: number;
  readonly method: string;
  readonly header: readonly string[];
  readonly bodyBytes: number;
  readonly withKey: boolean;
  readonly timeout: number;
  readonly connections: number;
  readonly seed: number;
  readonly process: readonly string[];
  readonly json?: string;
}

function numberBetween(lowest: number, highest: number): (text: string) => number {
  return (text) => {
    const value = Number(text);
    if (text === '' || !(value >= lowest && value <= highest)) {
      throw new InvalidArgumentError(`must be a number from ${lowest} to ${highest}`);
    }
    return value;
  };
}

function collect(value: string, previous: readonly string[]): string[] {
  return [...previous, value];
}

function split(text: string, separator: string, flag: string): readonly [string, string] {
  const index = text.indexOf(separator);
  if (index <= 0) {
    throw new InvalidArgumentError(`${flag} must have the form name${separator}value`);
  }
  return [text.slice(0, index), text.slice(index + separator.length)];
}

function variantsOf(flags: RunFlags): VariantOptions[] {
  const headers = Object.fromEntries(
    flags.header.map((header) => split(header, ':', '--header').map((part) => part.trim())),
  ) as Record<string, string>;
  const body = flags.bodyBytes > 0 ? new Uint8Array(flags.bodyBytes).fill(97) : undefined;
  return flags.target.map((target) => {
    const [name, url] = split(target, '=', '--target');
    const { connections, method, timeout, withKey } = flags;
    const parsed = new URL(url);
    if (!['127.0.0.1', '[::1]', 'localhost'].includes(parsed.hostname)) {
      throw new InvalidArgumentError('--target must be a loopback address');
    }
    const timeoutMilliseconds = timeout;
    return { body, connections, headers, method, name, timeoutMilliseconds, url: parsed, withKey };
  });
}

const program = new Command('peridotspring-measure')
  .description(
    'Puts addresses under open-loop load, side by side, and reports latency from the scheduled time.',
  )
  .requiredOption(
    '--target <name=url>',
    'address to load; may be repeated, the first is the baseline',
    collect,
    [],
  )
  .option('--rate <requests/s>', 'mean rate to each target', numberBetween(0.1, 20_000), 100)
  .option('--seconds <s>', 'recorded time', numberBetween(0.1, 600), 10)
  .option('--warm-up <s>', 'load before the recorded time', numberBetween(0, 60), 2)
  .option('--method <method>', 'HTTP method', 'GET')
  .option('--header <name:value>', 'header; may be repeated', collect, [])
  .option('--body-bytes <bytes>', 'size of the request body', numberBetween(0, 16_777_216), 0)
  .option('--with-key', 'send a fresh UUIDv7 as Idempotency-Key', false)
  .option('--timeout <ms>', 'give up on a request after this', numberBetween(1, 120_000), 10_000)
  .option('--connections <count>', 'connections to each target', numberBetween(1, 2_000), 256)
  .option('--seed <number>', 'seed of the arrival times', numberBetween(0, 4_294_967_295), 1)
  .option('--process <name=pid>', 'process to report on; may be repeated', collect, [])
  .option('--json <file>', 'also write the result as JSON')
  .action(async (flags: RunFlags) => {
    const processes = Object.fromEntries(
      flags.process.map((text) => {
        const [name, pid] = split(text, '=', '--process');
        return [name, Number(pid)];
      }),
    );
    const result = await runExperiment({
      durationMilliseconds: flags.seconds * 1_000,
      processes,
      ratePerSecond: flags.rate,
      seed: flags.seed,
      variants: variantsOf(flags),
      warmUpMilliseconds: flags.warmUp * 1_000,
    });
    process.stdout.write(renderMarkdown(result));
    if (flags.json !== undefined) {
      writeFileSync(flags.json, `${JSON.stringify(result, undefined, 2)}\n`);
    }
  });

await program.parseAsync();
