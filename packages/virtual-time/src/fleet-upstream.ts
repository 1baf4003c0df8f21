import type { RandomSource, RunUpstreamCommand, UpstreamResult } from '@peridotspring/core';

import type { ExecutionEntry, FleetLog } from './fleet-log.js';
import type { FleetNode } from './fleet-node.js';

/** Header in which a keyed request carries its key to the upstream. */
export const keyHeader = 'idempotency-key';

/** Where an upstream runs and how fast it is. */
export interface FleetUpstreamOptions {
  readonly server: string;
  readonly service: string;
  readonly slots: number;
  /** Mean of the exponentially distributed service times. */
  readonly serviceMilliseconds: number;
  readonly random: RandomSource;
  readonly log: FleetLog;
  readonly now: () => number;
  readonly after: (delayMilliseconds: number, action: () => void) => void;
  readonly node: () => FleetNode | undefined;
}

interface Running {
  readonly node: FleetNode;
  readonly executionId: number;
  readonly entry: ExecutionEntry;
  remaining: number;
  runsSince: number;
}

/** An upstream that outlives its node's process and logs every execution. */
export class FleetUpstream {
  private isUp = true;
  private isFrozen = false;
  private isDraining = false;
  private readonly running = new Set<Running>();

  public constructor(private readonly options: FleetUpstreamOptions) {}

  /** Tells the node of this upstream, as it does again and again. */
  public announce(): void {
    if (!this.isUp) return;
    const { server, service, slots } = this.options;
    const announcement = { address: `upstream:${server}`, connections: 250, service, slots };
    const node = this.options.node();
    node?.deliver({ announcement, kind: 'upstream-announced' });
    if (this.isDraining) node?.deliver({ draining: true, kind: 'upstream-drain' });
  }

  public run(node: FleetNode, { executionId, head, streamedBody }: RunUpstreamCommand): void {
    if (!this.isUp) {
      this.tell(node, executionId, { kind: 'not-reached' });
      return;
    }
    const { after, log, now, random, server, serviceMilliseconds, slots } = this.options;
    const key = head.headers[keyHeader];
    const entry: ExecutionEntry = {
      body: streamedBody ? { chunks: 0, state: 'arriving' } : undefined,
      end: undefined,
      endedAt: undefined,
      key: typeof key === 'string' ? key : undefined,
      requestId: head.requestId,
      server,
      startedAt: now(),
    };
    log.executions.push(entry);
    const slowdown = Math.max(1, (this.running.size + 1) / slots);
    const remaining = -Math.log(1 - random.next()) * serviceMilliseconds * slowdown;
    const running = { entry, executionId, node, remaining, runsSince: now() };
    this.running.add(running);
    if (!this.isFrozen && !streamedBody) {
      after(remaining, () => {
        this.complete(running);
      });
    }
  }

  /** A piece or the end of a streamed body; the request runs once its body is whole. */
  public bodyArrived(
    node: FleetNode,
    executionId: number,
    kind: 'body-chunk' | 'body-cut' | 'body-end',
  ): void {
    for (const running of this.running) {
      const { body } = running.entry;
      if (running.node !== node || running.executionId !== executionId) continue;
      if (body?.state !== 'arriving') return;
      if (kind === 'body-chunk') body.chunks += 1;
      else if (kind === 'body-cut') {
        body.state = 'cut';
        this.finish(running, 'body-cut', { detail: 'the body was cut', kind: 'failed' });
      } else {
        body.state = 'whole';
        this.runAgain(running);
      }
    }
  }

  public cancel(node: FleetNode, executionId: number): void {
    for (const running of this.running) {
      if (running.node === node && running.executionId === executionId) {
        this.finish(running, 'cancelled', { detail: 'cancelled', kind: 'failed' });
      }
    }
  }

  public crash(): void {
    this.isUp = false;
    for (const running of this.running) {
      this.finish(running, 'crashed', { detail: 'connection reset', kind: 'failed' });
    }
  }

  public restart(): void {
    this.isUp = true;
    this.announce();
  }

  public freeze(): void {
    if (this.isFrozen) return;
    this.isFrozen = true;
    const now = this.options.now();
    for (const running of this.running) {
      if (running.entry.body?.state !== 'arriving') running.remaining -= now - running.runsSince;
    }
  }

  public resume(): void {
    if (!this.isFrozen) return;
    this.isFrozen = false;
    for (const running of this.running) {
      if (running.entry.body?.state !== 'arriving') this.runAgain(running);
    }
  }

  private runAgain(running: Running): void {
    const { after, now } = this.options;
    running.runsSince = now();
    if (this.isFrozen) return;
    after(Math.max(0, running.remaining), () => {
      this.complete(running);
    });
  }

  /** The log's period starts when the upstream asks, even if its node does not hear it. */
  public setDraining(draining: boolean): void {
    if (draining === this.isDraining) return;
    this.isDraining = draining;
    const { log, node, now, server } = this.options;
    if (draining) log.begin('drained', server, now());
    else log.end('drained', server, now());
    node()?.deliver({ draining, kind: 'upstream-drain' });
  }

  private complete(running: Running): void {
    const isDue = this.options.now() - running.runsSince >= running.remaining - 1e-6;
    if (this.isFrozen || !isDue || !this.running.has(running)) return;
    const { key, requestId } = running.entry;
    this.finish(running, 'answered', {
      body: new TextEncoder().encode(`${requestId} ${key ?? ''}`),
      headers: {},
      kind: 'answered',
      status: 200,
      streamedBody: false,
    });
  }

  private finish(
    running: Running,
    end: NonNullable<ExecutionEntry['end']>,
    result: UpstreamResult,
  ): void {
    this.running.delete(running);
    running.entry.end = end;
    running.entry.endedAt = this.options.now();
    this.tell(running.node, running.executionId, result);
  }

  private tell(node: FleetNode, executionId: number, result: UpstreamResult): void {
    this.options.after(0.1, () => {
      node.deliver({ executionId, kind: 'upstream-result', result });
      const complete = result.kind === 'answered';
      node.deliver({ complete, executionId, kind: 'upstream-finished' });
    });
  }
}
