import {
  CallEngine,
  defaultHomeSettings,
  Gate,
  HomeManager,
  Router,
  SeededRandomSource,
  serviceDefaults,
} from '@peridotspring/core';
import type { ClockReading, HomeCommand, HomeTable, KeyedRequestFrame } from '@peridotspring/core';
import { encodeFrame } from '@peridotspring/nodes';
import { Command, InvalidArgumentError } from 'commander';

import { fitLine, formatNumber, formatTable } from './control-statistics.js';

const startWall = 1_800_000_000_000;
const service = 'service-under-test';

function at(monotonic: number): ClockReading {
  return { monotonic, wall: startWall + monotonic };
}

function collectedHeap(): number {
  if (globalThis.gc === undefined) throw new Error('start node with --expose-gc');
  for (let round = 0; round < 3; round += 1) {
    globalThis.gc();
  }
  return process.memoryUsage().heapUsed;
}

/** Runs the function and returns the processor time of one round in microseconds. */
function microsecondsPerRound(rounds: number, run: (round: number) => void): number {
  const before = process.cpuUsage();
  for (let round = 0; round < rounds; round += 1) run(round);
  const { system, user } = process.cpuUsage(before);
  return (user + system) / rounds;
}

function routerWith(targets: number): Router {
  const places = { availabilityZone: 'zone-0', region: 'region-0' };
  const router = new Router(places, new SeededRandomSource(1));
  for (let index = 0; index < targets; index += 1) {
    router.upsert(
      {
        availabilityZone: `zone-${index % 22}`,
        draining: false,
        incarnation: 1,
        peerAddress: `10.0.${index >> 8}.${index & 255}:7101`,
        region: `region-${index % 6}`,
        server: `server-${index}`,
        service,
        slots: 10,
      },
      at(0),
    );
  }
  return router;
}

interface Measurement {
  readonly name: string;
  readonly variable: string;
  readonly unit: string;
  readonly values: readonly number[];
  readonly measure: (value: number) => number;
}

const calls = 20_000;

/** One idempotent call: choice, attempt, load report, end. */
function callMicroseconds(targets: number): number {
  const router = routerWith(targets);
  const engine = new CallEngine(router);
  return microsecondsPerRound(calls, (round) => {
    const now = at(round * 0.5);
    const call = {
      isBodyReplayable: true,
      callNumber: round + 1,
      deadline: now.monotonic + 1_000,
      requestClass: 'idempotent',
      service,
    } as const;
    for (const command of engine.begin(call, now)) {
      if (command.kind !== 'dispatch') continue;
      const load = {
        inFlight: round % 7,
        latencyMilliseconds: 5,
        limit: 10,
        queued: 0,
        service,
        state: 'serving',
      } as const;
      engine.onAnswered(command.attemptId, 200, load, now);
    }
    if (round % 20 === 0) engine.tick(now);
  });
}

function routerBytes(targets: number): number {
  const before = collectedHeap();
  const router = routerWith(targets);
  const used = collectedHeap() - before;
  return router.targets(service).length === targets ? used : Number.NaN;
}

/** One request through the gate with the given number of tenants. */
function gateMicroseconds(tenants: number): number {
  const gate = new Gate();
  gate.configure({ ...serviceDefaults, name: service, rampMilliseconds: 0 }, at(0));
  gate.announce({ address: '127.0.0.1:1', connections: 250, service, slots: 10 }, at(0));
  let running: number[] = [];
  return microsecondsPerRound(calls, (round) => {
    const now = at(round * 0.5);
    const request = {
      deadline: now.monotonic + 1_000,
      executionId: round + 1,
      service,
      tenant: `tenant-${round % tenants}`,
    };
    for (const decision of gate.submit(request, now)) {
      if (decision.kind === 'start') running.push(decision.executionId);
    }
    if (running.length >= 10) {
      for (const executionId of running.splice(0, 5)) {
        for (const decision of gate.onFinished(executionId, 'answered', now)) {
          if (decision.kind === 'start') running = [...running, decision.executionId];
        }
      }
    }
  });
}

/** Homes of one service on this node, confirmed by witnesses that this function plays. */
class HomeUnderTest {
  public readonly keeper = new HomeManager(
    { incarnation: startWall, server: 'home' },
    { ...defaultHomeSettings, keyRecordBytes: 1_000_000_000, maximumRecords: 2_000_000 },
  );
  public bytesSent = 0;
  public now = at(0);

  public constructor(private readonly services: readonly string[]) {
    for (const name of services) {
      this.handle(
        this.keeper.onFrame(
          'w1',
          { kind: 'home-table', service: name, table: tableOf(name) },
          this.now,
        ),
      );
    }
  }

  public run(milliseconds: number): void {
    const end = this.now.monotonic + milliseconds;
    while (this.now.monotonic < end) {
      this.now = at(this.now.monotonic + 10);
      this.handle(this.keeper.tick(this.now));
    }
  }

