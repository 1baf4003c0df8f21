import type {
  HomeCommand,
  HomeFrame,
  HomeSettings,
  HomeTable,
  KeyAnswerFrame,
  KeyedOutcome,
  KeyedRequestFrame,
  MemberRecord,
  MemberState,
  RandomSource,
  StoreOperation,
  StoreResult,
} from '../../../src/index.js';
import {
  defaultHomeSettings,
  HomeManager,
  nextInteger,
  SeededRandomSource,
} from '../../../src/index.js';

export const service = 'issuance';
/** Wall time at virtual time 0. */
export const epoch = 1_800_000_000_000;
const tickMilliseconds = 20;
/** Time from a fault of a node until the other nodes detect it. */
const detectionMilliseconds = 4_000;
/** Time after which an entry gives up an attempt. */
const entryTimeoutMilliseconds = 2_500;
/** How long a stopping node continues after its hand-over, to finish its calls as an entry. */
const exitMilliseconds = 500;

/**
 * Probabilities of random faults, and the range in which wall clocks vary; all 0 without faults.
 */
export interface FaultRates {
  readonly duplicate: number;
  readonly slowFrame: number;
  readonly connectionLoss: number;
  readonly storeAnswerLoss: number;
  readonly gateRefusal: number;
  readonly dispatchLoss: number;
  readonly clockSkewMilliseconds: number;
}

export const noFaults: FaultRates = {
  connectionLoss: 0,
  dispatchLoss: 0,
  duplicate: 0,
  gateRefusal: 0,
  clockSkewMilliseconds: 0,
  slowFrame: 0,
  storeAnswerLoss: 0,
};

/** An attempt of a caller, as recorded for the check. */
export interface Attempt {
  readonly number: number;
  readonly key: string;
  readonly digest: string;
  readonly enteredAt: number;
  outcome?: KeyedOutcome;
  /** Virtual time at which the home sent the outcome. */
  outcomeAt?: number;
  answeredAt?: number;
}

export interface Execution {
  readonly key: string;
  readonly digest: string;
  readonly attempt: number;
  readonly at: number;
}

interface SimulatedNode {
  readonly server: string;
  readonly availabilityZone: string;
  manager: HomeManager;
  incarnation: number;
  isStopping: boolean;
  wallOffset: number;
  state: 'up' | 'frozen' | 'down' | 'left';
  /** Calls into the node while it is frozen, in order. */
  backlog: (() => void)[];
  /** Raised by every crash and restart, so that events of an earlier incarnation are dropped. */
  generation: number;
  readonly knownMembers: Map<string, MemberRecord>;
}

type WireFrame =
  | HomeFrame
  | KeyAnswerFrame
  | KeyedRequestFrame
  | {
      readonly kind: 'outcome';
      readonly attempt: number;
      readonly outcome: KeyedOutcome;
      readonly at: number;
    };

interface SimulationEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Simulates several home managers in virtual time, with a network, a store, upstreams and entries.
 */
export class HomeNetwork {
  public now = 0;
  public readonly attempts: Attempt[] = [];
  public readonly executions: Execution[] = [];
  public readonly nodes = new Map<string, SimulatedNode>();
  public readonly counters = new Map<string, number>();
  public isStoreUp = true;
  private stored: { value: string; version: number } | undefined;
  private readonly events: SimulationEvent[] = [];
  private order = 0;
  private readonly random: RandomSource;
  private readonly arrivals = new Map<string, number>();
  private readonly connectionGenerations = new Map<string, number>();
  private readonly partitioned = new Set<string>();

  public constructor(
    seed: number,
    servers: number,
    private readonly faults: FaultRates = noFaults,
    private readonly settings: HomeSettings = defaultHomeSettings,
  ) {
    this.random = new SeededRandomSource(seed);
    for (let index = 0; index < servers; index += 1) this.addNode(`s${index}`, `zone-${index % 3}`);
    if (faults.clockSkewMilliseconds > 0)
      this.every(700, () => {
        this.shiftClocks();
      });
    if (faults.connectionLoss > 0)
      this.every(100, () => {
        this.loseConnection();
      });
  }

