import { nextInteger, pickRandom, SeededRandomSource } from '@peridotspring/core';

import type { Fleet } from './fleet.js';
import { isWaiting } from './fleet-callers.js';
import type { FleetNode } from './fleet-node.js';

/** How callers behave. */
export interface FleetLoadOptions {
  readonly seed: number;
  /** Mean time between two new requests. */
  readonly intervalMilliseconds: number;
  /** Share of the requests that have a key. */
  readonly keyedShare: number;
  /** Share of the requests without a key whose body is streamed. */
  readonly streamedShare: number;
  /** Share of the requests whose caller goes away early. */
  readonly abandonedShare: number;
  /** Share of the keyed requests that are also sent through another node soon. */
  readonly doubledShare: number;
  /** Age from which callers choose a node as entry, as a readiness probe would have it. */
  readonly entryAgeMilliseconds: number;
}

/** A load that is enough to have requests on the way at every fault. */
export const usualLoad: Omit<FleetLoadOptions, 'seed'> = {
  abandonedShare: 0.05,
  doubledShare: 0.3,
  entryAgeMilliseconds: 0,
  intervalMilliseconds: 15,
  keyedShare: 0.7,
  streamedShare: 0.4,
};

const deadlines = [300, 1_000, 2_000, 2_000, 4_000];
const resendDelays = [0, 1, 5, 50, 400, 1_200, 2_500, 5_000];
const maximumChunks = 8;
const maximumResends = 4;
/** More than the slots and the queues of a service's usual servers hold. */
const surgeRequests = 250;
/** Share of the keys that a home may refuse because they were made too far ahead of its clock. */
const futureShare = 0.03;

/** Callers who send requests at random times and resend keys until they have an answer. */
export class FleetLoad {
  private isRunning = false;
  private readonly random: SeededRandomSource;

  public constructor(
    private readonly fleet: Fleet,
    private readonly options: FleetLoadOptions,
  ) {
    this.random = new SeededRandomSource(options.seed);
  }

  public start(): void {
    this.isRunning = true;
    this.sendLater();
  }

  public stop(): void {
    this.isRunning = false;
  }

  /** Sends many requests of one service at once, so that gates refuse some. */
  public surge(service: string): void {
    for (let sent = 0; sent < surgeRequests; sent += 1) this.sendKeyed(service);
  }

  private sendLater(): void {
    const wait = -Math.log(1 - this.random.next()) * this.options.intervalMilliseconds;
    this.fleet.after(wait, () => {
      if (!this.isRunning) return;
      this.sendNew();
      this.sendLater();
    });
  }

  private sendNew(): void {
    const { fleet, options, random } = this;
    const service = pickRandom(random, fleet.servers)?.service ?? '';
    if (random.next() < options.keyedShare) this.sendKeyed(service);
    else this.send(service, undefined, 0);
  }

  private sendKeyed(service: string): void {
    const { fleet, options, random } = this;
    // Callers' clocks are off by as much as the nodes' are, and a few by more.
    const ahead = random.next() < futureShare ? 1_000 * random.next() : 0;
    const key = fleet.callers.createKey(fleet.wall + 400 * (random.next() - 0.5) + ahead);
    this.send(service, key, maximumResends);
    if (random.next() < options.doubledShare) {
      fleet.after(this.resendDelay(), () => {
        this.send(service, key, 0);
      });
    }
  }

  private send(service: string, key: string | undefined, resends: number): void {
    const { fleet, random } = this;
    const node = pickRandom(random, this.entries());
    if (node === undefined) return;
    const deadlineMilliseconds = pickRandom(random, deadlines) ?? 2_000;
    const bodyChunks = key === undefined ? this.bodyChunks() : undefined;
    const request = fleet.callers.send(node, { bodyChunks, deadlineMilliseconds, key, service });
    if (request === undefined) return;
    if (random.next() < this.options.abandonedShare) {
      fleet.after(40 * random.next(), () => {
        fleet.callers.abandon(request);
      });
    }
    if (key === undefined || resends === 0) return;
    fleet.after(deadlineMilliseconds + 300 + this.resendDelay(), () => {
      const isAnswered = request.answers[0]?.outcome.kind === 'answered';
      if (!isAnswered && !isWaiting(request)) this.send(service, key, resends - 1);
    });
  }

  /** Length of a streamed body; undefined for one that is held whole. */
  private bodyChunks(): number | undefined {
    const { random } = this.fleet.bodies;
    if (random.next() >= this.options.streamedShare) return undefined;
    return 1 + nextInteger(random, maximumChunks);
  }

  /** Nodes that callers may choose; those that stop tell them to go elsewhere. */
  private entries(): FleetNode[] {
    const { entryAgeMilliseconds } = this.options;
    return this.fleet.running.filter(
      ({ clock, core }) => !core.isStopping && clock.monotonic >= entryAgeMilliseconds,
    );
  }

  private resendDelay(): number {
    return resendDelays[nextInteger(this.random, resendDelays.length)] ?? 0;
  }
}
