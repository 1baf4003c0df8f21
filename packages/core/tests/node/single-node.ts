import { createNodeCore, serviceDefaults } from '../../src/index.js';
import type {
  ClockReading,
  CoreCommand,
  CoreMessage,
  NodeCore,
  RequestClass,
  RunUpstreamCommand,
} from '../../src/index.js';

const startWallTimeMilliseconds = 1_800_000_000_000;
export const tickMilliseconds = 10;

/** A single node with a simulated clock and an in-memory store, driven step by step. */
export class SingleNode {
  public readonly commands: CoreCommand[] = [];
  public monotonic = 0;
  /** Delivers only the ticks requested by `nextTickAt`, as the daemon does. */
  public isTickingOnDemand = false;
  public tickCount = 0;
  public onCommand: (command: CoreCommand) => void = () => undefined;

  private readonly core: NodeCore;
  private readonly store = new Map<string, { value: string; version: number }>();
  private nextRequestNumber = 1;

  public constructor(incarnation = startWallTimeMilliseconds) {
    this.core = createNodeCore({
      identity: {
        availabilityZone: 'zone-a',
        incarnation,
        peerAddress: '127.0.0.1:1',
        region: 'region-a',
        server: 'only',
      },
      seed: 5,
    });
  }

  public get now(): ClockReading {
    return { monotonic: this.monotonic, wall: startWallTimeMilliseconds + this.monotonic };
  }

  public deliver(message: CoreMessage): void {
    for (const command of this.core.handle(message, this.now)) {
      this.commands.push(command);
      this.onCommand(command);
      if (command.kind === 'store') {
        this.handleStoreCommand(command);
      }
    }
  }

  public advance(milliseconds: number): void {
    const end = this.monotonic + milliseconds;
    while (this.monotonic < end) {
      this.monotonic += tickMilliseconds;
      if (this.isTickingOnDemand && this.monotonic < this.core.nextTickAt) continue;
      this.tickCount += 1;
      this.deliver({ kind: 'tick' });
    }
  }

  /**
   * Declares the service `antrag`, announces an upstream and waits until keyed requests are
   * accepted.
   */
  public startServing(slots: number): void {
    const classes: Readonly<Record<string, RequestClass>> = {
      GET: 'idempotent',
      POST: 'non-idempotent',
    };
    const configuration = {
      drainedAvailabilityZones: [],
      drainedServers: [],
      revision: 0,
      services: {
        antrag: {
          ...serviceDefaults,
          name: 'antrag',
          rampMilliseconds: 0,
          requestKinds: Object.entries(classes).map(([method, requestClass]) => ({
            method,
            name: method.toLowerCase(),
            pathPrefix: '/',
            requestClass,
          })),
        },
      },
    };
    this.advance(2_000);
    const proposal = { baseRevision: 0, changeId: 'change-1', configuration, proposalId: 1 };
    this.deliver({ ...proposal, kind: 'propose-configuration' });
    const announcement = { address: '127.0.0.1:2', connections: 10, service: 'antrag', slots };
    this.deliver({ announcement, kind: 'upstream-announced' });
    this.advance(15_000);
  }

  /** Sends a caller's request and returns its number. */
  public sendRequest(
    requestClass: RequestClass,
    options: { readonly key?: string; readonly deadlineMilliseconds?: number } = {},
  ): number {
    const requestNumber = this.nextRequestNumber;
    this.nextRequestNumber += 1;
    this.deliver({
      body: new Uint8Array([1]),
      deadlineMilliseconds: options.deadlineMilliseconds ?? 2_000,
      digest: 'digest',
      head: {
        depth: 0,
        headers: {},
        method: requestClass === 'idempotent' ? 'GET' : 'POST',
        path: '/',
        requestId: `request-${requestNumber}`,
        service: 'antrag',
        tenant: 'default',
      },
      key: options.key,
      kind: 'caller-request',
      requestClass,
      requestNumber,
      streamedBody: false,
    });
    return requestNumber;
  }

  public respond(executionId: number, status = 200, streamedBody = false): void {
    const body = streamedBody ? undefined : new Uint8Array([7]);
    const result = { body, headers: {}, kind: 'answered', status, streamedBody } as const;
    this.deliver({ executionId, kind: 'upstream-result', result });
    this.deliver({ complete: true, executionId, kind: 'upstream-finished' });
  }

  public commandsOfKind<Kind extends CoreCommand['kind']>(
    kind: Kind,
  ): Extract<CoreCommand, { readonly kind: Kind }>[] {
    return this.commands.filter(
      (command): command is Extract<CoreCommand, { readonly kind: Kind }> => command.kind === kind,
    );
  }

  public get executions(): readonly RunUpstreamCommand[] {
    return this.commandsOfKind('run-upstream');
  }

  /** Returns the outcome of a request as text: its kind with the status or reason. */
  public outcomeOf(requestNumber: number): string | undefined {
    const reply = this.commandsOfKind('reply-to-caller').find(
      (command) => command.requestNumber === requestNumber,
    );
    if (reply === undefined) {
      return undefined;
    }
    const { outcome } = reply;
    return outcome.kind === 'answered'
      ? `answered ${outcome.status}`
      : `${outcome.kind} ${outcome.reason}`;
  }

  private handleStoreCommand(command: Extract<CoreCommand, { readonly kind: 'store' }>): void {
    const { client, operation, operationId } = command;
    const found = this.store.get(operation.key);
    const entry = found && { key: operation.key, ...found };
    if (operation.kind === 'watch' || operation.kind === 'list') {
      return;
    }
    if (operation.kind === 'read') {
      const result =
        entry === undefined ? { kind: 'missing' as const } : { entry, kind: 'found' as const };
      this.deliver({ client, kind: 'store-result', operationId, result });
      return;
    }
    if ((found?.version ?? 0) !== operation.expectedVersion) {
      const result = { entry, kind: 'conflict' } as const;
      this.deliver({ client, kind: 'store-result', operationId, result });
      return;
    }
    const version = operation.expectedVersion + 1;
    this.store.set(operation.key, { value: operation.value, version });
    const result = { kind: 'written', version } as const;
    this.deliver({ client, kind: 'store-result', operationId, result });
  }
}
