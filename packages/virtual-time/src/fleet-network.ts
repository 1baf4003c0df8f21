import type { BodyFrame, CoreFrame, NodeIdentity, RandomSource } from '@peridotspring/core';

import type { FleetNode } from './fleet-node.js';

/** Silence after which a node closes a connection, as in the package `nodes`. */
const silenceMilliseconds = 5_000;
/** Time until a connection to a node that can't be reached is given up, as in the package `nodes`. */
const dialMilliseconds = 3_000;

/** A frame between two nodes: for the core, or of a streamed body. */
export type FleetFrame = BodyFrame | CoreFrame;

/** Changes, drops or repeats a frame on its way; only for tests that break the network on purpose. */
export type Intercept = (
  from: NodeIdentity,
  to: NodeIdentity,
  frame: FleetFrame,
) => readonly FleetFrame[];

/** What the network needs from the fleet. */
export interface FleetNetworkOptions {
  readonly random: RandomSource;
  readonly now: () => number;
  readonly after: (delayMilliseconds: number, action: () => void) => void;
  /** The process that listens at the server's address. */
  readonly listener: (server: string) => FleetNode | undefined;
  readonly intercept?: Intercept | undefined;
  /** Takes a frame of a streamed body. */
  readonly bodyFrame: (node: FleetNode, server: string, frame: BodyFrame) => void;
  /** The node has lost its connection to the server. */
  readonly lost: (node: FleetNode, server: string) => void;
}

/** One TCP connection between two processes: ordered, and lossless until it is lost. */
export interface FleetConnection {
  readonly ends: readonly [FleetNode, FleetNode];
  /** Time at which the last frame in each direction arrives, by its receiver. */
  readonly arrivals: Map<FleetNode, number>;
  /** Frames that wait for the end of a cut, by their receiver. */
  readonly held: Map<FleetNode, FleetFrame[]>;
  /** Ends that know that the connection is lost. */
  readonly lostAt: Set<FleetNode>;
  isClosing: boolean;
}

/** Connections between the nodes, with delays per pair of availability zones. */
export class FleetNetwork {
  private readonly connections = new Set<FleetConnection>();
  /** Times at which connection attempts that are in progress fail, by the two processes. */
  private readonly failingDials = new Map<string, number>();
  private cut: (from: NodeIdentity, to: NodeIdentity) => boolean = () => false;

  public constructor(private readonly options: FleetNetworkOptions) {}

  /** Sends a frame; without an address only over a connection that is open. */
  public send(from: FleetNode, to: string, address: string, frame: FleetFrame): void {
    const connection = from.connections.get(to) ?? this.dial(from, to, address, frame);
    if (connection === undefined) return;
    const [first, second] = connection.ends;
    const receiver = first === from ? second : first;
    const { intercept } = this.options;
    for (const sent of intercept?.(from.identity, receiver.identity, frame) ?? [frame]) {
      this.transmit(connection, from, receiver, sent);
    }
  }

  /** Frames between nodes for which the function returns true wait until the next call. */
  public setCut(cut: (from: NodeIdentity, to: NodeIdentity) => boolean): void {
    this.cut = cut;
    for (const connection of this.connections) {
      const [first, second] = connection.ends;
      if (this.isCut(first, second)) this.closeAfterSilence(connection);
      else this.release(connection);
    }
  }

  /** A frozen process is silent, so its peers give the connections up after a time. */
  public frozen(node: FleetNode): void {
    for (const connection of node.connections.values()) this.closeAfterSilence(connection);
  }

  /** The process ended. After the loss of its machine the peers notice only the silence. */
  public ended(node: FleetNode, withItsMachine: boolean): void {
    for (const [server, connection] of [...node.connections]) {
      const peer = connection.ends.find((end) => end.server === server);
      node.connections.delete(server);
      if (peer === undefined) continue;
      const delay = this.delay(node.identity, peer.identity);
      const noticed = Math.max(delay, this.untilArrival(connection, peer));
      this.loseAfter(connection, peer, withItsMachine ? silenceMilliseconds : noticed);
    }
  }