  /** Starts a node, or restarts it with empty memory as a new incarnation. */
  public addNode(server: string, availabilityZone: string): void {
    const previous = this.nodes.get(server);
    const incarnation = epoch + this.now + 1;
    const node: SimulatedNode = {
      availabilityZone,
      backlog: [],
      incarnation,
      isStopping: false,
      manager: new HomeManager({ incarnation, server }, this.settings),
      generation: (previous?.generation ?? 0) + 1,
      server,
      state: 'up',
      knownMembers: new Map(
        previous?.knownMembers ?? [...this.nodes.values()][0]?.knownMembers ?? [],
      ),
      wallOffset: 0,
    };
    this.nodes.set(server, node);
    for (const other of this.nodes.values()) {
      if (other.state === 'up') node.knownMembers.set(other.server, this.member(other, 'serving'));
    }
    this.gossipMember(node, 'serving', 50);
    this.scheduleTick(node, node.generation);
  }

  public crash(server: string): void {
    const node = this.node(server);
    node.state = 'down';
    node.generation += 1;
    node.backlog = [];
    this.scheduleFailureDetection(node, node.generation);
  }

  public freeze(server: string, milliseconds: number): void {
    const node = this.node(server);
    const { generation } = node;
    if (node.state !== 'up') return;
    node.state = 'frozen';
    this.scheduleFailureDetection(node, generation);
    this.after(milliseconds, () => {
      if (node.generation !== generation || node.state !== 'frozen') return;
      node.state = 'up';
      for (const run of node.backlog.splice(0)) run();
      this.rejoin(node);
    });
  }

  /** Reports a live node as dead to all nodes; it rejoins after this time. */
  public reportDead(server: string, milliseconds: number): void {
    const node = this.node(server);
    const { generation } = node;
    this.gossipMember(node, 'dead', 0);
    this.after(milliseconds, () => {
      if (node.generation === generation && node.state === 'up') this.rejoin(node);
    });
  }

  /** Cuts the node named `server` off from the other nodes, but not from the store. */
  public cutOff(server: string, milliseconds: number): void {
    const node = this.node(server);
    const { generation } = node;
    if (node.state !== 'up' || this.partitioned.has(server)) return;
    this.partitioned.add(server);
    this.scheduleFailureDetection(node, generation);
    this.after(milliseconds, () => {
      this.partitioned.delete(server);
      if (node.generation === generation && node.state === 'up') this.rejoin(node);
    });
  }

  /** Starts the planned stop of a node, which leaves after its hand-over. */
  public stop(server: string): void {
    const node = this.node(server);
    if (node.state !== 'up') return;
    node.isStopping = true;
    this.gossipMember(node, 'draining', 50);
    this.callInto(node, () => node.manager.startHandOver(this.clock(node)));
  }

  /** Sends an attempt of a caller through an entry. */
  public send(key: string, entry: string, digest = 'd'): Attempt {
    const attempt: Attempt = { digest, enteredAt: this.now, key, number: this.attempts.length };
    this.attempts.push(attempt);
    const node = this.node(entry);
    if (node.state !== 'up') return attempt;
    const frame: KeyedRequestFrame = {
      body: new Uint8Array([1]),
      callId: attempt.number,
      digest,
      head: {
        depth: 0,
        headers: {},
        method: 'POST',
        path: '/',
        requestId: String(attempt.number),
        service,
        tenant: 't',
      },
      key,
      kind: 'keyed-request',
      receivedAt: this.clock(node).wall,
      remainingMilliseconds: entryTimeoutMilliseconds,
    };
    this.forward(node, frame, node.manager.table(service) ?? this.randomTable(), 0);
    return attempt;
  }

  /** Advances virtual time and runs the events that become due. */
  public runFor(milliseconds: number): void {
    const end = this.now + milliseconds;
    for (let next = this.events[0]; next !== undefined && next.at <= end; next = this.events[0]) {
      this.pop();
      this.now = next.at;
      next.run();
    }
    this.now = end;
  }

  public after(milliseconds: number, run: () => void): void {
    this.order += 1;
    push(this.events, { at: this.now + milliseconds, order: this.order, run });
  }

