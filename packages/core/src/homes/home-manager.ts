import type {
  HomeFrame,
  HomePromiseFrame,
  KeyedRequestFrame,
  KeyQuestionFrame,
  RecordsTransferFrame,
} from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';
import type { MemberRecord } from '../messages/member.js';
import type { CallOutcome } from '../messages/outcome.js';
import type { StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { RequestQueueBudget } from './request-queue-budget.js';
import type {
  ServiceHomeStatus,
  HomeCommand,
  HomeManagerContract,
  KeyedAnswer,
  RecordUsage,
} from './home-contract.js';
import { HomeOutbox } from './home-outbox.js';
import { defaultHomeSettings } from './home-settings.js';
import type { HomeSettings } from './home-settings.js';
import { rangeOfKey } from './key-hash.js';
import type { KeyedRequestProcessor } from './keyed-request-processor.js';
import { KeyRecordStore } from './key-record-store.js';
import { MemberDirectory } from './member-directory.js';
import { ServiceHomes } from './service-homes.js';
import type { HomeParts } from './service-homes.js';
import { HomeTableRegistry } from './home-table-registry.js';
import { TableMaintenance } from './table-maintenance.js';
import { TransferInbox } from './transfer-inbox.js';
import { WitnessRole } from './witness-role.js';

const sweepIntervalMilliseconds = 1_000;

interface ServiceParts {
  readonly serviceHomes: ServiceHomes;
  readonly maintenance: TableMaintenance;
}

/**
 * Ensures that a non-idempotent request runs at most once per idempotency key. Combines the three roles
 * of a node: home of key ranges, witness of leases, and proposer of home tables.
 */
export class HomeManager implements HomeManagerContract {
  private readonly outbox = new HomeOutbox();
  private readonly tables = new HomeTableRegistry();
  private readonly memberDirectory: MemberDirectory;
  private readonly records: KeyRecordStore;
  private readonly inbox: TransferInbox;
  private readonly witness: WitnessRole;
  private readonly parts: HomeParts;
  private readonly services = new Map<string, ServiceParts>();
  private isStopping = false;
  private hasReportedHandOver = false;
  private nextSweepAt = Number.NEGATIVE_INFINITY;

  /** `self` is this server, with the incarnation at the start of the process. */
  public constructor(
    private readonly self: ServerIncarnation,
    private readonly settings: HomeSettings = defaultHomeSettings,
  ) {
    this.memberDirectory = new MemberDirectory(settings);
    this.records = new KeyRecordStore(settings);
    this.inbox = new TransferInbox(this.records);
    this.parts = {
      queueBudget: new RequestQueueBudget(settings),
      inbox: this.inbox,
      members: this.memberDirectory,
      outbox: this.outbox,
      records: this.records,
      self,
      settings,
      tables: this.tables,
    };
    this.witness = new WitnessRole(this.parts, (table, now) => {
      this.adopt(table, now);
    });
  }

  public onRequest(from: string, frame: KeyedRequestFrame, now: ClockReading): HomeCommand[] {
    const service = this.services.get(frame.head.service);
    if (service === undefined) {
      const table = this.tables.get(frame.head.service);
      this.outbox.count('home_not_home', {});
      this.outbox.reply({ callId: frame.callId, from }, { kind: 'not-home', table });
    } else if (!service.serviceHomes.onRequest(from, frame, now)) {
      service.maintenance.requestRefresh();
    }
    return this.drainOutbox(now);
  }

  public onKeyQuestion(from: string, frame: KeyQuestionFrame, now: ClockReading): HomeCommand[] {
    const service = this.services.get(frame.service);
    if (service === undefined) {
      const { callId } = frame;
      this.outbox.send(from, { callId, kind: 'key-answer', state: 'unknown' });
    } else {
      service.serviceHomes.onKeyQuestion(from, frame, now);
    }
    return this.drainOutbox(now);
  }

  public onAttemptConcluded(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): HomeCommand[] {
    for (const requests of this.keyedRequests())
      requests.onAttemptConcluded(dispatchId, outcome, answer, now);
    return this.drainOutbox(now);
  }

  public onLateOutcome(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): HomeCommand[] {
    for (const requests of this.keyedRequests())
      requests.onLateOutcome(dispatchId, outcome, answer, now);
    return this.drainOutbox(now);
  }

  public onFrame(from: string, frame: HomeFrame, now: ClockReading): HomeCommand[] {
    this.handleFrame(from, frame, now);
    return this.drainOutbox(now);
  }

  public onStoreResult(operationId: number, result: StoreResult, now: ClockReading): HomeCommand[] {
    if (this.witness.onStoreResult(operationId, result, now)) return this.drainOutbox(now);
    for (const { maintenance } of this.services.values()) {
      if (maintenance.onStoreResult(operationId, result, now)) break;
    }
    return this.drainOutbox(now);
  }

  public onMembersChanged(
    members: readonly MemberRecord[],
    unreachable: ReadonlySet<string>,
    now: ClockReading,
  ): HomeCommand[] {
    this.memberDirectory.update(members, unreachable);
    const own = this.memberDirectory.get(this.self.server);
    if (own?.service !== undefined && !this.isStopping) this.service(own.service);
    return this.drainOutbox(now);
  }

  public startHandOver(now: ClockReading): HomeCommand[] {
    this.isStopping = true;
    for (const { maintenance } of this.services.values()) maintenance.stop();
    return this.drainOutbox(now);
  }

  public tick(now: ClockReading): HomeCommand[] {
    this.witness.tick(now);
    for (const { serviceHomes, maintenance } of this.services.values()) {
      serviceHomes.tick(now);
      maintenance.tick(now);
    }
    if (now.monotonic >= this.nextSweepAt) {
      this.nextSweepAt = now.monotonic + sweepIntervalMilliseconds;
      this.records.sweep(now.wall);
    }
    return this.drainOutbox(now);
  }

  public get nextTickAt(): number {
    let next = this.nextSweepAt;
    for (const { serviceHomes, maintenance } of this.services.values()) {
      next = Math.min(next, serviceHomes.nextTickAt, maintenance.nextTickAt);
    }
    return next;
  }

  public table(service: string): HomeTable | undefined {
    return this.tables.get(service);
  }

  public rangeOf(key: string): number {
    return rangeOfKey(key);
  }

  public statuses(now: ClockReading): readonly ServiceHomeStatus[] {
    return [...this.services.values()].flatMap(
      ({ serviceHomes }) => serviceHomes.homeStatus(now.monotonic) ?? [],
    );
  }

  public get recordUsage(): RecordUsage {
    const { evictedKeys, approximateBytes, size } = this.records;
    return { bytes: approximateBytes, evicted: evictedKeys, records: size };
  }

  /** The request processors of all services; at most one of them knows a given attempt. */
  private keyedRequests(): KeyedRequestProcessor[] {
    return [...this.services.values()].map(({ serviceHomes }) => serviceHomes.requests);
  }

  private handleFrame(from: string, frame: HomeFrame, now: ClockReading): void {
    switch (frame.kind) {
      case 'home-confirm':
        this.witness.confirm(from, frame, now);
        break;
      case 'home-promise':
        this.onPromise(from, frame, now);
        break;
      case 'home-lease-question':
        this.witness.onLeaseQuestion(from, frame, now);
        break;
      case 'home-lease-answer':
        this.services.get(frame.service)?.maintenance.onLeaseAnswer(from, frame);
        break;
      case 'home-table-request': {
        const table = this.tables.get(frame.service);
        this.outbox.send(from, { kind: 'home-table', service: frame.service, table });
        break;
      }
      case 'home-table':
        if (frame.table !== undefined) this.adopt(frame.table, now);
        break;
      case 'records-transfer':
        this.receiveRecords(from, frame, now);
        break;
      case 'records-received':
        this.services.get(frame.service)?.maintenance.onRecordsReceived(from, frame, now);
        break;
    }
  }

  private onPromise(from: string, frame: HomePromiseFrame, now: ClockReading): void {
    if (frame.table !== undefined) this.adopt(frame.table, now);
    this.services.get(frame.service)?.serviceHomes.onPromise(from, frame, now);
  }

  private receiveRecords(from: string, frame: RecordsTransferFrame, now: ClockReading): void {
    if (!this.inbox.receive(from, frame, now.wall)) {
      this.outbox.count('home_transfers_without_room', { service: frame.service });
      return;
    }
    const { part, range, service, transfer } = frame;
    this.outbox.send(from, { kind: 'records-received', part, range, service, transfer });
  }

  private adopt(table: HomeTable, now: ClockReading): void {
    const previous = this.tables.get(table.service);
    if (!this.tables.adopt(table)) return;
    const namesThisServer = table.ranges.some(
      (assignment) => assignment?.server === this.self.server,
    );
    const service = namesThisServer
      ? this.service(table.service)
      : this.services.get(table.service);
    service?.maintenance.onTableAdopted(table, previous, now);
    service?.serviceHomes.applyTable(table);
    this.inbox.onTableAdopted(table);
  }

  private service(name: string): ServiceParts {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const serviceHomes = new ServiceHomes(name, this.parts);
    const maintenance = new TableMaintenance(serviceHomes, this.parts, (table, now) => {
      this.adopt(table, now);
    });
    if (this.isStopping) maintenance.stop();
    const service = { serviceHomes, maintenance };
    this.services.set(name, service);
    return service;
  }

  /**
   * Returns the collected commands. Frames that are addressed to this node are handled right here, and
   * `handed-over` is added when the hand-over of a planned stop has ended.
   */
  private drainOutbox(now: ClockReading): HomeCommand[] {
    const commands: HomeCommand[] = [];
    for (
      let taken = this.outbox.takeCommands();
      taken.length > 0;
      taken = this.outbox.takeCommands()
    ) {
      for (const command of taken) {
        const isOwn = command.kind === 'send' && command.to === this.self.server;
        if (isOwn && command.frame.kind !== 'key-answer') {
          this.handleFrame(this.self.server, command.frame, now);
        } else {
          commands.push(command);
        }
      }
    }
    if (this.isStopping && !this.hasReportedHandOver && this.isHandedOver()) {
      this.hasReportedHandOver = true;
      commands.push({ kind: 'handed-over' });
    }
    return commands;
  }

  private isHandedOver(): boolean {
    return [...this.services.values()].every(({ maintenance }) => maintenance.isHandedOver);
  }
}
