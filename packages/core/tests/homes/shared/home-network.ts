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
  HomeKeeper,
  nextInteger,
  SeededRandomSource,
} from '../../../src/index.js';

export const service = 'issuance';
/** Wall time at virtual time 0. */
export const epoch = 1_800_000_000_000;
const tickMilliseconds = 20;
const detectionMilliseconds = 4_000;
const entryTimeoutMilliseconds = 2_500;
/** A stopping node finishes its calls as an entry after it has handed over. */
const exitMilliseconds = 500;

/** Probabilities of faults that may happen at any moment; all 0 in a network without faults. */
export interface FaultRates {
  readonly duplicate: number;
  readonly slowFrame: number;
  readonly connectionLoss: number;
  readonly storeAnswerLoss: number;
  readonly gateRefusal: number;
  readonly dispatchLoss: number;
  readonly skewMilliseconds: number;
}

export const noFaults: FaultRates = {
  connectionLoss: 0,
  dispatchLoss: 0,
  duplicate: 0,
  gateRefusal: 0,
  skewMilliseconds: 0,
  slowFrame: 0,
  storeAnswerLoss: 0,
};

/** One attempt of a caller, as the check sees it. */
export interface Attempt {
  readonly number: number;
  readonly key: string;
  readonly digest: string;
  readonly enteredAt: number;
  outcome?: KeyedOutcome;
  /** When the home gave the outcome. */
  outcomeAt?: number;
  answeredAt?: number;
}

export interface Execution {
  readonly key: string;
  readonly digest: string;
  readonly attempt: number;
  readonly at: number;
}

interface Node {
  readonly server: string;
  readonly availabilityZone: string;
  keeper: HomeKeeper;
  incarnation: number;
  isStopping: boolean;
  wallOffset: number;
  state: 'up' | 'frozen' | 'down' | 'left';
  /** Calls into a frozen node, in order. */
  backlog: (() => void)[];
  /** Raised by every crash, so that events of an earlier life are dropped. */
  life: number;
  readonly view: Map<string, MemberRecord>;
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

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Several home keepers in virtual time with a network, a store, upstreams and entries. */
export class HomeNetwork {
  public now = 0;
  public readonly attempts: Attempt[] = [];
  public readonly executions: Execution[] = [];
  public readonly nodes = new Map<string, Node>();
  public readonly counters = new Map<string, number>();
  public storeIsUp = true;
  private stored: { value: string; version: number } | undefined;
  private readonly events: Event[] = [];
  private order = 0;
  private readonly random: RandomSource;
  private readonly arrivals = new Map<string, number>();
  private readonly epochs = new Map<string, number>();
  private readonly cut = new Set<string>();

  public constructor(
    seed: number,
    servers: number,
    private readonly faults: FaultRates = noFaults,
    private readonly settings: HomeSettings = defaultHomeSettings,
  ) {
    this.random = new SeededRandomSource(seed);
    for (let index = 0; index < servers; index += 1) this.addNode(`s${index}`, `zone-${index % 3}`);
    if (faults.skewMilliseconds > 0)
      this.every(700, () => {
        this.jumpClock();
      });
    if (faults.connectionLoss > 0)
      this.every(100, () => {
        this.loseConnection();
      });
  }

  /** Starts a node, or starts it again with empty memory as a new incarnation. */
  public addNode(server: string, availabilityZone: string): void {
    const earlier = this.nodes.get(server);
    const incarnation = epoch + this.now + 1;
    const node: Node = {
      availabilityZone,
      backlog: [],
      incarnation,
      isStopping: false,
      keeper: new HomeKeeper({ incarnation, server }, this.settings),
      life: (earlier?.life ?? 0) + 1,
      server,
      state: 'up',
      view: new Map(earlier?.view ?? [...this.nodes.values()][0]?.view ?? []),
      wallOffset: 0,
    };
    this.nodes.set(server, node);
    for (const other of this.nodes.values()) {
      if (other.state === 'up') node.view.set(other.server, this.member(other, 'serving'));
    }
    this.spreadMember(node, 'serving', 50);
    this.tickLater(node, node.life);
  }

  public crash(server: string): void {
    const node = this.node(server);
    node.state = 'down';
    node.life += 1;
    node.backlog = [];
    this.detect(node, node.life);
  }

  public freeze(server: string, milliseconds: number): void {
    const node = this.node(server);
    const { life } = node;
    if (node.state !== 'up') return;
    node.state = 'frozen';
    this.detect(node, life);
    this.after(milliseconds, () => {
      if (node.life !== life || node.state !== 'frozen') return;
      node.state = 'up';
      for (const run of node.backlog.splice(0)) run();
      this.rejoin(node);
    });
  }

  /** Lets every node take a live one for dead for a while. */
  public reportDead(server: string, milliseconds: number): void {
    const node = this.node(server);
    const { life } = node;
    this.spreadMember(node, 'dead', 0);
    this.after(milliseconds, () => {
      if (node.life === life && node.state === 'up') this.rejoin(node);
    });
  }

