import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';

import {
  ClientFault,
  connectionBytes,
  connectionProcessing,
  headMemory,
  MemoryPlace,
  parsingCost,
  ProcessingAllowance,
  processingCost,
  requestBytes,
  UnproductiveInput,
} from '@peridotspring/mesh-core';
import type { MemoryAccount, MemoryHold } from '@peridotspring/mesh-core';

import type { DeferredConnection, DeferredInput } from './deferred-input.js';
import { nextSlice } from './input-slice.js';
import type { InputSlice } from './input-slice.js';
import { OutputWriter } from './output-writer.js';

/** Input beyond this is left in the kernel while no further request may be parsed. */
const maximumUnparsedBytes = 16_384;
/** A socket that is paused reads once more, at most this much. */
const readAheadBytes = 65_536;
/** Enough for a client to close its side, which takes one round trip after it has read the last response. */
const lingerMilliseconds = 1_000;
const microsecondsPerMillisecond = 1_000;

/** Limits on what a client sends and on the time that it takes. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** What the owner of a connection decides about it. */
export interface ClientHandlers {
  /** Whether a further request may be parsed, or more of the body of the last one. */
  readonly mayParse: (isInBody: boolean) => boolean;
  /**
   * What the client has sent is not parsed any further. The owner lets requests in progress end, responds if a request has begun
   * and the fault has a status, and closes the connection.
   */
  readonly onFault: (fault: ClientFault, hasRequestBegun: boolean) => void;
}

export interface ClientStreamOptions {
  /** The clock of the memory account. */
  readonly clock: () => number;
  readonly deferredInput: DeferredInput;
  readonly limits: () => ClientLimits;
  readonly memory: MemoryAccount;
  readonly place: MemoryPlace;
}

/**
 * The connection of a client, as the HTTP parser sees it. Owns the socket. Counts what the client sends before the parser gets
 * it, and gives the parser no more than the owner of the connection, the memory and the processor time allow.
 */
export class ClientStream extends Duplex implements DeferredConnection {
  private input: Buffer = Buffer.alloc(0);
  /** Memory of the connection, of unparsed input, and of a head that is being read. */
  private readonly hold: MemoryHold;
  private openHeadBytes = 0;
  /** Time at which the head that is being read began; infinite if none is. */
  private headStartedAt = Infinity;
  /** Time since which no request is in progress; infinite if one is. */
  private idleSince: number;
  private readonly unproductive = new UnproductiveInput();
  private readonly allowance: ProcessingAllowance;
  private readonly writer: OutputWriter;
  private handlers: ClientHandlers = { mayParse: () => true, onFault: () => undefined };
  /** The last request whose head has been read. */
  private message: IncomingMessage | undefined;
  /** Bytes that are still to come of the body of the last request, if its length is known. */
  private bodyBytesLeft = 0;
  private isParsing = false;
  /** Whether the owner allowed no parsing when it was last asked. */
  private isGated = false;
  private isDeferred = false;
  private isSocketPaused = false;
  private isDiscarding = false;
  private isLingering = false;

  public constructor(
    private readonly socket: Socket,
    private readonly options: ClientStreamOptions,
  ) {
    super({ allowHalfOpen: true });
    const { clock, memory, place } = options;
    const now = performance.now();
    this.idleSince = now;
    this.allowance = new ProcessingAllowance(connectionProcessing, now);
    this.writer = new OutputWriter(socket);
    const end = (): void => {
      this.handleFault(ClientFault.NoMemory);
    };
    this.hold = memory.open({ end, place }, clock());
    socket.setTimeout(options.limits().idleTimeoutMilliseconds);
    socket.on('data', (chunk: Buffer) => {
      this.handleInput(chunk);
    });
    socket.on('end', () => {
      this.handleEnd();
    });
    socket.on('timeout', () => {
      this.emit('timeout');
    });
    socket.on('error', (error) => {
      this.destroy(error);
    });
    socket.on('close', () => {
      this.destroy();
    });
    this.on('resume', () => {
      this.parse();
    });
  }

