import { setTimeout as sleep } from 'node:timers/promises';

import type { CallResult } from './caller.js';

const pauseMilliseconds = 5;

/** Closed-loop load: each caller sends one request at a time until the load is stopped. */
export class SteadyLoad {
  public readonly results: CallResult[] = [];

  private isStopped = false;
  private readonly callers: readonly Promise<void>[];

  /** `send` sends one request of the caller with the given number. */
  public constructor(
    callers: number,
    private readonly send: (caller: number) => Promise<CallResult>,
  ) {
    this.callers = Array.from({ length: callers }, (_, index) => this.run(index));
  }

  /** Stops the callers and resolves once all of them have received their last response. */
  public async stop(): Promise<readonly CallResult[]> {
    this.isStopped = true;
    await Promise.all(this.callers);
    return this.results;
  }

  private async run(caller: number): Promise<void> {
    while (!this.isStopped) {
      this.results.push(await this.send(caller));
      await sleep(pauseMilliseconds);
    }
  }
}