  /** Cuts a node off from the other nodes, but not from the store. */
  public cutOff(server: string, milliseconds: number): void {
    const node = this.node(server);
    const { life } = node;
    if (node.state !== 'up' || this.cut.has(server)) return;
    this.cut.add(server);
    this.detect(node, life);
    this.after(milliseconds, () => {
      this.cut.delete(server);
      if (node.life === life && node.state === 'up') this.rejoin(node);
    });
  }

  /** Stops a node as planned; it leaves when it has handed over. */
  public stop(server: string): void {
    const node = this.node(server);
    if (node.state !== 'up') return;
    node.isStopping = true;
    this.spreadMember(node, 'draining', 50);
    this.call(node, () => node.keeper.handOver(this.clock(node)));
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
    this.forward(node, frame, node.keeper.table(service) ?? this.anyTable(), 0);
    return attempt;
  }

  /** Lets virtual time pass. */
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

  private node(server: string): Node {
    const node = this.nodes.get(server);
    if (node === undefined) throw new Error(`no node ${server}`);
    return node;
  }

  private clock(node: Node): { monotonic: number; wall: number } {
    return { monotonic: this.now, wall: epoch + this.now + node.wallOffset };
  }

  private jumpClock(): void {
    for (const node of this.nodes.values()) {
      node.wallOffset = Math.round((this.random.next() - 0.5) * this.faults.skewMilliseconds);
    }
  }

  private tickLater(node: Node, life: number): void {
    this.after(tickMilliseconds, () => {
      if (node.life !== life || node.state === 'left' || this.nodes.get(node.server) !== node)
        return;
      if (node.state === 'up') this.call(node, () => node.keeper.tick(this.clock(node)));
      this.tickLater(node, life);
    });
  }

  /** Calls into a node now, or when it is no longer frozen. */
  private call(node: Node, call: () => readonly HomeCommand[]): void {
    if (node.state === 'frozen') {
      node.backlog.push(() => {
        this.call(node, call);
      });
      return;
    }
    if (node.state !== 'up') return;
    for (const command of call()) this.carryOut(node, command);
  }

