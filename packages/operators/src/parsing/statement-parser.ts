import { Worker } from 'node:worker_threads';

import type { ParseResult } from '@peridotspring/language';

/** Parses texts in the language. */
export interface StatementParser {
  parse(text: string): Promise<ParseResult>;
}

/** A request to the worker. */
export interface ParseRequest {
  readonly id: number;
  readonly text: string;
}

/** The worker's answer. */
export interface ParseReply {
  readonly id: number;
  readonly result: ParseResult;
}

interface PendingParse {
  resolve(result: ParseResult): void;
  reject(error: Error): void;
}

/** An operator who works interactively asks again within this time and finds the parser loaded. */
const defaultIdleMilliseconds = 60_000;

/**
 * Parses in a worker thread that runs only while operators ask. The parser takes 15 MiB, and loading
 * it takes up to seconds on a busy machine, for which time the event loop would serve no calls.
 */
export class WorkerParser implements StatementParser {
  private worker: Worker | undefined;
  private nextId = 1;
  private idleTimer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private readonly pending = new Map<number, PendingParse>();

  public constructor(private readonly idleMilliseconds: number = defaultIdleMilliseconds) {}

  /** Whether the worker thread exists. */
  public get isLoaded(): boolean {
    return this.worker !== undefined;
  }

  /** Rejects when the worker fails or the parser is closed. */
  public parse(text: string): Promise<ParseResult> {
    if (this.isClosed) return Promise.reject(new Error('the node stops'));
    clearTimeout(this.idleTimer);
    const worker = (this.worker ??= this.start());
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
    this.stop(new Error('the node stops'));
  }

  private start(): Worker {
    const worker = new Worker(new URL('./parser-worker.js', import.meta.url));
    const failed = (error: Error): void => {
      if (this.worker === worker) this.stop(error);
    };
    worker.on('message', (reply: ParseReply) => {
      this.replied(reply);
    });
    worker.on('error', failed);
    worker.on('exit', (code) => {
      failed(new Error(`the parser ended with code ${code}`));
    });
    return worker;
  }

  private replied({ id, result }: ParseReply): void {
    this.pending.get(id)?.resolve(result);
    this.pending.delete(id);
    if (this.pending.size > 0) return;
    this.worker?.unref();
    this.idleTimer = setTimeout(() => {
      this.stop(new Error('the parser was idle'));
    }, this.idleMilliseconds);
    this.idleTimer.unref();
  }

  private stop(reason: Error): void {
    clearTimeout(this.idleTimer);
    const { worker } = this;
    this.worker = undefined;
    const waiting = [...this.pending.values()];
    this.pending.clear();
    for (const parse of waiting) parse.reject(reason);
    void worker?.terminate();
  }
}
