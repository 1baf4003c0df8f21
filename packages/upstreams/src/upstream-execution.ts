import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { pipeline } from 'node:stream';
import type { Readable } from 'node:stream';

import type { RunUpstreamCommand, UpstreamResult } from '@peridotspring/core';

import { AnswerCollector } from './answer-collector.js';
import type { CollectedAnswer, CollectionRule } from './answer-collector.js';
import { upstreamAnswerFields, upstreamRequestFields } from './header-fields.js';
import type { UpstreamConnections } from './upstream-connections.js';

/** A longer answer is streamed. */
const wholeAnswerBytes = 65_536;
/** Limit for answers that belong to a key's record. */
const keyedAnswerBytes = 1_048_576;

/** What an execution reports; `finished` follows `result`, each exactly once. */
export interface ExecutionReports {
  result(result: UpstreamResult, body: Readable | undefined): void;
  finished(complete: boolean): void;
}

/** Whether the end of an answer's body can be told from a lost connection (RFC 9112, section 6.3). */
function isEndMarked(response: IncomingMessage, method: string): boolean {
  const { headers, statusCode } = response;
  if (method === 'HEAD' || statusCode === 204 || statusCode === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** One request to the upstream. */
export class UpstreamExecution {
  private request: ClientRequest | undefined;
  private hasSocket = false;
  private isConnected = false;
  private hasResponse = false;
  /** Why this side ended the request, if it did; then errors say nothing about the upstream. */
  private abortDetail: string | undefined;
  private hasResult = false;
  private isFinished = false;

  public constructor(
    private readonly command: RunUpstreamCommand,
    private readonly body: Readable | undefined,
    private readonly connections: UpstreamConnections,
    private readonly reports: ExecutionReports,
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
      // Node.js rejects methods, paths and fields that can't be written as HTTP. That says nothing
      // about the upstream, so it is not reported as not reached.
      process.nextTick(() => {
        this.fail(`the request can't be written: ${String(error)}`);
      });
      return;
    }
    this.request = request;
    this.listen(request);
    this.sendBody(request);
  }

  /** Closes the connection to the upstream. */
  public cancel(): void {
    this.abortDetail ??= 'cancelled';
    this.request?.destroy();
    this.body?.destroy();
    if (this.hasSocket) return;
    // A request that waits for a connection tells of its end only once it would get one.
    process.nextTick(() => {
      this.fail('cancelled');
    });
  }

  private listen(request: ClientRequest): void {
    request.on('socket', (socket) => {
      this.hasSocket = true;
      if (!socket.connecting) this.isConnected = true;
      else socket.once('connect', () => (this.isConnected = true));
    });
    request.on('error', (error) => {
      if (this.isConnected || this.abortDetail !== undefined) this.fail(error.message);
      else this.end({ kind: 'not-reached' });
    });
    request.on('response', (response) => {
      this.hasResponse = true;
      this.receive(response, request);
    });
    request.on('close', () => {
      if (!this.hasResponse) this.fail('the connection was closed without an answer');
    });
  }

  private sendBody(request: ClientRequest): void {
    const { body } = this;
    if (!this.command.streamedBody || body === undefined) {
      request.end(this.command.body);
      return;
    }
    const noteCut = (): void => {
      if (!body.readableEnded && !this.isFinished) this.abortDetail ??= 'the request body was cut';
    };
    // These come before the listeners of `pipeline`, which aborts the request on the same events.
    body.on('error', noteCut);
    body.on('close', noteCut);
    if (body.destroyed) noteCut();
    pipeline(body, request, (error) => {
      if (error) request.destroy(error);
    });
  }

  private receive(response: IncomingMessage, request: ClientRequest): void {
    if (!isEndMarked(response, this.command.head.method)) {
      response.on('error', () => undefined);
      request.destroy();
      this.fail('the answer has neither a length nor chunks, so a cut could not be told');
      return;
    }
    const rule: CollectionRule = this.command.collectAnswer
      ? { limitBytes: keyedAnswerBytes, whenLonger: 'discard' }
      : { limitBytes: wholeAnswerBytes, whenLonger: 'stream' };
    const concluded = (answer: CollectedAnswer): void => {
      this.conclude(response, answer);
    };
    const ended = (complete: boolean): void => {
      // An upstream that answers before it has read the body doesn't want the rest of it.
      if (!request.writableFinished) request.destroy();
      this.finish(complete);
    };
    new AnswerCollector(response, rule, concluded, ended).start();
  }

  private conclude(response: IncomingMessage, answer: CollectedAnswer): void {
    const headers = upstreamAnswerFields(response.headers);
    const head = { headers, kind: 'answered' as const, status: response.statusCode ?? 0 };
    switch (answer.kind) {
      case 'whole':
        this.report({ ...head, body: answer.body, streamedBody: false });
        return;
      case 'streamed':
        this.report({ ...head, streamedBody: true }, answer.body);
        return;
      case 'too-long':
        this.report({ ...head, streamedBody: false });
        return;
      case 'cut':
        this.fail('the answer was cut');
        return;
    }
  }

  private fail(detail: string): void {
    this.end({ detail: this.abortDetail ?? detail, kind: 'failed' });
  }

  private end(result: UpstreamResult): void {
    this.report(result);
    this.finish(false);
  }

  private report(result: UpstreamResult, body?: Readable): void {
    if (this.hasResult) return;
    this.hasResult = true;
    this.reports.result(result, body);
  }

  private finish(complete: boolean): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.body?.destroy();
    this.reports.finished(complete);
  }
}
