import {
  BoundedMap,
  DepartureLedger,
  GateEventName,
  IncarnationStatus,
  ServerEvidence,
  ServerNotUsedReason,
} from '@peridotspring/mesh-core';
import type {
  EndedServer,
  RecordRequest,
  ServerGate,
  ServerReport,
} from '@peridotspring/mesh-core';
import type { DepartureRead } from '@peridotspring/platform/key-values';
import type { MessageVerdict, ServerMessage } from '@peridotspring/upstreams/mesh';

import type { DepartureRelay } from './departure-relay.js';
import { MeshEvent } from './mesh-event.js';
import {
  decodeStoredDeparture,
  departureGroup,
  departureName,
  encodeStoredDeparture,
} from './stored-departure.js';

/** A health check is evidence of a server for this long. */
const healthCheckMilliseconds = 1_000;
/** A read of the store usually takes milliseconds. After this time, the server is asked to prove that it is running. */
const usualReadMilliseconds = 500;
/** Maximum number of instances that wait for a read at the same time. */
const maximumWaitingInstances = 16;
/** Maximum number of departures whose records are not written again. */
const maximumRecordedDepartures = 64;

/** Operations on the records of departures in the store, which outlast all processes. */
export interface DepartureStore {
  /** Resolves to whether the store has acknowledged the record in time. */
  writeDeparture(name: string, value: Uint8Array): Promise<boolean>;
  /** Resolves to the records of an instance, up to date, once the store answers; to undefined if it is closed before. */
  readDepartures(group: string): Promise<DepartureRead | undefined>;
  /** The server has proved that it is running, so departures that the store may have lost no longer matter. */
  coverDepartures(): void;
}

export interface DepartureSynchronizerOptions {
  readonly nodeName: string;
  readonly clock: () => number;
  readonly schedule: Schedule;
  readonly wallClock: () => number;
  readonly gate: Pick<
    ServerGate,
    | 'incarnationOf'
    | 'mayBeOwnServer'
    | 'onHealthCheckPassed'
    | 'onServerEndReported'
    | 'onServerReport'
  >;
  readonly store: () => DepartureStore;
  readonly relay: Pick<DepartureRelay, 'request'>;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Who has acknowledged the record of a departure. */
const RecordedBy = {
  /** A peer, for a node that the store does not answer. */
  Peer: 'peer',
  Store: 'store',
} as const;
type RecordedBy = (typeof RecordedBy)[keyof typeof RecordedBy];

const UnconfirmedReason = {
  /** Neither the store nor a peer has acknowledged the record in time. */
  NotRecorded: 'not-recorded',
  /** Another server is beside the node. */
  OtherServer: 'other-server',
} as const;

/** The message that announced a departure. */
const DepartureMessage = {
  Draining: 'draining',
  Leave: 'leave',
} as const;
type DepartureMessage = (typeof DepartureMessage)[keyof typeof DepartureMessage];

/** What shows that a server has not left. */
const PresenceProof = {
  /** The server has sent a report to an address that only this process has named. */
  FreshReport: 'fresh-report',
  /** The store holds no record of its departure. */
  NoRecord: 'no-record',
} as const;
type PresenceProof = (typeof PresenceProof)[keyof typeof PresenceProof];

type Schedule = (action: () => void, milliseconds: number) => () => void;

/** What is known of an instance while the store is read. */
interface WaitingInstance {
  readonly since: number;
  /** Settles when the store has answered. If it may have lost records, the instance goes on waiting. */
  readonly isRead: Promise<void>;
  report: ServerReport | undefined;
  health: { readonly slots: number; readonly checkedAt: number } | undefined;
}

/**
 * Makes the departure of a server binding for all later processes. It is recorded in the store before it is confirmed to the
 * server, and what a server reports reaches the gate only after the store was read in the lifetime of this process.
 */
export class DepartureSynchronizer {
  private readonly ledger = new DepartureLedger();
  private readonly waiting = new Map<string, WaitingInstance>();
  /** Writes in progress and done, by the name of the record. */
  private readonly recorded = new BoundedMap<string, Promise<RecordedBy | undefined>>(
    maximumRecordedDepartures,
  );

  public constructor(private readonly options: DepartureSynchronizerOptions) {}

