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

/** A message from the client to the core. */
export type UpstreamClientMessage =
  UpstreamFinishedMessage | UpstreamPolledMessage | UpstreamResultMessage;

/**
 * HTTP client for the upstream beside the node. For each execution it reports one `upstream-result` and
 * then one `upstream-finished`, both after `run` has returned.
 */
export class UpstreamClient {
  private connections: UpstreamConnections | undefined;
  private readonly executions = new Map<number, UpstreamExecution>();
  /** Streamed response bodies that have not been read completely, by execution. */
  private readonly streamedBodies = new Map<number, Readable>();
  private activePoll: AbortController | undefined;
  private isClosed = false;

  public constructor(private readonly onMessage: (message: UpstreamClientMessage) => void) {}

  /** Sets the announced address and number of connections. Requests in flight to a previous address may finish. */
  public setAddress(address: string, connections: number): void {
    if (this.connections?.address === address) {
      this.connections.resize(connections);
      return;
    }
    this.connections?.retire();
    this.connections = new UpstreamConnections(address, connections);
  }

  /** Sends a request; `body` is required if the command has `streamedBody`. */
  public run(command: RunUpstreamCommand, body?: Readable): void {
    const { executionId } = command;
    assertInvariant(
      !this.executions.has(executionId),
      `execution ${executionId} is already running`,
    );
    assertInvariant(
      !command.streamedBody || body !== undefined,
      `execution ${executionId} has no stream for its body`,
    );
    const { connections } = this;
    if (connections === undefined || this.isClosed) {
      body?.destroy();
      process.nextTick(() => {
        this.reportResult(executionId, { kind: 'not-reached' });
        this.onMessage({ complete: false, executionId, kind: 'upstream-finished' });
      });
      return;
    }
    const execution = new UpstreamExecution(command, body, connections, {
      onFinished: (complete) => {
        this.executions.delete(executionId);
        connections.onRequestEnded();
        this.onMessage({ complete, executionId, kind: 'upstream-finished' });
      },
      onResult: (result, streamedResponseBody) => {
        if (streamedResponseBody !== undefined)
          this.trackStreamedBody(executionId, streamedResponseBody);
        this.reportResult(executionId, result);
      },
    });
    this.executions.set(executionId, execution);
    connections.onRequestStarted();
    execution.start();
  }

  /** Aborts an execution and destroys its streamed response body, if they exist. */
  public cancel(executionId: number): void {
    this.executions.get(executionId)?.cancel();
    this.streamedBodies.get(executionId)?.destroy();
  }

  /** The body of a response that was reported as streamed, until it has been read completely. */
  public responseBody(executionId: number): Readable | undefined {
    return this.streamedBodies.get(executionId);
  }

  /** Polls the health and load endpoints once; does nothing while a poll is in progress. */
  public poll(): void {
    if (this.activePoll !== undefined || this.isClosed) return;
    this.activePoll = new AbortController();
    void this.pollOnce(this.activePoll);
  }

  /** Aborts every execution and closes all connections. */
  public close(): void {
    this.isClosed = true;
    this.activePoll?.abort();
    for (const execution of this.executions.values()) execution.cancel();
    for (const body of this.streamedBodies.values()) body.destroy();
    this.connections?.retire();
  }

  private async pollOnce(abortController: AbortController): Promise<void> {
    const { connections } = this;
    const unhealthy = { healthy: false, inFlight: undefined };
    const pendingResult =
      connections === undefined ? unhealthy : pollUpstream(connections, abortController);
    const result = await pendingResult;
    this.activePoll = undefined;
    if (!this.isClosed) this.onMessage({ ...result, kind: 'upstream-polled' });
  }

  private trackStreamedBody(executionId: number, body: Readable): void {
    this.streamedBodies.set(executionId, body);
    body.on('close', () => this.streamedBodies.delete(executionId));
  }

  private reportResult(executionId: number, result: UpstreamResult): void {
    this.onMessage({ executionId, kind: 'upstream-result', result });
  }
}
