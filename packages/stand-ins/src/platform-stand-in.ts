import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { PlatformGateway, type GatewayAnswer } from './platform-gateway.js';
import { platformFault, type PlatformFault } from './platform-requests.js';

/** Largest request body: a value of 1 MB in base64 and some room for the transaction around it. */
const maximumBodyBytes = 1_500_000;

/** Calls that the stand-in has received, by kind. A watch counts once, when it starts. */
export type PlatformCallCounts = Readonly<Record<string, number>>;

/** An in-memory key-value service that speaks the etcd v3 JSON gateway protocol, with faults on demand. */
export class PlatformStandIn {
  private readonly server: Server;
  private readonly gateway = new PlatformGateway();
  private readonly counts = new Map<string, number>();
  private readonly delays = new Set<NodeJS.Timeout>();
  private down = false;
  private answersToLose = 0;
  private delayMilliseconds = 0;
  private delayBeforeEffect = true;

  public constructor() {
    this.server = createServer((request, response) => {
      this.receive(request, response).catch(() => response.destroy());
    });
  }

  /** Starts to listen on loopback and returns the base URL; port 0 takes any free port. */
  public async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Calls received so far, by kind. */
  public get callCounts(): PlatformCallCounts {
    return Object.fromEntries(this.counts);
  }

  /** Watch streams that are open now. */
  public get openWatches(): number {
    return this.gateway.openWatches;
  }

  /** Injects a fault, or ends it. */
  public inject(fault: PlatformFault): void {
    const parsed = platformFault.parse(fault);
    switch (parsed.kind) {
      case 'down':
        this.down = parsed.active;
        if (parsed.active) this.gateway.cutWatches();
        return;
      case 'slow':
        this.delayMilliseconds = parsed.milliseconds;
        this.delayBeforeEffect = parsed.when === 'before-effect';
        return;
      case 'lose-answers':
        this.answersToLose = parsed.transactions;
        return;
      case 'cut-watches':
        this.gateway.cutWatches();
        return;
      case 'mute-watches':
        this.gateway.muted = parsed.active;
        return;
      case 'lapse-lease':
        this.gateway.lapse(parsed.lease);
        return;
    }
  }

  /** Closes every connection and stops all timers. */
  public async close(): Promise<void> {
    for (const timer of this.delays) {
      clearTimeout(timer);
    }
    this.gateway.close();
    const closed = new Promise<void>((resolve) =>
      this.server.close(() => {
        resolve();
      }),
    );
    this.server.closeAllConnections();
    await closed;
  }

  private async receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '';
    const body = await readBody(request);
    if (path.startsWith('/control/')) {
      this.control(path, body, response);
      return;
    }
    this.counts.set(path, (this.counts.get(path) ?? 0) + 1);
    if (this.down) {
      response.destroy();
      return;
    }
    if (this.delayBeforeEffect) await this.delay();
    if (path === '/v3/watch') {
      this.gateway.watch(body, response);
      return;
    }
    const answer = this.gateway.answer(path, body);
    if (!this.delayBeforeEffect) await this.delay();
    if (path === '/v3/kv/txn' && this.answersToLose > 0) {
      this.answersToLose -= 1;
      response.destroy();
      return;
    }
    send(response, answer);
  }

  private control(path: string, body: string, response: ServerResponse): void {
    if (path === '/control/counts') {
      send(response, { status: 200, body: { calls: this.callCounts, watches: this.openWatches } });
      return;
    }
    const fault = path === '/control/fault' ? platformFault.safeParse(parseJson(body)) : undefined;
    if (fault?.success !== true) {
      const message = fault === undefined ? 'no such control' : fault.error.message;
      send(response, { status: fault === undefined ? 404 : 400, body: { message } });
      return;
    }
    this.inject(fault.data);
    send(response, { status: 200, body: {} });
  }

  private async delay(): Promise<void> {
    if (this.delayMilliseconds === 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        this.delays.delete(timer);
        resolve();
      }, this.delayMilliseconds);
      this.delays.add(timer);
    });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maximumBodyBytes) throw new Error('request body too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function send(response: ServerResponse, answer: GatewayAnswer): void {
  const text = JSON.stringify(answer.body);
  response.writeHead(answer.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