  private carryOut(node: Node, command: HomeCommand): void {
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
        this.execute(node, command.dispatchId, Number(command.head.requestId));
        break;
      case 'store':
        this.storeOperation(node, command.operationId, command.operation);
        break;
      case 'handed-over':
        this.after(exitMilliseconds, () => {
          node.state = 'left';
          this.spreadMember(node, 'left', 50);
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

  /** Frames between two nodes keep their order; a lost connection loses all that are on their way. */
  private transmit(from: Node, to: string, frame: WireFrame): void {
    if (this.isCut(from.server, to)) return;
    const pair = `${from.server}>${to}`;
    const connection = this.epochs.get(pair) ?? 0;
    const slow = this.happens(this.faults.slowFrame) ? nextInteger(this.random, 4_000) : 0;
    const delay = to === from.server ? 0 : 1 + nextInteger(this.random, 3) + slow;
    const at = Math.max(this.arrivals.get(pair) ?? 0, this.now + delay);
    this.arrivals.set(pair, at);
    const copies = this.happens(this.faults.duplicate) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.after(at - this.now, () => {
        const node = this.node(to);
        if ((this.epochs.get(pair) ?? 0) !== connection || this.isCut(from.server, to)) return;
        this.receive(node, from.server, frame);
      });
    }
  }

  private receive(node: Node, from: string, frame: WireFrame): void {
    switch (frame.kind) {
      case 'keyed-request':
        this.call(node, () => node.keeper.request(from, frame, this.clock(node)));
        break;
      case 'outcome':
        this.call(node, () => {
          this.conclude(node, frame.attempt, frame.outcome, frame.at);
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
        this.call(node, () => node.keeper.frame(from, frame, this.clock(node)));
    }
  }

  private readonly frames = new Map<number, { frame: KeyedRequestFrame; tries: number }>();

  private forward(
    node: Node,
    frame: KeyedRequestFrame,
    table: HomeTable | undefined,
    tries: number,
  ): void {
    const home = table?.ranges[node.keeper.rangeOf(frame.key)]?.server ?? this.anyServer();
    this.frames.set(frame.callId, { frame, tries });
    this.transmit(node, home, frame);
  }

  private conclude(node: Node, number: number, outcome: KeyedOutcome, at: number): void {
    const attempt = this.attempts[number];
    const sent = this.frames.get(number);
    if (attempt === undefined || sent === undefined || attempt.outcome !== undefined) return;
    if (this.now - attempt.enteredAt > entryTimeoutMilliseconds) return;
    if (outcome.kind === 'not-home') {
      if (sent.tries >= 4) return;
      const { frame, tries } = sent;
      this.after(20, () => {
        this.forward(node, frame, outcome.table ?? this.anyTable(), tries + 1);
      });
      return;
    }
    attempt.outcome = outcome;
    attempt.outcomeAt = at;
    attempt.answeredAt = this.now;
  }

  /** Runs a dispatch at some gate: refused, run and answered, or run with the connection lost. */
  private execute(node: Node, dispatchId: number, number: number): void {
    const attempt = this.attempts[number];
    if (attempt === undefined) throw new Error(`no attempt ${number}`);
    const { digest, key } = attempt;
    const { life } = node;
    const finish = (outcome: Parameters<HomeKeeper['concluded']>[1], body?: string): void => {
      if (node.life !== life || this.nodes.get(node.server) !== node) return;
      const answer =
        body === undefined
          ? undefined
          : { body: new TextEncoder().encode(body), headers: {}, status: 201 };
      this.call(node, () => node.keeper.concluded(dispatchId, outcome, answer, this.clock(node)));
    };
    const delay = 1 + nextInteger(this.random, 20);
    if (this.happens(this.faults.gateRefusal)) {
      this.after(delay, () => {
        finish({ kind: 'refused-not-run', reason: 'no-slot' });
      });
      return;
    }
    const isLost = this.happens(this.faults.dispatchLoss);
    const isSlow = this.happens(this.faults.slowFrame);
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

  private storeOperation(node: Node, operationId: number, operation: StoreOperation): void {
    const { life } = node;
    const answer = (result: StoreResult): void => {
      this.after(2, () => {
        if (node.life !== life) return;
        this.call(node, () => node.keeper.storeResult(operationId, result, this.clock(node)));
      });
    };
    const isLost = this.happens(this.faults.storeAnswerLoss);
    const isLate = isLost && this.happens(0.5);
    if (isLate || !this.storeIsUp) answer({ kind: 'unknown' });
    if (!this.storeIsUp) return;
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

  private member(node: Node, state: MemberState): MemberRecord {
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

  /** Tells every node of a member's state, each after a delay of its own. */
  private spreadMember(node: Node, state: MemberState, delay: number): void {
    const record = this.member(node, state);
    for (const observer of this.nodes.values()) {
      this.after(delay + nextInteger(this.random, 200), () => {
        this.learn(observer, record);
      });
    }
  }

  private learn(observer: Node, record: MemberRecord): void {
    const known = observer.view.get(record.server);
    if (known !== undefined && known.incarnation > record.incarnation) return;
    observer.view.set(record.server, record);
    this.call(observer, () =>
      observer.keeper.members([...observer.view.values()], new Set(), this.clock(observer)),
    );
  }

  private detect(node: Node, life: number): void {
    this.after(detectionMilliseconds, () => {
      const isBack = node.state === 'up' && !this.cut.has(node.server);
      if (node.life !== life || isBack || node.state === 'left') return;
      if (this.nodes.get(node.server) !== node) return;
      this.spreadMember(node, 'dead', 0);
    });
  }

  /** A node that was taken for dead raises its incarnation and is a member again. */
  private rejoin(node: Node): void {
    node.incarnation += 1;
    this.spreadMember(node, 'serving', 50);
  }

  private loseConnection(): void {
    if (!this.happens(this.faults.connectionLoss)) return;
    const pair = `${this.anyServer()}>${this.anyServer()}`;
    this.epochs.set(pair, (this.epochs.get(pair) ?? 0) + 1);
    this.arrivals.delete(pair);
  }

  private isCut(from: string, to: string): boolean {
    return from !== to && (this.cut.has(from) || this.cut.has(to));
  }

  private happens(probability: number): boolean {
    return probability > 0 && this.random.next() < probability;
  }

  private anyServer(): string {
    const servers = [...this.nodes.keys()];
    return servers[nextInteger(this.random, servers.length)] ?? '';
  }

  private anyTable(): HomeTable | undefined {
    return this.nodes.get(this.anyServer())?.keeper.table(service);
  }

  private pop(): void {
    const last = this.events.pop();
    if (last === undefined || this.events.length === 0) return;
    this.events[0] = last;
    siftDown(this.events);
  }
}

function isBefore(a: Event | undefined, b: Event | undefined): boolean {
  if (a === undefined || b === undefined) return a !== undefined;
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function swap(heap: Event[], a: number, b: number): void {
  const [first, second] = [heap[a], heap[b]];
  if (first === undefined || second === undefined) return;
  heap[a] = second;
  heap[b] = first;
}

function push(heap: Event[], event: Event): void {
  heap.push(event);
  for (let child = heap.length - 1; child > 0;) {
    const parent = (child - 1) >> 1;
    if (!isBefore(heap[child], heap[parent])) return;
    swap(heap, child, parent);
    child = parent;
  }
}

function siftDown(heap: Event[]): void {
  for (let parent = 0; ;) {
    const left = 2 * parent + 1;
    const smaller = isBefore(heap[left + 1], heap[left]) ? left + 1 : left;
    if (!isBefore(heap[smaller], heap[parent])) return;
    swap(heap, smaller, parent);
    parent = smaller;
  }
}