  /** Whether a server has named itself, and is not used because the store has not answered yet. */
  public get isWaiting(): boolean {
    return this.waiting.size > 0;
  }

  /**
   * Handles a message before it takes effect. The store is read as soon as a server names itself. `isFresh` says that the message
   * was sent to an address that only this process has named.
   */
  public onMessage(message: ServerMessage, isFresh: boolean): void {
    if (message.kind !== 'report' || message.report.draining) return;
    const { report } = message;
    if (isFresh) this.onPresenceProven(report);
    if (this.isUnverified(report)) this.waitFor(report.instanceId);
  }

  /** Resolves to what the server hears of a message, which has taken effect. */
  public async judge(message: ServerMessage): Promise<MessageVerdict> {
    switch (message.kind) {
      case 'invalid':
        return { isBinding: true, requiresFreshReport: false };
      case 'leave': {
        const { gate } = this.options;
        if (!gate.mayBeOwnServer(message.instanceId)) return this.refuse(message.instanceId);
        const departure = gate.incarnationOf(message.instanceId);
        return {
          isBinding: await this.confirm(departure, DepartureMessage.Leave),
          requiresFreshReport: false,
        };
      }
      case 'report': {
        const { draining, instanceId, startedAt } = message.report;
        const incarnation = { instanceId, startedAt };
        return draining
          ? {
              isBinding: await this.confirm(incarnation, DepartureMessage.Draining),
              requiresFreshReport: false,
            }
          : { isBinding: true, requiresFreshReport: await this.requiresProof(incarnation) };
      }
    }
  }

  public onReport(report: ServerReport, now: number): void {
    const { gate } = this.options;
    if (report.draining) {
      gate.onServerReport(report, now);
      return;
    }
    switch (this.ledger.statusOf(report)) {
      case IncarnationStatus.Present:
        gate.onServerReport(report, now);
        return;
      case IncarnationStatus.Departed:
        this.reject(report, ServerEvidence.Report, now);
        return;
      case IncarnationStatus.Unverified: {
        const waiting = this.waitFor(report.instanceId);
        if (waiting === undefined) return;
        waiting.report = report;
        if (now - waiting.since >= usualReadMilliseconds)
          this.logNotUsed(report.instanceId, ServerEvidence.Report, ServerNotUsedReason.Unverified);
      }
    }
  }

  public onHealthCheckPassed(instanceId: string, slots: number, now: number): void {
    const incarnation = { instanceId };
    switch (this.ledger.statusOf(incarnation)) {
      case IncarnationStatus.Present:
        this.options.gate.onHealthCheckPassed(instanceId, slots, now);
        return;
      case IncarnationStatus.Departed:
        this.reject(incarnation, ServerEvidence.HealthCheck, now);
        return;
      case IncarnationStatus.Unverified: {
        const waiting = this.waitFor(instanceId);
        if (waiting !== undefined) waiting.health = { checkedAt: now, slots };
      }
    }
  }

  private onPresenceProven({ instanceId, startedAt }: EndedServer): void {
    this.ledger.onPresenceProven({ instanceId, startedAt });
    const waiting = this.waiting.get(instanceId);
    if (waiting === undefined) return;
    this.logVerified(instanceId, PresenceProof.FreshReport, waiting.since);
    // The others ended before this one began.
    this.waiting.clear();
    this.options.store().coverDepartures();
  }

  /** Resolves to true if the store can't tell whether an incarnation has left, so that the server has to prove that it has not. */
  private async requiresProof(incarnation: EndedServer): Promise<boolean> {
    const waiting = this.waiting.get(incarnation.instanceId);
    if (waiting !== undefined && this.isUnverified(incarnation)) {
      await new Promise<void>((resolve) => {
        const cancel = this.options.schedule(resolve, usualReadMilliseconds);
        void waiting.isRead.then(() => {
          cancel();
          resolve();
        });
      });
    }
    return this.isUnverified(incarnation);
  }