  /** Takes memory for the connection; to be called once its owner is known. Returns false if there is none. */
  public begin(handlers: ClientHandlers): boolean {
    this.handlers = handlers;
    return this.hold.tryResize(connectionBytes, this.options.clock());
  }

  /** Time since which the client does not read on; infinite if it does. */
  public get unreadSince(): number {
    return this.writer.blockedSince;
  }

  /** Whether the client has sent more than the requests whose heads have been read. */
  public get hasInput(): boolean {
    return this.input.length > 0 || this.isHeadOpen;
  }

  /** Counts processor time that a request takes beside its parsing. */
  public spendProcessing(milliseconds: number): void {
    this.allowance.spend(microsecondsPerMillisecond * milliseconds, performance.now());
    this.options.deferredInput.spend(microsecondsPerMillisecond * milliseconds);
  }

  /** To be called when the last request in progress has been answered. */
  public onIdle(): void {
    this.idleSince = performance.now();
    this.hold.progressedAt = this.options.clock();
  }

  /** Parses on, if that is allowed; to be called when `mayParse` may have changed. */
  public parse(): void {
    if (this.isParsing || this.isDeferred) return;
    this.isParsing = true;
    this.updateGate();
    while (this.mayParse() && this.input.length > 0) {
      const isUsedUp = this.allowance.isUsedUp(performance.now());
      if (isUsedUp && !this.options.deferredInput.isFree) {
        this.defer();
        break;
      }
      const cost = this.parseSlice();
      if (isUsedUp) this.options.deferredInput.spend(cost);
    }
    this.isParsing = false;
    this.updateGate();
    this.updateReading();
  }

  public processInput(): number {
    if (this.destroyed) return processingCost.read;
    this.isDeferred = false;
    if (this.input.length === 0) {
      this.setReading(true);
      return processingCost.read;
    }
    if (!this.mayParse()) return processingCost.read;
    this.isParsing = true;
    const cost = this.parseSlice();
    this.isParsing = false;
    if (this.input.length > 0 && this.mayParse()) this.defer();
    this.updateReading();
    return cost;
  }

  /**
   * Takes the memory of a request whose head has been read over from the connection. To be called for each request, before the
   * parser goes on.
   */
  public beginRequest(message: IncomingMessage, end: () => void): MemoryHold {
    const { clock, memory, place } = this.options;
    this.message = message;
    this.bodyBytesLeft = Number(message.headers['content-length'] ?? 0);
    this.headStartedAt = Infinity;
    this.idleSince = Infinity;
    this.hold.progressedAt = Infinity;
    this.unproductive.onHead();
    this.observeBody(message);
    this.socket.setTimeout(0);
    const bytes = Math.max(this.openHeadBytes, requestBytes);
    const now = clock();
    this.allowance.spend(processingCost.request, performance.now());
    this.openHeadBytes = 0;
    this.hold.tryResize(this.heldBytes, now);
    const hold = memory.open({ end, place }, now);
    hold.tryResize(bytes, now);
    // Only a request whose body is being read can stall.
    hold.progressedAt = Infinity;
    return hold;
  }

  /** Reads what the client still sends, and discards it. */
  public discardInput(): void {
    if (this.isDiscarding) return;
    this.isDiscarding = true;
    this.isSocketPaused = false;
    this.dropInput();
    this.socket.resume();
  }

  /** Parses nothing more: the parser does not take what the client sends for a request. */
  public reject(fault: ClientFault): void {
    this.endInput(fault, true);
  }

  /** Checks the time that the client takes for a head or to read an answer. */
  public checkProgress(): void {
    const now = performance.now();
    const { headerTimeoutMilliseconds, idleTimeoutMilliseconds } = this.options.limits();
    if (!this.isGated && now - this.headStartedAt > headerTimeoutMilliseconds)
      this.handleFault(ClientFault.HeadLate);
    // Empty lines keep the socket busy, but they are no request.
    if (!this.isHeadOpen && now - this.idleSince > idleTimeoutMilliseconds)
      this.handleFault(ClientFault.Idle);
    if (now - this.writer.blockedSince <= idleTimeoutMilliseconds) return;
    this.handlers.onFault(ClientFault.AnswerNotRead, false);
    this.destroy();
  }

