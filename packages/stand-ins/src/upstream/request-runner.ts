import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { setTimeout as sleep } from 'node:timers/promises';

import type { RandomSource } from '@peridotspring/core';

import { answerLine, answerPart, answerStream, readAnswerWish } from './answer-body.js';
import type { AnswerWish } from './answer-body.js';
import { ExecutionLog, ExecutionResult } from './execution-log.js';
import type { FaultSwitch } from './fault-switch.js';
import { ReportedLoad } from './reported-load.js';
import { drawServiceTime } from './service-time.js';
import type { ServiceTime } from './service-time.js';
import { SlotPool } from './slot-pool.js';

/** How an upstream stand-in runs requests. */
export interface RequestRunnerOptions {
  readonly slots: number;
  readonly serviceTime: ServiceTime;
  /** Size of an answer's body when the request does not ask for one. */
  readonly answerBytes: number;
}

const deadlineHeader = 'peridotspring-deadline-ms';

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Runs requests within the slots, under the faults in force, and logs each execution. */
export class RequestRunner {
  public readonly log = new ExecutionLog();
  public readonly load = new ReportedLoad();
  private readonly pool: SlotPool;
  private peak = 0;

  public constructor(
    private readonly options: RequestRunnerOptions,
    private readonly faults: FaultSwitch,
    private readonly random: RandomSource,
  ) {
    this.pool = new SlotPool(options.slots);
  }

  public get inFlight(): number {
    return this.pool.inUse;
  }

  public get queued(): number {
    return this.pool.queued;
  }

  /** Most requests that ever ran or waited at once. */
  public get peakOccupied(): number {
    return this.peak;
  }

  /** Answers one request, or closes its connection; never rejects. */
  public async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.faults.faults.refuseConnections) response.setHeader('connection', 'close');
    if (this.faults.faults.failFast) {
      request.resume();
      response.writeHead(500).end('failing fast\n');
      return;
    }
    const stop = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) stop.abort(ExecutionResult.Cancelled);
    });
    const deadline = Number(headerOf(request, deadlineHeader) ?? Number.NaN);
    const timer = Number.isFinite(deadline)
      ? setTimeout(() => {
          stop.abort(ExecutionResult.DeadlinePassed);
        }, deadline)
      : undefined;
    try {
      await this.runInSlot(request, response, stop.signal);
    } catch {
      // The request's body was cut or the connection was lost; nobody waits for an answer.
      response.destroy();
    } finally {
      clearTimeout(timer);
    }
  }

  private async runInSlot(
    request: IncomingMessage,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const digest = createHash('sha256');
    for await (const chunk of request) digest.update(chunk as Buffer);
    this.peak = Math.max(this.peak, this.pool.inUse + this.pool.queued + 1);
    if (!(await this.pool.take(signal))) {
      this.answerDeadline(response, signal);
      return;
    }
    this.load.changed(this.pool.inUse, Date.now());
    const number = this.log.start({
      idempotencyKey: headerOf(request, 'idempotency-key'),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      requestId: headerOf(request, 'peridotspring-request-id'),
      startedAt: Date.now(),
    });
    let result: ExecutionResult = ExecutionResult.Cancelled;
    try {
      response.setHeader('stand-in-body-digest', digest.digest('hex'));
      response.setHeader('stand-in-execution', number);
      result = await this.execute(request, response, signal);
    } finally {
      this.log.end(number, result, Date.now());
      this.pool.release();
      this.load.changed(this.pool.inUse, Date.now());
    }
  }

  private async execute(
    request: IncomingMessage,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<ExecutionResult> {
    const wish = readAnswerWish(request.url ?? '/', this.options.answerBytes);
    const drawn = wish.milliseconds ?? drawServiceTime(this.options.serviceTime, this.random);
    const milliseconds = drawn * this.faults.slowdown(Date.now());
    // An abort ends the sleep early; the signal is looked at below.
    if (milliseconds > 0) await sleep(milliseconds, undefined, { signal }).catch(() => undefined);
    await this.faults.thawed(signal);
    if (signal.aborted) {
      this.answerDeadline(response, signal);
      return signal.reason as ExecutionResult;
    }
    if (this.faults.faults.closeWithoutAnswer) {
      request.socket.destroy();
      return ExecutionResult.Unanswered;
    }
    return this.answer(request, response, wish, signal);
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
    wish: AnswerWish,
    signal: AbortSignal,
  ): Promise<ExecutionResult> {
    const method = request.method ?? 'GET';
    const line = answerLine(method, request.url ?? '/', headerOf(request, 'idempotency-key'));
    if (!wish.chunked) response.setHeader('content-length', wish.bytes);
    response.writeHead(wish.status, { 'content-type': 'text/plain' });
    if (this.faults.faults.cutBody) {
      response.write(answerPart(line, 0, Math.floor(wish.bytes / 2)), () => {
        request.socket.destroy();
      });
      return ExecutionResult.Unanswered;
    }
    const hasBody = method !== 'HEAD' && wish.status !== 204 && wish.status !== 304;
    await pipeline(answerStream(line, hasBody ? wish.bytes : 0), response).catch(() => undefined);
    if (response.writableFinished) return ExecutionResult.Answered;
    response.destroy();
    return signal.reason === ExecutionResult.DeadlinePassed
      ? ExecutionResult.DeadlinePassed
      : ExecutionResult.Cancelled;
  }

  private answerDeadline(response: ServerResponse, signal: AbortSignal): void {
    if (signal.reason === ExecutionResult.DeadlinePassed) {
      response.writeHead(504).end('the deadline has passed\n');
    }
  }
}