  public handle(commands: readonly HomeCommand[]): readonly HomeCommand[] {
    for (const command of commands) {
      if (command.kind !== 'send' || command.frame.kind !== 'home-confirm') continue;
      this.bytesSent += encodeFrame(command.frame).length;
      const { sequence, service: name, version } = command.frame;
      const promise = {
        accepted: true,
        kind: 'home-promise',
        sequence,
        service: name,
        version,
      } as const;
      this.handle(this.keeper.onFrame(command.to, promise, this.now));
    }
    return commands;
  }

  public request(round: number): KeyedRequestFrame {
    return {
      body: new Uint8Array(200),
      callId: round,
      digest: 'd'.repeat(64),
      head: {
        depth: 0,
        headers: {},
        method: 'POST',
        path: '/',
        requestId: `request-${round}`,
        service: this.services[0] ?? service,
        tenant: 'default',
      },
      key: `key-${round}-0123456789abcdef0123456789`,
      kind: 'keyed-request',
      receivedAt: this.now.wall,
      remainingMilliseconds: 1_000,
    };
  }
}

function tableOf(name: string): HomeTable {
  const assignment = { incarnation: startWall, server: 'home', since: 1 };
  return {
    quorums: [['w1', 'w2', 'w3', 'w4', 'w5']],
    ranges: Array.from({ length: 16 }, () => assignment),
    service: name,
    version: 1,
  };
}

function homeLeaseBytesPerSecond(services: number): number {
  const names = Array.from({ length: services }, (_, index) => `${service}-${index}`);
  const home = new HomeUnderTest(names);
  home.run(5_000);
  home.bytesSent = 0;
  home.run(60_000);
  return home.bytesSent / 60;
}

/** Runs one keyed request with an answer of 256 bytes through its home. */
function runKeyed(home: HomeUnderTest, round: number): void {
  for (const command of home.keeper.onRequest('entry', home.request(round), home.now)) {
    if (command.kind !== 'run-keyed') continue;
    const answer = { body: new Uint8Array(256), headers: {}, status: 200 };
    const outcome = { kind: 'answered', status: 200 } as const;
    home.handle(home.keeper.onAttemptConcluded(command.dispatchId, outcome, answer, home.now));
  }
}

function keyRecordBytes(records: number): number {
  const home = new HomeUnderTest([service]);
  home.run(2_000);
  const before = collectedHeap();
  for (let round = 0; round < records; round += 1) runKeyed(home, round);
  const used = collectedHeap() - before;
  return home.keeper.recordUsage.records === records ? used : Number.NaN;
}

function keyedMicroseconds(records: number): number {
  const home = new HomeUnderTest([service]);
  home.run(2_000);
  for (let round = 0; round < records; round += 1) runKeyed(home, round);
  return microsecondsPerRound(5_000, (round) => {
    runKeyed(home, records + round);
  });
}

const measurements: readonly Measurement[] = [
  {
    measure: callMicroseconds,
    name: 'Call engine and router: processor time of a call',
    unit: 'µs',
    values: [20, 200, 1_000, 4_000],
    variable: 'targets of the service',
  },
  {
    measure: routerBytes,
    name: 'Router: heap for its targets',
    unit: 'bytes',
    values: [1_000, 4_000, 16_000, 27_000],
    variable: 'targets',
  },
  {
    measure: gateMicroseconds,
    name: 'Gate: processor time of a request',
    unit: 'µs',
    values: [1, 10, 100, 1_000],
    variable: 'tenants',
  },
  {
    measure: homeLeaseBytesPerSecond,
    name: 'Home: bytes sent for leases',
    unit: 'bytes/s',
    values: [1, 2, 4, 8],
    variable: 'services that the node is home of',
  },
  {
    measure: keyRecordBytes,
    name: 'Home: heap for key records with an answer of 256 bytes',
    unit: 'bytes',
    values: [5_000, 20_000, 80_000],
    variable: 'records',
  },
  {
    measure: keyedMicroseconds,
    name: 'Home: processor time of a keyed request',
    unit: 'µs',
    values: [1_000, 10_000, 100_000],
    variable: 'records held',
  },
];

function report({ measure, name, unit, values, variable }: Measurement): string {
  // The first run only compiles the code.
  measure(values[0] ?? 1);
  const points = values.map((value) => [value, measure(value)] as const);
  const { intercept, slope } = fitLine(points);
  const rows = points.map(([value, measured]) => [value, formatNumber(measured)]);
  const line = `Least squares: ${formatNumber(slope)} ${unit} for each further one, ${formatNumber(intercept)} ${unit} at none.`;
  return `### ${name}\n\n${formatTable([variable, unit], rows)}\n\n${line}\n`;
}

const program = new Command('request-slopes')
  .description('Measures what the roles of the request path cost at several sizes')
  .option('--only <words>', 'measure only names that contain these words', '')
  .action(({ only }: { readonly only: string }) => {
    const chosen = measurements.filter(({ name }) => name.includes(only));
    if (chosen.length === 0)
      throw new InvalidArgumentError(`no measurement has ${only} in its name`);
    for (const measurement of chosen) process.stdout.write(`${report(measurement)}\n`);
  });

program.parse();
