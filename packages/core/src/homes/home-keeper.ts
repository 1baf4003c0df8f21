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
import { HeldBudget } from './held-budget.js';
import type {
  HeldHome,
  HomeCommand,
  HomeKeeperContract,
  KeyedAnswer,
  RecordUsage,
} from './home-contract.js';
import { HomeOutbox } from './home-outbox.js';
import { defaultHomeSettings } from './home-settings.js';
import type { HomeSettings } from './home-settings.js';
import { rangeOfKey } from './key-hash.js';
import type { KeyRequests } from './key-requests.js';
import { KeyStore } from './key-store.js';
import { MemberDirectory } from './member-directory.js';
import { ServiceHomes } from './service-homes.js';
import type { HomeParts } from './service-homes.js';
import { TableBook } from './table-book.js';
import { TableMaintenance } from './table-maintenance.js';
import { TransferInbox } from './transfer-inbox.js';
import { WitnessRole } from './witness-role.js';

const sweepIntervalMilliseconds = 1_000;

interface ServiceParts {
  readonly homes: ServiceHomes;
  readonly maintenance: TableMaintenance;
}

/** Makes non-idempotent requests run at most once: home, witness and proposer of one node. */
export class HomeKeeper implements HomeKeeperContract {
  private readonly outbox = new HomeOutbox();
  private readonly tables = new TableBook();
  private readonly members_: MemberDirectory;
  private readonly records: KeyStore;
  private readonly inbox: TransferInbox;
  private readonly witness: WitnessRole;
  private readonly parts: HomeParts;
  private readonly services = new Map<string, ServiceParts>();
  private isStopping = false;
  private hasHandedOver = false;
  private nextSweepAt = Number.NEGATIVE_INFINITY;