  /** Resolves to whether a departure may be confirmed to the server, because it binds all later processes. */
  private async confirm(departure: EndedServer, message: DepartureMessage): Promise<boolean> {
    const { clock, log } = this.options;
    const { instanceId: instance, startedAt = 'any' } = departure;
    this.ledger.onAnnounced(departure);
    const since = clock();
    const by = await this.record(departure);
    const fields = { instance, message, milliseconds: Math.round(clock() - since), startedAt };
    if (by === undefined)
      log(MeshEvent.DepartureUnconfirmed, { ...fields, reason: UnconfirmedReason.NotRecorded });
    else log(MeshEvent.DepartureConfirmed, { ...fields, by });
    return by !== undefined;
  }

  /** Does not confirm the departure of another node's server: that node could go on using it. */
  private refuse(instance: string): MessageVerdict {
    this.options.log(MeshEvent.DepartureUnconfirmed, {
      instance,
      message: DepartureMessage.Leave,
      reason: UnconfirmedReason.OtherServer,
    });
    return { isBinding: false, requiresFreshReport: false };
  }

  /** Resolves to undefined if nobody has acknowledged the record in time. */
  private async record(departure: EndedServer): Promise<RecordedBy | undefined> {
    const { nodeName, wallClock } = this.options;
    const name = departureName(departure);
    const earlier = this.recorded.get(name);
    if (earlier !== undefined) return earlier;
    const value = encodeStoredDeparture(departure, nodeName, wallClock());
    const recording = this.write({ name, value });
    this.recorded.set(name, recording);
    const by = await recording;
    if (by === undefined) this.recorded.delete(name);
    return by;
  }

  private async write(request: RecordRequest): Promise<RecordedBy | undefined> {
    const { relay, store } = this.options;
    return new Promise((resolve) => {
      const endRelay = relay.request(request, () => {
        resolve(RecordedBy.Peer);
      });
      void store()
        .writeDeparture(request.name, request.value)
        .then((isWritten) => {
          endRelay();
          resolve(isWritten ? RecordedBy.Store : undefined);
        });
    });
  }

  /** Returns undefined if too many instances wait already. */
  private waitFor(instanceId: string): WaitingInstance | undefined {
    const existing = this.waiting.get(instanceId);
    if (existing !== undefined) return existing;
    if (this.waiting.size >= maximumWaitingInstances) return undefined;
    const isRead = this.read(instanceId);
    const waiting = { health: undefined, isRead, report: undefined, since: this.options.clock() };
    this.waiting.set(instanceId, waiting);
    return waiting;
  }

  private isUnverified(incarnation: EndedServer): boolean {
    return this.ledger.statusOf(incarnation) === IncarnationStatus.Unverified;
  }

  private async read(instanceId: string): Promise<void> {
    const { clock, store } = this.options;
    const read = await store().readDepartures(departureGroup(instanceId));
    if (read === undefined) return;
    const { isComplete, values } = read;
    const departures = values.map((value) => decodeStoredDeparture(value, instanceId));
    this.ledger.onRecordsRead(instanceId, { departures, isComplete });
    const { health, report, since } = this.waiting.get(instanceId) ?? {};
    const status = this.ledger.statusOf(report ?? { instanceId });
    if (status === IncarnationStatus.Unverified) return;
    this.waiting.delete(instanceId);
    const now = clock();
    if (status === IncarnationStatus.Present && since !== undefined)
      this.logVerified(instanceId, PresenceProof.NoRecord, since);
    if (report !== undefined) this.onReport(report, now);
    else if (health !== undefined && now - health.checkedAt <= healthCheckMilliseconds)
      this.onHealthCheckPassed(instanceId, health.slots, now);
  }

  private reject(incarnation: EndedServer, evidence: ServerEvidence, now: number): void {
    const { instanceId, startedAt } = incarnation;
    const reason = this.ledger.isAnnounced(incarnation)
      ? ServerNotUsedReason.Left
      : ServerNotUsedReason.LeftBeforeStart;
    this.logNotUsed(instanceId, evidence, reason);
    this.options.gate.onServerEndReported({ instanceId, startedAt }, now);
  }

  private logVerified(instance: string, proof: PresenceProof, since: number): void {
    const milliseconds = Math.round(this.options.clock() - since);
    this.options.log(MeshEvent.ServerVerified, { instance, milliseconds, proof });
  }

  private logNotUsed(
    instance: string,
    evidence: ServerEvidence,
    reason: ServerNotUsedReason,
  ): void {
    this.options.log(GateEventName.ServerNotUsed, { evidence, instance, reason });
  }
}
