import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { SeededRandomSource } from '@peridotspring/core';

import { ControlServer } from './control-server.js';
import type { Execution } from './execution-log.js';
import { FaultSwitch } from './fault-switch.js';
import { NodeLink } from './node-link.js';
import type { NodeLinkAnswer } from './node-link.js';
import { RequestRunner } from './request-runner.js';
import type { RequestRunnerOptions } from './request-runner.js';
import type { UpstreamFaults } from './upstream-faults.js';

/** Options of an upstream stand-in. */
export interface UpstreamStandInOptions extends RequestRunnerOptions {
  readonly service: string;
  /** Slots in the announcement; other than `slots` for an upstream that misleads. */
  readonly announcedSlots: number;
  readonly connections: number;
  readonly seed: number;
  /** 0 for any free port. */
  readonly port: number;
  readonly controlPort: number;
  /** `host:port` of the upstream port of the node; the upstream announces itself there. */
  readonly nodeAddress: string | undefined;
  /** A repeated announcement reaches a node that was restarted. */
  readonly announceIntervalMilliseconds: number;
  readonly faults: Partial<UpstreamFaults>;
}

/** Defaults of the upstream stand-in. */
export const defaultUpstreamStandInOptions: UpstreamStandInOptions = {
  announceIntervalMilliseconds: 1_000,
  announcedSlots: 10,
  answerBytes: 256,
  connections: 250,
  controlPort: 0,
  faults: {},
  nodeAddress: undefined,
  port: 0,
  seed: 1,
  service: 'provenance',
  serviceTime: { kind: 'fixed', milliseconds: 0 },
  slots: 10,
};

/** Counts of an upstream stand-in. */
export interface UpstreamStandInState {
  readonly executions: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly peakOccupied: number;
  readonly peakConnections: number;
  /** Requests to the health and load endpoints. */
  readonly polls: number;
  readonly draining: boolean;
}

const host = '127.0.0.1';

/** An upstream with a given number of slots, a seeded service time and injected faults. */
export class UpstreamStandIn {
  private readonly options: UpstreamStandInOptions;
  private readonly faultSwitch = new FaultSwitch();
  private readonly runner: RequestRunner;
  private readonly server: Server;
  private readonly control = new ControlServer(this);
  private readonly link: NodeLink | undefined;
  private announceTimer: NodeJS.Timeout | undefined;
  private listeningPort = 0;
  private listeningControlPort = 0;
  private connectionCount = 0;
  private peakConnections = 0;
  private polls = 0;
  private draining = false;

  public constructor(options: Partial<UpstreamStandInOptions> = {}) {
    const slots = options.slots ?? defaultUpstreamStandInOptions.slots;
    this.options = { ...defaultUpstreamStandInOptions, announcedSlots: slots, ...options };
    const random = new SeededRandomSource(this.options.seed);
    this.runner = new RequestRunner(this.options, this.faultSwitch, random);
    const { nodeAddress } = this.options;
    this.link = nodeAddress === undefined ? undefined : new NodeLink(nodeAddress);
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.maxConnections = this.options.connections;
    this.server.on('connection', (socket) => {
      this.connectionCount += 1;
      this.peakConnections = Math.max(this.peakConnections, this.connectionCount);
      socket.on('close', () => (this.connectionCount -= 1));
    });
  }

  /** `host:port` on which requests are answered. */
  public get address(): string {
    return `${host}:${this.listeningPort}`;
  }

  /** `host:port` of the control endpoint. */
  public get controlAddress(): string {
    return `${host}:${this.listeningControlPort}`;
  }

  public get faults(): UpstreamFaults {
    return this.faultSwitch.faults;
  }

  public get state(): UpstreamStandInState {
    return {
      draining: this.draining,
      executions: this.runner.log.size,
      inFlight: this.runner.inFlight,
      peakConnections: this.peakConnections,
      peakOccupied: this.runner.peakOccupied,
      polls: this.polls,
      queued: this.runner.queued,
    };
  }

  /** Executions in order of their start. */
  public executions(from = 0, limit = Number.POSITIVE_INFINITY): readonly Execution[] {
    return this.runner.log.list(from, limit);
  }

  /** Listens, and announces the upstream until it leaves if it has a node. */
  public async start(): Promise<void> {
    this.faultSwitch.change(this.options.faults, Date.now());
    await this.listen(this.options.port);
    this.listeningControlPort = await this.control.listen(this.options.controlPort, host);
    if (this.link === undefined) return;
    this.announceTimer = setInterval(() => {
      this.announceAgain();
    }, this.options.announceIntervalMilliseconds);
    await this.announce().catch(() => undefined);
  }

  /** Closes every connection, as a crash does. */
  public async close(): Promise<void> {
    clearInterval(this.announceTimer);
    await this.control.close();
    this.stopListening();
    this.server.closeAllConnections();
  }

  /** Changes the named faults and leaves the others as they are. */
  public async changeFaults(faults: Partial<UpstreamFaults>): Promise<void> {
    this.faultSwitch.change(faults, Date.now());
    if (this.faults.refuseConnections) this.stopListening();
    else if (!this.server.listening) await this.listen(this.listeningPort);
  }

  public async announce(): Promise<NodeLinkAnswer> {
    const { announcedSlots: slots, connections, service } = this.options;
    return this.node.announce({ address: this.address, connections, service, slots });
  }

  public async drain(): Promise<NodeLinkAnswer> {
    this.draining = true;
    return this.node.drain();
  }

  public async restore(): Promise<NodeLinkAnswer> {
    this.draining = false;
    return this.node.restore();
  }

  public async leave(): Promise<NodeLinkAnswer> {
    clearInterval(this.announceTimer);
    return this.node.leave();
  }

  private get node(): NodeLink {
    if (this.link === undefined) throw new Error('the upstream stand-in has no node');
    return this.link;
  }

  /** A node that was restarted knows neither the upstream nor that it drains. */
  private announceAgain(): void {
    const announced = this.announce();
    const drained = this.draining ? announced.then(() => this.node.drain()) : announced;
    // The node may be away; the next repetition tries again.
    drained.catch(() => undefined);
  }

  private async listen(port: number): Promise<void> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    const address = this.server.address();
    if (typeof address === 'object' && address !== null) this.listeningPort = address.port;
  }

  /** Closes the port and idle connections; requests in flight still get their answers. */
  private stopListening(): void {
    if (!this.server.listening) return;
    this.server.close();
    this.server.closeIdleConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url !== '/health' && request.url !== '/load') {
      await this.runner.handle(request, response);
      return;
    }
    this.polls += 1;
    const stop = new AbortController();
    response.on('close', () => {
      stop.abort();
    });
    await this.faultSwitch.thawed(stop.signal);
    if (request.url === '/health') this.answerHealth(response);
    else this.answerLoad(response);
  }

  private answerHealth(response: ServerResponse): void {
    const { failFast, health } = this.faults;
    const isHealthy = health === 'honest' ? !failFast : health === 'always-healthy';
    response.writeHead(isHealthy ? 200 : 503, { 'content-type': 'application/json' });
    response.end(`${JSON.stringify({ healthy: isHealthy })}\n`);
  }

  private answerLoad(response: ServerResponse): void {
    const actual = this.runner.inFlight;
    const inFlight = this.runner.load.inFlight(this.faults.load, actual, Date.now());
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(`${JSON.stringify({ inFlight, slots: this.options.announcedSlots })}\n`);
  }
}
