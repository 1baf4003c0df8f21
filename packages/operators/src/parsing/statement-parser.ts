import { Worker } from 'node:worker_threads';

import type { ParseResult } from '@peridotspring/language';

/** Parses statements of the operator language. */
export interface StatementParser {
  parse(text: string): Promise<ParseResult>;
}

/** A message to the worker thread. */
export interface ParseRequest {
  readonly id: number;
  readonly text: string;
}

/** The worker thread's response to a `ParseRequest`. */
export interface ParseResponse {
  readonly id: number;
  readonly result: ParseResult;
}

interface PendingParse {
  resolve(result: ParseResult): void;
  reject(error: Error): void;
}

/** Long enough that the parser stays loaded while an operator works interactively. */
const defaultIdleMilliseconds = 60_000;

/**
 * Parses in a worker thread that is started on demand and stopped when idle. The parser takes 15 MiB
 * of memory, and loading it can take seconds on a busy machine, which would block the event loop.
 */
export class WorkerParser implements StatementParser {
  private worker: Worker | undefined;
  private nextId = 1;
  private idleTimer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private readonly pending = new Map<number, PendingParse>();

  public constructor(private readonly idleMilliseconds: number = defaultIdleMilliseconds) {}

  /** Whether the worker thread is running. */
  public get isLoaded(): boolean {
    return this.worker !== undefined;
  }

  /** Rejects if the worker thread fails or the parser is closed. */
  public parse(text: string): Promise<ParseResult> {
    if (this.isClosed) return Promise.reject(new Error('the node stops'));
    clearTimeout(this.idleTimer);
    const worker = (this.worker ??= this.startWorker());
    const request: ParseRequest = { id: this.nextId, text };
    this.nextId += 1;
    worker.ref();
    return new Promise((resolve, reject) => {
      this.pending.set(request.id, { reject, resolve });
      worker.postMessage(request);
    });
  }

  public close(): void {
    this.isClosed = true;
    this.stopWorker(new Error('the node stops'));
  }

  private startWorker(): Worker {
    const worker = new Worker(new URL('./parser-worker.js', import.meta.url));
    const onFailure = (error: Error): void => {
      if (this.worker === worker) this.stopWorker(error);
    };
    worker.on('message', (response: ParseResponse) => {
      this.onResponse(response);
    });
    worker.on('error', onFailure);
    worker.on('exit', (code) => {
      onFailure(new Error(`the parser thread exited with code ${code}`));
    });
    return worker;
  }

  private onResponse({ id, result }: ParseResponse): void {
    this.pending.get(id)?.resolve(result);
    this.pending.delete(id);
    if (this.pending.size > 0) return;
    this.worker?.unref();
    this.idleTimer = setTimeout(() => {
      this.stopWorker(new Error('the parser thread was stopped because it was idle'));
    }, this.idleMilliseconds);
    this.idleTimer.unref();
  }

  private stopWorker(reason: Error): void {
    clearTimeout(this.idleTimer);
    const { worker } = this;
    this.worker = undefined;
    const rejectedParses = [...this.pending.values()];
    this.pending.clear();
    for (const parse of rejectedParses) parse.reject(reason);
    void worker?.terminate();
  }
}