  public every(milliseconds: number, run: () => void): void {
    this.after(milliseconds, () => {
      run();
      this.every(milliseconds, run);
    });
  }

  public table(): HomeTable | undefined {
    return this.stored === undefined ? undefined : (JSON.parse(this.stored.value) as HomeTable);
  }

  public liveServers(): string[] {
    return [...this.nodes.values()]
      .filter(({ isStopping, state }) => state === 'up' && !isStopping)
      .map((node) => node.server);
  }

  private node(server: string): SimulatedNode {
    const node = this.nodes.get(server);
    if (node === undefined) throw new Error(`no node ${server}`);
    return node;
  }

  private clock(node: SimulatedNode): { monotonic: number; wall: number } {
    return { monotonic: this.now, wall: epoch + this.now + node.wallOffset };
  }

  private shiftClocks(): void {
    for (const node of this.nodes.values()) {
      node.wallOffset = Math.round((this.random.next() - 0.5) * this.faults.clockSkewMilliseconds);
    }
  }

  private scheduleTick(node: SimulatedNode, generation: number): void {
    this.after(tickMilliseconds, () => {
      if (
        node.generation !== generation ||
        node.state === 'left' ||
        this.nodes.get(node.server) !== node
      )
        return;
      if (node.state === 'up') this.callInto(node, () => node.manager.tick(this.clock(node)));
      this.scheduleTick(node, generation);
    });
  }

  /** Calls into a node, if it is frozen as soon as it no longer is. */
  private callInto(node: SimulatedNode, call: () => readonly HomeCommand[]): void {
    if (node.state === 'frozen') {
      node.backlog.push(() => {
        this.callInto(node, call);
      });
      return;
    }
    if (node.state !== 'up') return;
    for (const command of call()) this.execute(node, command);
  }

  private execute(node: SimulatedNode, command: HomeCommand): void {
    switch (command.kind) {
      case 'send':
        this.transmit(node, command.to, command.frame);
        break;
      case 'keyed-reply':
        this.transmit(node, command.to, {
          at: this.now,
          attempt: command.callId,
          kind: 'outcome',
          outcome: command.outcome,
        });
        break;
      case 'run-keyed':
        this.runDispatch(node, command.dispatchId, Number(command.head.requestId));
        break;
      case 'store':
        this.storeOperation(node, command.operationId, command.operation);
        break;
      case 'handed-over':
        this.after(exitMilliseconds, () => {
          node.state = 'left';
          this.gossipMember(node, 'left', 50);
        });
        break;
      case 'count': {
        const name = `${command.counter} ${Object.values(command.labels).join(' ')}`;
        this.counters.set(name, (this.counters.get(name) ?? 0) + command.by);
        break;
      }
      case 'log':
        break;
    }
  }