  /** `self` names the server and the incarnation with which the process started. */
  public constructor(
    private readonly self: ServerIncarnation,
    private readonly settings: HomeSettings = defaultHomeSettings,
  ) {
    this.members_ = new MemberDirectory(settings);
    this.records = new KeyStore(settings);
    this.inbox = new TransferInbox(this.records);
    this.parts = {
      held: new HeldBudget(settings),
      inbox: this.inbox,
      members: this.members_,
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

  public request(from: string, frame: KeyedRequestFrame, now: ClockReading): HomeCommand[] {
    const service = this.services.get(frame.head.service);
    if (service === undefined) {
      const table = this.tables.get(frame.head.service);
      this.outbox.count('home_not_home', {});
      this.outbox.reply({ callId: frame.callId, from }, { kind: 'not-home', table });
    } else if (!service.homes.request(from, frame, now)) {
      service.maintenance.refresh();
    }
    return this.finish(now);
  }

  public question(from: string, frame: KeyQuestionFrame, now: ClockReading): HomeCommand[] {
    const service = this.services.get(frame.service);
    if (service === undefined) {
      const { callId } = frame;
      this.outbox.send(from, { callId, kind: 'key-answer', state: 'unknown' });
    } else {
      service.homes.question(from, frame, now);
    }
    return this.finish(now);
  }

  public concluded(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): HomeCommand[] {
    for (const requests of this.requests()) requests.concluded(dispatchId, outcome, answer, now);
    return this.finish(now);
  }

  public settled(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): HomeCommand[] {
    for (const requests of this.requests()) requests.settled(dispatchId, outcome, answer, now);
    return this.finish(now);
  }

  public frame(from: string, frame: HomeFrame, now: ClockReading): HomeCommand[] {
    this.receive(from, frame, now);
    return this.finish(now);
  }

  public storeResult(operationId: number, result: StoreResult, now: ClockReading): HomeCommand[] {
    if (this.witness.storeResult(operationId, result, now)) return this.finish(now);
    for (const { maintenance } of this.services.values()) {
      if (maintenance.storeResult(operationId, result, now)) break;
    }
    return this.finish(now);
  }

  public members(
    members: readonly MemberRecord[],
    unreachable: ReadonlySet<string>,
    now: ClockReading,
  ): HomeCommand[] {
    this.members_.update(members, unreachable);
    const own = this.members_.get(this.self.server);
    if (own?.service !== undefined && !this.isStopping) this.service(own.service);
    return this.finish(now);
  }

  public handOver(now: ClockReading): HomeCommand[] {
    this.isStopping = true;
    for (const { maintenance } of this.services.values()) maintenance.stop();
    return this.finish(now);
  }

  public tick(now: ClockReading): HomeCommand[] {
    this.witness.tick(now);
    for (const { homes, maintenance } of this.services.values()) {
      homes.tick(now);
      maintenance.tick(now);
    }
    if (now.monotonic >= this.nextSweepAt) {
      this.nextSweepAt = now.monotonic + sweepIntervalMilliseconds;
      this.records.sweep(now.wall);
    }
    return this.finish(now);
  }

  public get nextTickAt(): number {
    let next = this.nextSweepAt;
    for (const { homes, maintenance } of this.services.values()) {
      next = Math.min(next, homes.nextTickAt, maintenance.nextTickAt);
    }
    return next;
  }

  public table(service: string): HomeTable | undefined {
    return this.tables.get(service);
  }

  public rangeOf(key: string): number {
    return rangeOfKey(key);
  }

  public held(now: ClockReading): readonly HeldHome[] {
    return [...this.services.values()].flatMap(({ homes }) => homes.held(now.monotonic) ?? []);
  }

  /** Number of key records held and their approximate bytes. */
  public get recordUsage(): RecordUsage {
    const { forgottenKeys, heldBytes, size } = this.records;
    return { bytes: heldBytes, forgotten: forgottenKeys, records: size };
  }

  /** The requests of each service; only one of them knows a given attempt. */
  private requests(): KeyRequests[] {
    return [...this.services.values()].map(({ homes }) => homes.requests);
  }

  private receive(from: string, frame: HomeFrame, now: ClockReading): void {
    switch (frame.kind) {
      case 'home-confirm':
        this.witness.confirm(from, frame, now);
        break;
      case 'home-promise':
        this.promised(from, frame, now);
        break;
      case 'home-lease-question':
        this.witness.surveyed(from, frame, now);
        break;
      case 'home-lease-answer':
        this.services.get(frame.service)?.maintenance.surveyed(from, frame);
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
        this.services.get(frame.service)?.maintenance.received(from, frame, now);
        break;
    }
  }

  private promised(from: string, frame: HomePromiseFrame, now: ClockReading): void {
    if (frame.table !== undefined) this.adopt(frame.table, now);
    this.services.get(frame.service)?.homes.promised(from, frame, now);
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
    service?.maintenance.tableAdopted(table, previous, now);
    service?.homes.adopted(table);
    this.inbox.tableAdopted(table);
  }

  private service(name: string): ServiceParts {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const homes = new ServiceHomes(name, this.parts);
    const maintenance = new TableMaintenance(homes, this.parts, (table, now) => {
      this.adopt(table, now);
    });
    if (this.isStopping) maintenance.stop();
    const service = { homes, maintenance };
    this.services.set(name, service);
    return service;
  }

  /** Delivers frames to this node itself, reports the end of a planned stop, returns the rest. */
  private finish(now: ClockReading): HomeCommand[] {
    const finished: HomeCommand[] = [];
    for (let taken = this.outbox.take(); taken.length > 0; taken = this.outbox.take()) {
      for (const command of taken) {
        const isOwn = command.kind === 'send' && command.to === this.self.server;
        if (isOwn && command.frame.kind !== 'key-answer') {
          this.receive(this.self.server, command.frame, now);
        } else {
          finished.push(command);
        }
      }
    }
    if (this.isStopping && !this.hasHandedOver && this.isHandedOver()) {
      this.hasHandedOver = true;
      finished.push({ kind: 'handed-over' });
    }
    return finished;
  }

  private isHandedOver(): boolean {
    return [...this.services.values()].every(({ maintenance }) => maintenance.isHandedOver);
  }
}
