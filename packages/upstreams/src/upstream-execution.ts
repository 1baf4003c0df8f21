import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { pipeline } from 'node:stream';
import type { Readable } from 'node:stream';

import type { RunUpstreamCommand, UpstreamResult } from '@peridotspring/core';
import { findStatusFault } from '@peridotspring/mesh-core';

import { ResponseCollector } from './response-collector.js';
import { readAllFields } from './all-fields.js';
import { limitInterimResponses } from './interim-responses.js';
import { BodyEnd, findBodyEnd } from './response-framing.js';
import type { CollectedResponse, CollectionOptions } from './response-collector.js';
import { upstreamResponseFields, upstreamRequestFields } from './header-fields.js';
import type { UpstreamConnections } from './upstream-connections.js';

/** A longer response body is streamed. */
const maximumBufferedBytes = 65_536;
/** Limit for a response body that is stored in the record of an idempotency key. */
const maximumCollectedBytes = 1_048_576;

/** Handlers of an execution. Each is called exactly once, `onFinished` after `onResult`. */
export interface ExecutionHandlers {
  onResult(result: UpstreamResult, body: Readable | undefined): void;
  onFinished(isComplete: boolean): void;
}

/** Sends one request to the upstream and reports its response. */
export class UpstreamExecution {
  private request: ClientRequest | undefined;
  private hasSocket = false;
  private isConnected = false;
  private hasResponse = false;
  /** Why this node aborted the request, if it did. Errors are then not attributed to the upstream. */
  private abortReason: string | undefined;
  private hasResult = false;
  private isFinished = false;

  public constructor(
    private readonly command: RunUpstreamCommand,
    private readonly body: Readable | undefined,
    private readonly connections: UpstreamConnections,
    private readonly handlers: ExecutionHandlers,
  ) {}

  public start(): void {
    const { head, remainingMilliseconds, streamedBody } = this.command;
    const bodyLength = streamedBody ? 'streamed' : (this.command.body?.length ?? 0);
    let request: ClientRequest;
    try {
      request = httpRequest({
        agent: this.connections.agent,
        headers: upstreamRequestFields(head, remainingMilliseconds, bodyLength),
        host: this.connections.host,
        method: head.method,
        path: head.path,
        port: this.connections.port,
      });
    } catch (error) {
      // Node.js throws on methods, paths and header fields that are invalid in HTTP. This is no sign of
      // a fault of the upstream, so the result is `failed`, not `not-reached`.
      process.nextTick(() => {
        this.fail(`request is not valid HTTP: ${String(error)}`);
      });
      return;
    }
    this.request = request;
    readAllFields(request);
    limitInterimResponses(request);
    this.attachListeners(request);
    this.sendBody(request);
  }

  /** Closes the connection to the upstream. */
  public cancel(): void {
    this.abortReason ??= 'cancelled';
    this.request?.destroy();
    this.body?.destroy();
    if (this.hasSocket) return;
    // A request that is queued for a connection emits 'close' only when a connection becomes available.
    process.nextTick(() => {
      this.fail('cancelled');
    });
  }

  private attachListeners(request: ClientRequest): void {
    request.on('socket', (socket) => {
      this.hasSocket = true;
      if (!socket.connecting) this.isConnected = true;
      else socket.once('connect', () => (this.isConnected = true));
    });
    request.on('error', (error) => {
      if (this.isConnected || this.abortReason !== undefined) this.fail(error.message);
      else this.settle({ kind: 'not-reached' });
    });
    request.on('response', (response) => {
      this.hasResponse = true;
      this.handleResponse(response, request);
    });
    request.on('close', () => {
      if (!this.hasResponse) this.fail('connection closed before a response');
    });
  }

  private sendBody(request: ClientRequest): void {
    const { body } = this;
    if (!this.command.streamedBody || body === undefined) {
      request.end(this.command.body);
      return;
    }
    const recordBodyAbort = (): void => {
      if (!body.readableEnded && !this.isFinished)
        this.abortReason ??= 'request body aborted before its end';
    };
    // Registered before the listeners of `pipeline`, which aborts the request on the same events.
    body.on('error', recordBodyAbort);
    body.on('close', recordBodyAbort);
    if (body.destroyed) recordBodyAbort();
    pipeline(body, request, (error) => {
      if (error) request.destroy(error);
    });
  }

  private handleResponse(response: IncomingMessage, request: ClientRequest): void {
    const fault = findStatusFault(response.statusCode ?? 0) ?? this.findFramingFault(response);
    if (fault !== undefined) {
      response.on('error', () => undefined);
      request.destroy();
      this.fail(fault);
      return;
    }
    const collectionOptions: CollectionOptions = this.command.collectAnswer
      ? { limitBytes: maximumCollectedBytes, overflowAction: 'discard' }
      : { limitBytes: maximumBufferedBytes, overflowAction: 'stream' };
    const onCollected = (collected: CollectedResponse): void => {
      this.reportCollected(response, collected);
    };
    const onEnded = (isComplete: boolean): void => {
      // An upstream that responds before it has read the whole request body does not need the rest.
      if (!request.writableFinished) request.destroy();
      this.finish(isComplete);
    };
    new ResponseCollector(response, collectionOptions, onCollected, onEnded).start();
  }

  private findFramingFault(response: IncomingMessage): string | undefined {
    return findBodyEnd(response, this.command.head.method) === BodyEnd.Framing
      ? undefined
      : 'response has neither Content-Length nor chunked encoding, so truncation is undetectable';
  }

  private reportCollected(response: IncomingMessage, collected: CollectedResponse): void {
    const headers = upstreamResponseFields(response);
    const head = { headers, kind: 'answered' as const, status: response.statusCode ?? 0 };
    switch (collected.kind) {
      case 'whole':
        this.reportResult({ ...head, body: collected.body, streamedBody: false });
        return;
      case 'streamed':
        this.reportResult({ ...head, streamedBody: true }, collected.body);
        return;
      case 'too-long':
        this.reportResult({ ...head, streamedBody: false });
        return;
      case 'cut':
        this.fail('response aborted before the end of its body');
        return;
    }
  }

  private fail(detail: string): void {
    this.settle({ detail: this.abortReason ?? detail, kind: 'failed' });
  }

  private settle(result: UpstreamResult): void {
    this.reportResult(result);
    this.finish(false);
  }

  private reportResult(result: UpstreamResult, body?: Readable): void {
    if (this.hasResult) return;
    this.hasResult = true;
    this.handlers.onResult(result, body);
  }

  private finish(isComplete: boolean): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.body?.destroy();
    this.handlers.onFinished(isComplete);
  }
}
