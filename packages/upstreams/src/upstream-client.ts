import type { Readable } from 'node:stream';

import { assertInvariant } from '@peridotspring/core';
import type {
  RunUpstreamCommand,
  UpstreamFinishedMessage,
  UpstreamPolledMessage,
  UpstreamResult,
  UpstreamResultMessage,
} from '@peridotspring/core';

import { UpstreamConnections } from './upstream-connections.js';
import { UpstreamExecution } from './upstream-execution.js';
import { pollUpstream } from './upstream-poll.js';

/** What the client tells the core. */
export type UpstreamClientMessage =
  UpstreamFinishedMessage | UpstreamPolledMessage | UpstreamResultMessage;

/**
 * HTTP client to the upstream beside the node. Each execution reports one `upstream-result` and
 * then one `upstream-finished`, never before `run` has returned.
 */
export class UpstreamClient {
  private connections: UpstreamConnections | undefined;
  private readonly executions = new Map<number, UpstreamExecution>();
  /** Streamed answers that have not been read to their end. */
  private readonly bodies = new Map<number, Readable>();
  private poller: AbortController | undefined;
  private isClosed = false;

  public constructor(private readonly report: (message: UpstreamClientMessage) => void) {}

  /** Address and connections as announced. Requests on their way to a former address may finish. */
  public setAddress(address: string, connections: number): void {
    if (this.connections?.address === address) {
      this.connections.resize(connections);
      return;
    }
    this.connections?.retire();
    this.connections = new UpstreamConnections(address, connections);
  }

  /** Sends a request; `body` is needed when the command says that the body is streamed. */
  public run(command: RunUpstreamCommand, body?: Readable): void {
    const { executionId } = command;
    assertInvariant(!this.executions.has(executionId), `execution ${executionId} was run twice`);
    assertInvariant(
      !command.streamedBody || body !== undefined,
      `execution ${executionId} lacks its streamed body`,
    );
    const { connections } = this;
    if (connections === undefined || this.isClosed) {
      body?.destroy();
      process.nextTick(() => {
        this.reportResult(executionId, { kind: 'not-reached' });
        this.report({ complete: false, executionId, kind: 'upstream-finished' });
      });
      return;
    }
    const execution = new UpstreamExecution(command, body, connections, {
      finished: (complete) => {
        this.executions.delete(executionId);
        connections.requestEnded();
        this.report({ complete, executionId, kind: 'upstream-finished' });
      },
      result: (result, answerBody) => {
        if (answerBody !== undefined) this.keepBody(executionId, answerBody);
        this.reportResult(executionId, result);
      },
    });
    this.executions.set(executionId, execution);
    connections.requestStarted();
    execution.start();
  }

  /** Aborts an execution and drops its answer's body; does nothing if there is neither. */
  public cancel(executionId: number): void {
    this.executions.get(executionId)?.cancel();
    this.bodies.get(executionId)?.destroy();
  }

  /** The body of an answer that was reported as streamed, until it has been read. */
  public answerBody(executionId: number): Readable | undefined {
    return this.bodies.get(executionId);
  }

  /** Polls the health and load endpoints once; does nothing while a poll is in progress. */
  public poll(): void {
    if (this.poller !== undefined || this.isClosed) return;
    this.poller = new AbortController();
    void this.pollOnce(this.poller);
  }

  /** Aborts every execution and closes all connections. */
  public close(): void {
    this.isClosed = true;
    this.poller?.abort();
    for (const execution of this.executions.values()) execution.cancel();
    for (const body of this.bodies.values()) body.destroy();
    this.connections?.retire();
  }

  private async pollOnce(stop: AbortController): Promise<void> {
    const { connections } = this;
    const unknown = { healthy: false, inFlight: undefined };
    const polled = connections === undefined ? unknown : pollUpstream(connections, stop);
    const result = await polled;
    this.poller = undefined;
    if (!this.isClosed) this.report({ ...result, kind: 'upstream-polled' });
  }

  private keepBody(executionId: number, body: Readable): void {
    this.bodies.set(executionId, body);
    body.on('close', () => this.bodies.delete(executionId));
  }

  private reportResult(executionId: number, result: UpstreamResult): void {
    this.report({ executionId, kind: 'upstream-result', result });
  }
}
