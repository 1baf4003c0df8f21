import type { FleetServer } from '@peridotspring/stand-ins';

import { call } from './caller.js';
import type { CallOptions, CallResult } from './caller.js';

/** Longer than any test; the upstream stops running the request when the caller disconnects. */
const upstreamServiceTimeMilliseconds = 600_000;

/** Calls that occupy slots and queue places until they are aborted. */
export class LongRunningCalls {
  private readonly abortController = new AbortController();
  private readonly pending: Promise<CallResult>[] = [];

  /** Sends one idempotent request that does not finish before its deadline. */
  public start(entry: FleetServer, service: string, options: CallOptions = {}): void {
    const path = `/${service}/held?ms=${upstreamServiceTimeMilliseconds}`;
    this.pending.push(call(entry, path, { ...options, signal: this.abortController.signal }));
  }

  /** Disconnects all callers. */
  public async abortAll(): Promise<void> {
    this.abortController.abort();
    await Promise.all(this.pending);
  }
}