  /**
   * Frames between two nodes are delivered in order. A lost connection loses all frames in flight.
   */
  private transmit(from: SimulatedNode, to: string, frame: WireFrame): void {
    if (this.isCut(from.server, to)) return;
    const pair = `${from.server}>${to}`;
    const connection = this.connectionGenerations.get(pair) ?? 0;
    const slow = this.occurs(this.faults.slowFrame) ? nextInteger(this.random, 4_000) : 0;
    const delay = to === from.server ? 0 : 1 + nextInteger(this.random, 3) + slow;
    const at = Math.max(this.arrivals.get(pair) ?? 0, this.now + delay);
    this.arrivals.set(pair, at);
    const copies = this.occurs(this.faults.duplicate) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.after(at - this.now, () => {
        const node = this.node(to);
        if (
          (this.connectionGenerations.get(pair) ?? 0) !== connection ||
          this.isCut(from.server, to)
        )
          return;
        this.receive(node, from.server, frame);
      });
    }
  }

  private receive(node: SimulatedNode, from: string, frame: WireFrame): void {
    switch (frame.kind) {
      case 'keyed-request':
        this.callInto(node, () => node.manager.onRequest(from, frame, this.clock(node)));
        break;
      case 'outcome':
        this.callInto(node, () => {
          this.onOutcome(node, frame.attempt, frame.outcome, frame.at);
          return [];
        });
        break;
      case 'key-answer':
        break;
      case 'home-confirm':
      case 'home-promise':
      case 'home-lease-answer':
      case 'home-lease-question':
      case 'home-table':
      case 'home-table-request':
      case 'records-received':
      case 'records-transfer':
        this.callInto(node, () => node.manager.onFrame(from, frame, this.clock(node)));
    }
  }

  private readonly sentFrames = new Map<number, { frame: KeyedRequestFrame; tries: number }>();

  private forward(
    node: SimulatedNode,
    frame: KeyedRequestFrame,
    table: HomeTable | undefined,
    tries: number,
  ): void {
    const home = table?.ranges[node.manager.rangeOf(frame.key)]?.server ?? this.randomServer();
    this.sentFrames.set(frame.callId, { frame, tries });
    this.transmit(node, home, frame);
  }

  private onOutcome(node: SimulatedNode, number: number, outcome: KeyedOutcome, at: number): void {
    const attempt = this.attempts[number];
    const sent = this.sentFrames.get(number);
    if (attempt === undefined || sent === undefined || attempt.outcome !== undefined) return;
    if (this.now - attempt.enteredAt > entryTimeoutMilliseconds) return;
    if (outcome.kind === 'not-home') {
      if (sent.tries >= 4) return;
      const { frame, tries } = sent;
      this.after(20, () => {
        this.forward(node, frame, outcome.table ?? this.randomTable(), tries + 1);
      });
      return;
    }
    attempt.outcome = outcome;
    attempt.outcomeAt = at;
    attempt.answeredAt = this.now;
  }

  /**
   * Simulates a dispatch: a gate refuses it, runs and answers it, or runs it but the connection is
   * lost.
   */
  private runDispatch(node: SimulatedNode, dispatchId: number, number: number): void {
    const attempt = this.attempts[number];
    if (attempt === undefined) throw new Error(`no attempt ${number}`);
    const { digest, key } = attempt;
    const { generation } = node;
    const finish = (
      outcome: Parameters<HomeManager['onAttemptConcluded']>[1],
      body?: string,
    ): void => {
      if (node.generation !== generation || this.nodes.get(node.server) !== node) return;
      const answer =
        body === undefined
          ? undefined
          : { body: new TextEncoder().encode(body), headers: {}, status: 201 };
      this.callInto(node, () =>
        node.manager.onAttemptConcluded(dispatchId, outcome, answer, this.clock(node)),
      );
    };
    const delay = 1 + nextInteger(this.random, 20);
    if (this.occurs(this.faults.gateRefusal)) {
      this.after(delay, () => {
        finish({ kind: 'refused-not-run', reason: 'no-slot' });
      });
      return;
    }
    const isLost = this.occurs(this.faults.dispatchLoss);
    const isSlow = this.occurs(this.faults.slowFrame);
    const runsAt = isLost || isSlow ? nextInteger(this.random, 4_000) : delay;
    this.after(runsAt, () => {
      this.executions.push({ at: this.now, attempt: number, digest, key });
      if (!isLost)
        this.after(delay, () => {
          finish({ kind: 'answered', status: 201 }, key);
        });
    });
    if (isLost) {
      this.after(delay, () => {
        finish({ attemptStarted: true, kind: 'outcome-unknown', reason: 'connection-lost' });
      });
    }
  }

  private storeOperation(
    node: SimulatedNode,
    operationId: number,
    operation: StoreOperation,
  ): void {
    const { generation } = node;
    const answer = (result: StoreResult): void => {
      this.after(2, () => {
        if (node.generation !== generation) return;
        this.callInto(node, () =>
          node.manager.onStoreResult(operationId, result, this.clock(node)),
        );
      });
    };
    const isLost = this.occurs(this.faults.storeAnswerLoss);
    const isLate = isLost && this.occurs(0.5);
    if (isLate || !this.isStoreUp) answer({ kind: 'unknown' });
    if (!this.isStoreUp) return;
    this.after(2 + (isLate ? nextInteger(this.random, 3_000) : 0), () => {
      const result = this.applyToStore(operation);
      if (!isLate) answer(isLost ? { kind: 'unknown' } : result);
    });
  }

  private applyToStore(operation: StoreOperation): StoreResult {
    const entry = this.stored === undefined ? undefined : { key: operation.key, ...this.stored };
    if (operation.kind !== 'compare-and-swap') {
      return entry === undefined ? { kind: 'missing' } : { entry, kind: 'found' };
    }
    if (operation.expectedVersion !== (entry?.version ?? 0)) return { entry, kind: 'conflict' };
    this.stored = { value: operation.value, version: (entry?.version ?? 0) + 1 };
    return { kind: 'written', version: this.stored.version };
  }

  private member(node: SimulatedNode, state: MemberState): MemberRecord {
    const { availabilityZone, incarnation, server } = node;
    return {
      availabilityZone,
      incarnation,
      peerAddress: `${server}:1`,
      region: 'r',
      server,
      service,
      slots: 10,
      state,
    };
  }

  /** Propagates the state of a member to every node, to each after its own random delay. */
  private gossipMember(node: SimulatedNode, state: MemberState, delay: number): void {
    const record = this.member(node, state);
    for (const observer of this.nodes.values()) {
      this.after(delay + nextInteger(this.random, 200), () => {
        this.observe(observer, record);
      });
    }
  }

  private observe(observer: SimulatedNode, record: MemberRecord): void {
    const known = observer.knownMembers.get(record.server);
    if (known !== undefined && known.incarnation > record.incarnation) return;
    observer.knownMembers.set(record.server, record);
    this.callInto(observer, () =>
      observer.manager.onMembersChanged(
        [...observer.knownMembers.values()],
        new Set(),
        this.clock(observer),
      ),
    );
  }

  private scheduleFailureDetection(node: SimulatedNode, generation: number): void {
    this.after(detectionMilliseconds, () => {
      const isBack = node.state === 'up' && !this.partitioned.has(node.server);
      if (node.generation !== generation || isBack || node.state === 'left') return;
      if (this.nodes.get(node.server) !== node) return;
      this.gossipMember(node, 'dead', 0);
    });
  }

  /** Lets a node that was reported dead raise its incarnation and become a member again. */
  private rejoin(node: SimulatedNode): void {
    node.incarnation += 1;
    this.gossipMember(node, 'serving', 50);
  }

  private loseConnection(): void {
    if (!this.occurs(this.faults.connectionLoss)) return;
    const pair = `${this.randomServer()}>${this.randomServer()}`;
    this.connectionGenerations.set(pair, (this.connectionGenerations.get(pair) ?? 0) + 1);
    this.arrivals.delete(pair);
  }

  private isCut(from: string, to: string): boolean {
    return from !== to && (this.partitioned.has(from) || this.partitioned.has(to));
  }

  private occurs(probability: number): boolean {
    return probability > 0 && this.random.next() < probability;
  }

  private randomServer(): string {
    const servers = [...this.nodes.keys()];
    return servers[nextInteger(this.random, servers.length)] ?? '';
  }

  private randomTable(): HomeTable | undefined {
    return this.nodes.get(this.randomServer())?.manager.table(service);
  }

  private pop(): void {
    const last = this.events.pop();
    if (last === undefined || this.events.length === 0) return;
    this.events[0] = last;
    siftDown(this.events);
  }
}

function isBefore(a: SimulationEvent | undefined, b: SimulationEvent | undefined): boolean {
  if (a === undefined || b === undefined) return a !== undefined;
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function swap(heap: SimulationEvent[], a: number, b: number): void {
  const [first, second] = [heap[a], heap[b]];
  if (first === undefined || second === undefined) return;
  heap[a] = second;
  heap[b] = first;
}

function push(heap: SimulationEvent[], event: SimulationEvent): void {
  heap.push(event);
  for (let child = heap.length - 1; child > 0;) {
    const parent = (child - 1) >> 1;
    if (!isBefore(heap[child], heap[parent])) return;
    swap(heap, child, parent);
    child = parent;
  }
}

function siftDown(heap: SimulationEvent[]): void {
  for (let parent = 0; ;) {
    const left = 2 * parent + 1;
    const smaller = isBefore(heap[left + 1], heap[left]) ? left + 1 : left;
    if (!isBefore(heap[smaller], heap[parent])) return;
    swap(heap, smaller, parent);
    parent = smaller;
  }
}
