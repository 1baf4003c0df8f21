import { pickRandom, SeededRandomSource } from '@peridotspring/core';

import type { RequestKind } from './request-kinds.js';
import { VirtualMesh } from './virtual-mesh.js';

const machines = 8;
const zones = 2;
export const slotsPerServer = 4;
const warmUpMilliseconds = 2_000;
const loadPhaseMilliseconds = 6_000;
/** Time by which all requests have ended after the last was sent. */
const cooldownMilliseconds = 6_000;
/** Length of the periods in which a server is either slow, as with busy neighbours on its host, or not. */
const slowdownPeriodMilliseconds = 150;

/** A kind of request whose callers send at a rate that may change once. */
export interface OfferedKind extends RequestKind {
  /** 0 for a kind that only servers call. */
  readonly requestsPerSecond: number;
  /** Requests per second during the burst. */
  readonly burstRequestsPerSecond?: number;
}

export interface KindsOptions {
  readonly seed: number;
  readonly kinds: readonly OfferedKind[];
  /** Duration of the burst, which begins with the measured part. */
  readonly burstMilliseconds?: number;
  readonly slowShare?: number;
  readonly slowdown?: number;
}

/** What the callers of one kind got. */
export interface KindOutcomes {
  sent: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Callers that were refused and came back at the time that they were told. */
  returned: number;
  servedAfterReturn: number;
}

class CallerPopulation {
  public readonly outcomes = new Map<string, KindOutcomes>();
  private lastRequest = 0;

  public constructor(
    private readonly mesh: VirtualMesh,
    private readonly random: SeededRandomSource,
  ) {}

  public send(kind: RequestKind): void {
    const { now } = this.mesh.queue;
    const outcomes = this.outcomesOf(kind.name);
    const isMeasured = now >= warmUpMilliseconds;
    if (isMeasured) outcomes.sent += 1;
    this.attempt(kind, now, false, isMeasured ? outcomes : undefined);
  }

  /** Sends a request whose caller first asked at `askedAt`; a refused caller returns once, at the time that it is told. */
  private attempt(
    kind: RequestKind,
    askedAt: number,
    isReturn: boolean,
    outcomes: KindOutcomes | undefined,
  ): void {
    const { queue } = this.mesh;
    const machine = pickRandom(this.random, this.mesh.machines);
    const callerDeadline = askedAt + kind.timeoutMilliseconds;
    this.lastRequest += 1;
    if (machine === undefined) return;
    if (isReturn && outcomes !== undefined) outcomes.returned += 1;
    this.mesh.sendRequestOfKind(machine, {
      callerDeadline,
      kind,
      onConcluded: (outcome) => {
        if (outcome.kind === 'refused' && !isReturn) {
          const returnsAt = queue.now + outcome.retryAfterMilliseconds;
          if (returnsAt < callerDeadline) {
            queue.after(outcome.retryAfterMilliseconds, () => {
              this.attempt(kind, askedAt, true, outcomes);
            });
            return;
          }
        }
        if (outcomes === undefined) return;
        if (outcome.kind === 'refused') outcomes.refused += 1;
        else if (outcome.kind === 'unknown' || outcome.status >= 500) outcomes.failed += 1;
        else {
          if (isReturn) outcomes.servedAfterReturn += 1;
          if (queue.now - askedAt <= kind.targetMilliseconds) outcomes.inTime += 1;
          else outcomes.late += 1;
        }
      },
      requestId: `r${this.lastRequest}x`,
    });
  }

  private outcomesOf(name: string): KindOutcomes {
    let outcomes = this.outcomes.get(name);
    if (outcomes === undefined) {
      outcomes = {
        failed: 0,
        inTime: 0,
        late: 0,
        refused: 0,
        returned: 0,
        sent: 0,
        servedAfterReturn: 0,
      };
      this.outcomes.set(name, outcomes);
    }
    return outcomes;
  }
}

/** Plays kinds of requests against each other, and returns what the callers of each get. */
export async function simulateKinds({
  burstMilliseconds = 0,
  kinds,
  seed,
  slowdown = 1,
  slowShare = 0,
}: KindsOptions): Promise<ReadonlyMap<string, KindOutcomes>> {
  const random = new SeededRandomSource(seed);
  const mesh = new VirtualMesh(machines, random, zones, false, undefined, false, kinds);
  const { queue } = mesh;
  const callers = new CallerPopulation(mesh, random);
  const end = warmUpMilliseconds + loadPhaseMilliseconds;
  const burstEnd = warmUpMilliseconds + burstMilliseconds;
  for (const kind of kinds) {
    const { burstRequestsPerSecond = kind.requestsPerSecond, requestsPerSecond } = kind;
    const sendNext = (): void => {
      if (queue.now >= end) return;
      callers.send(kind);
      const isBurst = queue.now >= warmUpMilliseconds && queue.now < burstEnd;
      const rate = isBurst ? burstRequestsPerSecond : requestsPerSecond;
      queue.after((2_000 / rate) * random.next(), sendNext);
    };
    if (requestsPerSecond > 0) queue.after(500, sendNext);
  }
  const updateSlowdowns = (): void => {
    for (const { server } of mesh.machines)
      server.slowdown = random.next() < slowShare ? slowdown : 1;
    if (queue.now < end) queue.after(slowdownPeriodMilliseconds, updateSlowdowns);
  };
  if (slowShare > 0) queue.after(500, updateSlowdowns);
  await queue.runUntil(end + cooldownMilliseconds);
  return callers.outcomes;
}
