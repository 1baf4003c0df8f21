import { setTimeout as sleep } from 'node:timers/promises';

import { Command, InvalidArgumentError } from 'commander';

import type { ServiceTime } from './service-time.js';
import { defaultUpstreamStandInOptions, UpstreamStandIn } from './upstream-stand-in.js';

const drainPollMilliseconds = 20;

function integerBetween(minimum: number, maximum: number): (text: string) => number {
  return (text) => {
    const value = Number(text);
    if (Number.isInteger(value) && value >= minimum && value <= maximum) return value;
    throw new InvalidArgumentError(`expected an integer from ${minimum} to ${maximum}`);
  };
}

function parseServiceTime(text: string): ServiceTime {
  const match = /^(fixed|exponential):(\d+(?:\.\d+)?)$/.exec(text);
  const milliseconds = Number(match?.[2]);
  if (match?.[1] === 'fixed') return { kind: 'fixed', milliseconds };
  if (match?.[1] === 'exponential') return { kind: 'exponential', meanMilliseconds: milliseconds };
  throw new InvalidArgumentError('expected fixed:<ms> or exponential:<mean ms>');
}

interface Flags {
  readonly service: string;
  readonly slots: number;
  readonly announcedSlots?: number;
  readonly connections: number;
  readonly serviceTime: ServiceTime;
  readonly seed: number;
  readonly answerBytes: number;
  readonly port: number;
  readonly controlPort: number;
  readonly node?: string;
  readonly slowFactor: number;
  readonly coldStartFactor: number;
  readonly coldStartMs: number;
  readonly stopTimeoutMs: number;
}

function readFlags(): Flags {
  const defaults = defaultUpstreamStandInOptions;
  const port = integerBetween(0, 65_535);
  const count = integerBetween(1, 100_000);
  const milliseconds = integerBetween(0, 600_000);
  const factor = integerBetween(1, 10_000);
  return new Command('upstream-stand-in')
    .description('An upstream on 127.0.0.1 with slots, a seeded service time and injected faults')
    .option('--service <name>', 'service that it announces', defaults.service)
    .option('--slots <count>', 'requests that it runs at once', count, defaults.slots)
    .option('--announced-slots <count>', 'slots that it announces (default: --slots)', count)
    .option('--connections <count>', 'connections that it accepts', count, defaults.connections)
    .option(
      '--service-time <distribution>',
      'fixed:<ms> or exponential:<mean ms>',
      parseServiceTime,
      {
        kind: 'fixed',
        milliseconds: 5,
      },
    )
    .option(
      '--seed <number>',
      'seed of the service times',
      integerBetween(0, 2 ** 32 - 1),
      defaults.seed,
    )
    .option('--answer-bytes <count>', 'size of an answer', integerBetween(0, 1_073_741_824), 256)
    .option('--port <port>', 'port for requests, 0 for any', port, defaults.port)
    .option('--control-port <port>', 'port for faults and the log, 0 for any', port, 0)
    .option('--node <address>', 'host:port of the upstream port of its node')
    .option('--slow-factor <factor>', 'factor on every service time', factor, 1)
    .option('--cold-start-factor <factor>', 'factor on service times at first', factor, 1)
    .option('--cold-start-ms <ms>', 'time in which that factor falls to 1', milliseconds, 0)
    .option('--stop-timeout-ms <ms>', 'longest wait for running requests', milliseconds, 30_000)
    .parse()
    .opts<Flags>();
}

function log(event: string, fields: Readonly<Record<string, string | number>>): void {
  const pairs = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
  process.stdout.write(`${['event=' + event, ...pairs].join(' ')}\n`);
}

/** A planned stop: no new work, finish what runs, leave. */
async function stop(standIn: UpstreamStandIn, flags: Flags): Promise<void> {
  if (flags.node !== undefined) await standIn.drain().catch(() => undefined);
  const latest = Date.now() + flags.stopTimeoutMs;
  while (standIn.state.inFlight + standIn.state.queued > 0 && Date.now() < latest) {
    await sleep(drainPollMilliseconds);
  }
  if (flags.node !== undefined) await standIn.leave().catch(() => undefined);
  await standIn.close();
  log('stopped', { executions: standIn.state.executions });
}

const flags = readFlags();
const standIn = new UpstreamStandIn({
  ...flags,
  announcedSlots: flags.announcedSlots ?? flags.slots,
  faults: {
    coldStart: { factor: flags.coldStartFactor, milliseconds: flags.coldStartMs },
    slowFactor: flags.slowFactor,
  },
  nodeAddress: flags.node,
});
await standIn.start();
log('listening', { address: standIn.address, control: standIn.controlAddress });
let stopping = false;
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.on(signal, () => {
    if (!stopping) void stop(standIn, flags);
    stopping = true;
  });
}
