import { SeededRandomSource } from '@peridotspring/core';
import type { BodyEndpoint, BodyFrame, RelayBodyCommand } from '@peridotspring/core';

import type { RequestBodyEntry } from './fleet-log.js';
import type { FleetNode } from './fleet-node.js';
import type { FleetUpstream } from './fleet-upstream.js';

const meanChunkMilliseconds = 4;
/** How long a frozen entry leaves a body unread before it is looked at again. */
const frozenPauseMilliseconds = 5;

/** What streamed bodies need from the fleet. */
export interface FleetBodiesOptions {
  readonly seed: number;
  readonly after: (delayMilliseconds: number, action: () => void) => void;
  readonly callerBody: (node: FleetNode, requestNumber: number) => RequestBodyEntry | undefined;
  readonly upstream: (server: string) => FleetUpstream | undefined;
  readonly send: (from: FleetNode, to: string, frame: BodyFrame) => void;
}

type BodyStep = 'body-chunk' | 'body-cut' | 'body-end';

/** A request body that one node moves from one end to the other. */
interface Relay {
  readonly node: FleetNode;
  readonly from: BodyEndpoint;
  readonly to: BodyEndpoint;
}

/**
 * Moves streamed request bodies as the daemon's relay does: a body ends whole only if its sender said
 * so, and the loss of an end cuts it.
 */
export class FleetBodies {
  /** Decides about bodies only, so that other decisions of a seed stay as they are. */
  public readonly random: SeededRandomSource;
  private readonly relays = new Set<Relay>();

  public constructor(private readonly options: FleetBodiesOptions) {
    this.random = new SeededRandomSource(options.seed);
  }

  public start(node: FleetNode, { direction, from, to }: RelayBodyCommand): void {
    if (direction !== 'request') return;
    const relay: Relay = { from, node, to };
    this.relays.add(relay);
    if (from.kind !== 'caller') return;
    const body = this.options.callerBody(node, from.requestNumber);
    if (body === undefined) this.step(relay, 'body-cut');
    else this.readLater(relay, body, 0);
  }

  /** A frame of another node; one of a body that is gone is dropped. */
  public frame(node: FleetNode, server: string, frame: BodyFrame): void {
    const { callId, kind } = frame;
    if (kind === 'body-credit') return;
    const end = kind === 'body-stop' ? 'to' : 'from';
    const relay = this.find(node, (candidate) => {
      const endpoint = candidate[end];
      return endpoint.kind === 'peer' && endpoint.server === server && endpoint.callId === callId;
    });
    if (relay === undefined) return;
    if (kind === 'body-stop') this.finish(relay, false);
    else this.step(relay, kind);
  }

  /** Every body from or to the server is cut. */
  public peerLost(node: FleetNode, server: string): void {
    for (const relay of [...this.relays]) {
      const ends = [relay.from, relay.to];
      const isLost = ends.some((end) => end.kind === 'peer' && end.server === server);
      if (relay.node === node && isLost) this.step(relay, 'body-cut');
    }
  }

  /** Nobody needs the body any more: its receiver sees a cut, and its sender stops. */
  public drop(node: FleetNode, dropped: BodyEndpoint): void {
    const relay = this.find(node, ({ to }) => isSameEnd(to, dropped));
    if (relay === undefined) return;
    const { from } = relay;
    this.step(relay, 'body-cut');
    if (from.kind !== 'peer') return;
    this.send(node, from.server, {
      callId: from.callId,
      direction: 'request',
      kind: 'body-stop',
    });
  }

  /** The process ended, and its streams with it; its peers notice the loss of their connections. */
  public ended(node: FleetNode): void {
    for (const relay of [...this.relays]) {
      if (relay.node !== node) continue;
      this.relays.delete(relay);
      if (relay.to.kind === 'upstream') this.toUpstream(node, relay.to.executionId, 'body-cut');
    }
  }

  private find(node: FleetNode, isWanted: (relay: Relay) => boolean): Relay | undefined {
    return [...this.relays].find((relay) => relay.node === node && isWanted(relay));
  }

  private readLater(relay: Relay, body: RequestBodyEntry, sent: number): void {
    const wait = -Math.log(1 - this.random.next()) * meanChunkMilliseconds;
    this.options.after(wait, () => {
      this.read(relay, body, sent);
    });
  }

  /** The entry reads the next piece of a caller's body. */
  private read(relay: Relay, body: RequestBodyEntry, sent: number): void {
    if (!this.relays.has(relay)) return;
    if (relay.node.isFrozen) {
      this.options.after(frozenPauseMilliseconds, () => {
        this.read(relay, body, sent);
      });
    } else if (body.state === 'cut') {
      this.step(relay, 'body-cut');
    } else if (sent === body.chunks) {
      body.state = 'whole';
      this.step(relay, 'body-end');
    } else {
      this.step(relay, 'body-chunk');
      this.readLater(relay, body, sent + 1);
    }
  }

  private step(relay: Relay, kind: BodyStep): void {
    const { node, to } = relay;
    if (to.kind === 'upstream') this.toUpstream(node, to.executionId, kind);
    else if (to.kind === 'peer') {
      const frame = { callId: to.callId, direction: 'request' } as const;
      const bytes = new Uint8Array([1]);
      this.send(
        node,
        to.server,
        kind === 'body-chunk' ? { ...frame, bytes, kind } : { ...frame, kind },
      );
    }
    if (kind !== 'body-chunk') this.finish(relay, kind === 'body-end');
  }

  private toUpstream(node: FleetNode, executionId: number, kind: BodyStep): void {
    this.options.after(0.1, () => {
      this.options.upstream(node.server)?.bodyArrived(node, executionId, kind);
    });
  }

  /** Body frames open no connection. */
  private send(node: FleetNode, server: string, frame: BodyFrame): void {
    if (node.connections.has(server)) this.options.send(node, server, frame);
  }

  private finish(relay: Relay, complete: boolean): void {
    if (!this.relays.delete(relay)) return;
    const { from, node, to } = relay;
    node.deliver({ complete, from, kind: 'relay-finished', to });
  }
}

function isSameEnd(left: BodyEndpoint, right: BodyEndpoint): boolean {
  if (left.kind === 'peer' && right.kind === 'peer') {
    return left.server === right.server && left.callId === right.callId;
  }
  if (left.kind !== 'upstream' || right.kind !== 'upstream') return false;
  return left.executionId === right.executionId;
}