  private dial(
    from: FleetNode,
    to: string,
    address: string,
    frame: FleetFrame,
  ): FleetConnection | undefined {
    const { after, listener, now } = this.options;
    const target = address === '' ? undefined : listener(to);
    const pair = `${from.life} ${to}`;
    const failsAt = this.failingDials.get(pair) ?? 0;
    if (failsAt > now()) {
      this.notSent(from, to, frame, failsAt - now());
      return undefined;
    }
    if (target === undefined || target.isFrozen || this.isCut(from, target)) {
      const delay = target === undefined ? 2 : dialMilliseconds;
      this.failingDials.set(pair, now() + delay);
      this.notSent(from, to, frame, delay);
      return undefined;
    }
    // The target closes its side of an older connection before it takes frames from a new one.
    const older = target.connections.get(from.server);
    if (older !== undefined) this.lose(older, target);
    const connection: FleetConnection = {
      arrivals: new Map(),
      ends: [from, target],
      held: new Map(),
      isClosing: false,
      lostAt: new Set(),
    };
    const handshake = 2 * this.delay(from.identity, target.identity);
    for (const end of connection.ends) connection.arrivals.set(end, now() + handshake);
    this.connections.add(connection);
    from.connections.set(to, connection);
    after(handshake, () => {
      if (!target.isRunning) this.loseAfter(connection, from, handshake);
    });
    target.connections.set(from.server, connection);
    return connection;
  }

  private notSent(from: FleetNode, to: string, frame: FleetFrame, delay: number): void {
    if (isBodyFrame(frame)) return;
    this.options.after(delay, () => {
      from.deliver({ congested: false, frame, kind: 'frame-not-sent', to });
    });
  }

  private transmit(
    connection: FleetConnection,
    from: FleetNode,
    to: FleetNode,
    frame: FleetFrame,
  ): void {
    if (!to.isRunning) {
      // A process that started anew at the address resets connections that it does not know.
      const isReset = this.options.listener(to.server) !== undefined;
      if (isReset) this.loseAfter(connection, from, 2 * this.delay(from.identity, to.identity));
      return;
    }
    if (this.isCut(from, to)) {
      const waiting = connection.held.get(to) ?? [];
      waiting.push(frame);
      connection.held.set(to, waiting);
      this.closeAfterSilence(connection);
      return;
    }
    const { after, now } = this.options;
    const wait = this.untilArrival(connection, to);
    const delay = Math.max(wait, this.delay(from.identity, to.identity));
    connection.arrivals.set(to, now() + delay);
    after(delay, () => {
      if (connection.lostAt.has(to)) return;
      const { server } = from;
      if (!isBodyFrame(frame)) to.deliver({ frame, from: server, kind: 'peer-frame' });
      else {
        to.receive(() => {
          this.options.bodyFrame(to, server, frame);
        });
      }
    });
  }

  private untilArrival(connection: FleetConnection, to: FleetNode): number {
    return Math.max(0, (connection.arrivals.get(to) ?? 0) - this.options.now());
  }

  private release(connection: FleetConnection): void {
    const [first, second] = connection.ends;
    for (const receiver of connection.ends) {
      const sender = receiver === first ? second : first;
      const frames = connection.held.get(receiver) ?? [];
      connection.held.delete(receiver);
      for (const frame of frames) this.transmit(connection, sender, receiver, frame);
    }
  }

  private closeAfterSilence(connection: FleetConnection): void {
    if (connection.isClosing) return;
    connection.isClosing = true;
    const { after, random } = this.options;
    const [first, second] = connection.ends;
    after(silenceMilliseconds, () => {
      connection.isClosing = false;
      if (!this.isCut(first, second) && !first.isFrozen && !second.isFrozen) return;
      // The two ends notice the silence on their own, up to a second apart.
      for (const end of connection.ends) this.loseAfter(connection, end, 1_000 * random.next());
    });
  }

  private loseAfter(connection: FleetConnection, end: FleetNode, delay: number): void {
    this.options.after(delay, () => {
      this.lose(connection, end);
    });
  }

  private lose(connection: FleetConnection, end: FleetNode): void {
    if (connection.lostAt.has(end)) return;
    connection.lostAt.add(end);
    const [first, second] = connection.ends;
    const peer = end === first ? second : first;
    if (end.connections.get(peer.server) === connection) end.connections.delete(peer.server);
    end.receive(() => {
      this.options.lost(end, peer.server);
    });
    end.deliver({ kind: 'peer-lost', server: peer.server });
    if (connection.lostAt.size === connection.ends.length || !peer.isRunning) {
      this.connections.delete(connection);
    } else {
      this.loseAfter(
        connection,
        peer,
        this.delay(end.identity, peer.identity) + silenceMilliseconds,
      );
    }
  }

  private isCut(first: FleetNode, second: FleetNode): boolean {
    return this.cut(first.identity, second.identity);
  }

  /** One-way delays between availability zones as in the requirements, with rare long ones. */
  private delay(from: NodeIdentity, to: NodeIdentity): number {
    const { random } = this.options;
    const isNear = from.availabilityZone === to.availabilityZone;
    const usual = (isNear ? 0.25 : 1.5) * (0.5 + random.next());
    return random.next() < 0.005 ? usual + 50 * random.next() : usual;
  }
}

function isBodyFrame(frame: FleetFrame): frame is BodyFrame {
  return frame.kind.startsWith('body-');
}