  /**
   * Closes the connection after the last response, and discards what the client has sent in the meantime. Closing it with unread
   * bytes would reset it, and the client could lose the last response (RFC 9112, section 9.6).
   */
  public destroySoon(): void {
    this.isLingering = true;
    this.discardInput();
    this.end();
    const timer = setTimeout(() => this.destroy(), lingerMilliseconds);
    timer.unref();
    this.once('close', () => {
      clearTimeout(timer);
    });
  }

  /** Called by the HTTP server for the time between two requests. */
  public setTimeout(milliseconds: number): this {
    this.socket.setTimeout(milliseconds);
    return this;
  }

  public override _read(): void {
    // Input is pushed as it comes; `parse` stops at the limits.
  }

  public override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.writer.write([chunk], callback);
  }

  public override _writev(
    chunks: { readonly chunk: Buffer }[],
    callback: (error?: Error | null) => void,
  ): void {
    this.writer.write(
      chunks.map(({ chunk }) => chunk),
      callback,
    );
  }

  public override _final(callback: (error?: Error | null) => void): void {
    this.socket.end(callback);
  }

  public override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    this.options.deferredInput.remove(this);
    this.input = Buffer.alloc(0);
    this.hold.release();
    this.socket.destroy();
    callback(error);
  }

  private get heldBytes(): number {
    const readAhead = this.isSocketPaused ? readAheadBytes : 0;
    return connectionBytes + this.input.length + this.openHeadBytes + readAhead;
  }

  private get isHeadOpen(): boolean {
    return this.headStartedAt !== Infinity;
  }

  /** Whether the body of the last request has not been read to its end. */
  private get isInBody(): boolean {
    return this.message?.complete === false;
  }

  private mayParse(): boolean {
    if (this.destroyed || this.isDiscarding) return false;
    if (this.readableFlowing !== true || this.readableLength > 0) return false;
    return this.handlers.mayParse(this.isInBody);
  }

  /** The time for a head does not run while it may not be parsed. */
  private updateGate(): void {
    const isGated = !this.handlers.mayParse(this.isInBody);
    if (this.isGated && !isGated && this.isHeadOpen) this.headStartedAt = performance.now();
    this.isGated = isGated;
    // Unparsed input gives way to others if the requests before it take long.
    if (isGated && this.input.length > 0 && this.hold.progressedAt === Infinity)
      this.hold.progressedAt = this.options.clock();
  }

  private handleInput(chunk: Buffer): void {
    if (this.isDiscarding) {
      this.discard(chunk);
      return;
    }
    this.input = this.input.length === 0 ? chunk : Buffer.concat([this.input, chunk]);
    this.allowance.spend(processingCost.read, performance.now());
    if (!this.hold.tryResize(this.heldBytes, this.options.clock())) {
      this.handleFault(ClientFault.NoMemory);
      return;
    }
    this.parse();
    this.keepRest(chunk);
  }

  /** Discarding takes processor time too. What is left unread resets the connection, but only after the time to linger. */
  private discard({ length }: Buffer): void {
    const { deferredInput } = this.options;
    const cost = processingCost.read + parsingCost(length, 0);
    this.allowance.spend(cost, performance.now());
    if (!this.allowance.isUsedUp(performance.now())) return;
    if (deferredInput.isFree) deferredInput.spend(cost);
    else this.socket.pause();
  }

  /** A short rest must not keep all of the bytes in memory that were read with it. */
  private keepRest(chunk: Buffer): void {
    const { length } = this.input;
    if (length > 0 && this.input.buffer === chunk.buffer && length < chunk.length / 2)
      this.input = Buffer.from(this.input);
  }

  /** Parses a little of the input. Returns the processor time that it takes, in microseconds. */
  private parseSlice(): number {
    const { clock, limits } = this.options;
    const { headerBytes } = limits();
    const { isInBody, message } = this;
    const isBodyOnly = isInBody && this.bodyBytesLeft > 0;
    const slice = isBodyOnly
      ? this.nextBodySlice()
      : nextSlice(this.input, headerBytes, this.isHeadOpen);
    const { byteCount, lineCount } = slice;
    const now = performance.now();
    if (!isInBody && slice.hasText) this.addToHead(slice, now);
    const bytes = this.input.subarray(0, byteCount);
    this.input = this.input.subarray(byteCount);
    if (!this.hold.tryResize(this.heldBytes, clock())) {
      this.handleFault(ClientFault.NoMemory);
      return processingCost.read;
    }
    const cost = parsingCost(byteCount, lineCount);
    this.allowance.spend(cost, now);
    if (isBodyOnly) this.bodyBytesLeft -= byteCount;
    else this.unproductive.add(byteCount);
    this.push(bytes);
    const requestCost = this.message === message ? 0 : processingCost.request;
    // Whatever framed the body has brought its end.
    if (isInBody && !this.isInBody && this.message === message) this.unproductive.onHead();
    if (this.unproductive.exceeds(headerBytes))
      this.handleFault(this.isInBody ? ClientFault.BodyMostlyFraming : ClientFault.HeadTooLong);
    return cost + requestCost;
  }

  private nextBodySlice(): InputSlice {
    const byteCount = Math.min(this.input.length, this.bodyBytesLeft);
    return { byteCount, hasText: true, lineCount: 0 };
  }

  private addToHead({ byteCount, lineCount }: InputSlice, now: number): void {
    if (!this.isHeadOpen) {
      this.headStartedAt = now;
      this.openHeadBytes = requestBytes;
    }
    this.openHeadBytes += headMemory(byteCount, lineCount);
  }

  /** The parser pushes each part of a body to the message, which may be read much later. */
  private observeBody(message: IncomingMessage): void {
    if (message.headers['transfer-encoding'] === undefined) return;
    const push = message.push.bind(message);
    message.push = (chunk: Buffer | null): boolean => {
      if (chunk !== null) this.unproductive.onBodyBytes(chunk.length);
      return push(chunk);
    };
  }

  private defer(): void {
    this.isDeferred = true;
    this.options.deferredInput.add(this);
  }

  private updateReading(): void {
    if (this.isDiscarding || this.destroyed) return;
    const { deferredInput } = this.options;
    if (!this.isDeferred && this.input.length === 0 && !deferredInput.isFree) {
      if (this.allowance.isUsedUp(performance.now())) this.defer();
    }
    this.setReading(!this.isDeferred && this.input.length < maximumUnparsedBytes);
  }

  private setReading(isReading: boolean): void {
    if (isReading !== this.isSocketPaused) return;
    this.isSocketPaused = !isReading;
    if (isReading) this.socket.resume();
    else this.socket.pause();
    if (!this.hold.tryResize(this.heldBytes, this.options.clock()))
      this.handleFault(ClientFault.NoMemory);
  }

  private handleFault(fault: ClientFault): void {
    this.endInput(fault, this.isHeadOpen || this.isInBody);
  }

  private endInput(fault: ClientFault, hasRequestBegun: boolean): void {
    if (this.isDiscarding || this.destroyed) return;
    this.discardInput();
    this.handlers.onFault(fault, hasRequestBegun);
  }

  private handleEnd(): void {
    if (this.isLingering) {
      this.destroy();
      return;
    }
    this.dropInput();
    this.push(null);
  }

  private dropInput(): void {
    this.options.deferredInput.remove(this);
    this.isDeferred = false;
    this.input = Buffer.alloc(0);
    this.openHeadBytes = 0;
    this.headStartedAt = Infinity;
    this.hold.tryResize(this.heldBytes, this.options.clock());
  }
}
