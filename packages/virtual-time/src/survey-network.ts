import {
  emptyConfiguration,
  SeededRandomSource,
  type OperatorAnswerFrame,
  type OperatorQuestionFrame,
} from '@peridotspring/core';
import {
  answerNodeQuestion,
  PeerGatherer,
  ZoneSurveyor,
  type MemberView,
  type OperatorBackend,
} from '@peridotspring/operators';
import { Encoder } from 'cbor-x';

import { ControlEventQueue } from './control-event-queue.js';

type OperatorFrame = OperatorAnswerFrame | OperatorQuestionFrame;

/** Model: processor time of a node for a frame that it sends or receives. */
const frameMilliseconds = 0.1;
/** Model: time to open a connection, as the requirements state it. */
const connectMilliseconds = 1;
const lengthPrefixBytes = 4;
const regions = 6;

const encoder = new Encoder({ useRecords: false });

/** A node that answers operators' questions of other nodes. */
export class SurveyNode {
  public readonly gatherer: PeerGatherer;
  public readonly surveyor: ZoneSurveyor;
  public readonly counts = { frames: 0, bytes: 0 };
  public readonly connections = new Set<string>();
  /** Live members as this node knows them. */
  public members: readonly MemberView[] = [];
  public revision = 1;
  /** A frozen node takes frames and does nothing. */
  public isFrozen = false;
  public busyUntil = 0;

  public constructor(
    public readonly member: MemberView,
    private readonly network: SurveyNetwork,
  ) {
    const { server, availabilityZone } = member;
    const servers = (): readonly string[] =>
      this.members.map((other) => other.server).filter((other) => other !== server);
    const send = (to: string, frame: OperatorFrame): boolean => network.send(this, to, frame);
    this.gatherer = new PeerGatherer({ send, servers }, network.clock);
    this.surveyor = new ZoneSurveyor({
      gatherer: this.gatherer,
      server,
      availabilityZone,
      members: () => this.members,
      revision: () => this.revision,
      random: () => network.random.next(),
    });
  }

  public receive(from: string, frame: OperatorFrame): void {
    if (this.isFrozen) return;
    if (frame.kind === 'operator-answer') {
      this.gatherer.onAnswer(from, frame);
      return;
    }
    void answerNodeQuestion(this.backend(), frame.question).then((answer) => {
      this.network.send(this, from, {
        kind: 'operator-answer',
        answer,
        questionId: frame.questionId,
      });
    });
  }

  private backend(): OperatorBackend {
    const { server, availabilityZone: zone } = this.member;
    const { revision, surveyor, gatherer } = this;
    return {
      server,
      configuration: () => ({ ...emptyConfiguration, revision }),
      members: () => this.members,
      readiness: () => ({ causes: [], ready: true }),
      localRows: () => Promise.resolve([{ revision, server, zone }]),
      gather: (text, options) => gatherer.gather(text, options),
      survey: (request) => surveyor.survey(request),
      answerZoneQuestion: (question) => surveyor.answerQuestion(question),
      propose: () => Promise.resolve({ kind: 'unresolved' }),
      lookUpChange: () => Promise.resolve({ kind: 'unresolved' }),
    };
  }
}

/** Nodes in availability zones that ask each other questions, in virtual time. */
export class SurveyNetwork {
  public readonly nodes = new Map<string, SurveyNode>();
  public readonly random: SeededRandomSource;
  private readonly queue = new ControlEventQueue();
  private time = 0;

  public readonly clock = {
    now: (): number => this.time,
    after: (milliseconds: number, action: () => void): (() => void) => {
      let isCancelled = false;
      this.queue.add(this.time + milliseconds, () => {
        if (!isCancelled) action();
      });
      return () => {
        isCancelled = true;
      };
    },
  };

  public constructor(members: number, zones: number, seed: number) {
    this.random = new SeededRandomSource(seed);
    const views = Array.from({ length: members }, (_, index) => memberOf(index, zones));
    for (const view of views) {
      const node = new SurveyNode(view, this);
      node.members = views;
      this.nodes.set(view.server, node);
    }
  }

  public get now(): number {
    return this.time;
  }

  public node(index: number): SurveyNode {
    const node = this.nodes.get(serverOf(index));
    if (node === undefined) throw new RangeError(`no node ${index}`);
    return node;
  }

  /** Frames cost their sender and their receiver processor time, one after the other. */
  public send(from: SurveyNode, to: string, frame: OperatorFrame): boolean {
    const target = this.nodes.get(to);
    if (target === undefined) return false;
    const bytes = encoder.encode(frame).length + lengthPrefixBytes;
    const isConnected = from.connections.has(to);
    from.connections.add(to);
    target.connections.add(from.member.server);
    const sentAt = this.occupy(from, bytes);
    const wait = isConnected ? 0 : connectMilliseconds;
    this.queue.add(sentAt + wait + delayBetween(from.member, target.member), () => {
      this.queue.add(this.occupy(target, bytes), () => {
        target.receive(from.member.server, frame);
      });
    });
    return true;
  }

  /** Lets virtual time pass until the promise settles. */
  public async runUntil<Result>(promise: Promise<Result>): Promise<Result> {
    const state = { isSettled: false };
    const settle = (): void => {
      state.isSettled = true;
    };
    void promise.then(settle, settle);
    for (;;) {
      // Everything that the last event made runnable runs before the next one.
      await new Promise((resolve) => setImmediate(resolve));
      if (state.isSettled) return promise;
      const event = this.queue.take(Number.POSITIVE_INFINITY);
      if (event === undefined) throw new RangeError('nothing is left to happen');
      this.time = event.at;
      event.action();
    }
  }

  private occupy(node: SurveyNode, bytes: number): number {
    node.counts.frames += 1;
    node.counts.bytes += bytes;
    node.busyUntil = Math.max(this.time, node.busyUntil) + frameMilliseconds;
    return node.busyUntil;
  }
}

function serverOf(index: number): string {
  return `server-${String(index).padStart(5, '0')}`;
}

function memberOf(index: number, zones: number): MemberView {
  const zone = index % zones;
  return {
    availabilityZone: `zone-${zone}-hall`,
    incarnation: 1,
    peerAddress: `10.0.0.1:${index}`,
    reachable: true,
    region: `region-${zone % regions}-west`,
    server: serverOf(index),
    service: 'provenance',
    slots: 10,
    state: 'serving',
  };
}

/** One-way delays as in the requirements, 20 ms between regions. */
function delayBetween(from: MemberView, to: MemberView): number {
  if (from.region !== to.region) return 20;
  return from.availabilityZone === to.availabilityZone ? 0.25 : 1.5;
}
