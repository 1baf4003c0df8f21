import type { FleetServer } from '@peridotspring/stand-ins';

import { call } from './caller.js';
import type { CallOptions, CallResult } from './caller.js';

/** Longer than any test; the upstream stops when the caller goes away. */
const serviceTimeMilliseconds = 600_000;

/** Calls that keep slots and queues occupied until they are released. */
export class HeldCalls {
  private readonly abort = new AbortController();
  private readonly pending: Promise<CallResult>[] = [];

  /** Sends one idempotent call that does not end by itself before its deadline. */
  public add(entry: FleetServer, service: string, options: CallOptions = {}): void {
    const path = `/${service}/held?ms=${serviceTimeMilliseconds}`;
    this.pending.push(call(entry, path, { ...options, signal: this.abort.signal }));
  }

  /** Lets every caller go away. */
  public async release(): Promise<void> {
    this.abort.abort();
    await Promise.all(this.pending);
  }
}
