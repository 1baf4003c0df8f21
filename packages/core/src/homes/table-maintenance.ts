import type { HomeLeaseAnswerFrame, RecordsReceivedFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { HandOver } from './hand-over.js';
import type { RangeTenure } from './range-tenure.js';
import type { HomeParts, ServiceHomes } from './service-homes.js';
import { TableNeeds } from './table-needs.js';
import * as tablePlan from './table-plan.js';
import { TableProposer } from './table-proposer.js';
import type { TablePlanner } from './table-proposer.js';
import { namesThisLife, witnessesOf } from './table-view.js';

/** Time between two looks at whether the table has to change. */
const lookIntervalMilliseconds = 100;
/** Shortest time between two reads that senders with another table cause. */
const wantedRefreshMilliseconds = 1_000;
/** Largest number of servers that are told of a new table at once; others ask. */
const maximumTablePushes = 64;

/** Takes a committed table over on the whole node. */
export type AdoptTable = (table: HomeTable, now: ClockReading) => void;

/** Decides when the table of one service changes: first table, takeover, witnesses, hand-over. */
export class TableMaintenance implements TablePlanner {
  private readonly proposer: TableProposer;
  private readonly needs: TableNeeds;
  private handOver: HandOver | undefined;
  private isStopping = false;
  /** A table without homes was sent to the store and may still take effect. */
  private mayBecomeEmpty = false;
  private nextLookAt = Number.NEGATIVE_INFINITY;
  private wokenAt = Number.NEGATIVE_INFINITY;
  private isRefreshWanted = false;
  private nextSpreadAt = Number.NEGATIVE_INFINITY;
  private handOvers = 0;
  private readonly failedRecipients = new Set<string>();

  public constructor(
    private readonly homes: ServiceHomes,
    private readonly parts: HomeParts,
    private readonly adopt: AdoptTable,
  ) {
    const { outbox, settings } = parts;
    this.proposer = new TableProposer(homes.service, settings, outbox, this);
    this.needs = new TableNeeds(homes, parts);
  }

  /** Nothing of this service is left to hand over, or nobody is there and it can't be given up. */
  public get isHandedOver(): boolean {
    if (this.homes.requests.runningAttempts > 0 || this.handOver !== undefined) return false;
    if (this.homes.tenures.size === 0) return true;
    const isClosed = [...this.homes.tenures.values()].every(({ isAccepting }) => !isAccepting);
    return isClosed && this.recipients().length === 0 && !this.isOnlyHome();
  }

  public stop(): void {
    this.isStopping = true;
    this.nextLookAt = Number.NEGATIVE_INFINITY;
  }

  /** Asks for a read of the table soon, because a sender believed that this node is a home. */
  public refresh(): void {
    this.isRefreshWanted = true;
  }

  public received(from: string, frame: RecordsReceivedFrame, now: ClockReading): void {
    this.handOver?.received(from, frame);
    if (this.handOver?.mayBeWritten === true) this.proposer.wake(now);
  }

  public surveyed(witness: string, frame: HomeLeaseAnswerFrame): void {
    this.needs.surveyed(witness, frame);
  }

  public storeResult(operationId: number, result: StoreResult, now: ClockReading): boolean {
    return this.proposer.storeResult(operationId, result, now);
  }

  /** When the next tick is needed; at once during a hand-over, which waits for requests to end. */
  public get nextTickAt(): number {
    if (this.handOver !== undefined) return Number.NEGATIVE_INFINITY;
    return Math.min(this.proposer.nextTickAt, this.nextLookAt);
  }

  public tick(now: ClockReading): void {
    this.proposer.tick(now);
    this.advanceHandOver(now);
    if (now.monotonic < this.nextLookAt) return;
    this.nextLookAt = now.monotonic + lookIntervalMilliseconds;
    const known = this.parts.tables.get(this.homes.service);
    const isDue =
      known === undefined ||
      now.monotonic >= this.wokenAt + this.refreshInterval() ||
      this.plan(known, now) !== undefined ||
      this.leavingTenures(now).length > 0;
    if (!isDue) return;
    this.wokenAt = now.monotonic;
    this.isRefreshWanted = false;
    this.proposer.wake(now);
  }

  public plan(current: HomeTable | undefined, now: ClockReading): HomeTable | undefined {
    if (current !== undefined && this.handOver?.mayBeWritten === true) {
      return tablePlan.handOverTable(current, this.handOver.targets());
    }
    if (this.isStopping) {
      const isEmptying = this.recipients().length === 0 && this.mayEmpty();
      return current !== undefined && isEmptying ? tablePlan.emptyTable(current) : undefined;
    }
    return this.needs.next(current, now);
  }

  public writing(table: HomeTable): void {
    if (this.handOver?.isCompletedBy(table) === true) this.handOver.writing();
    if (table.quorums.length === 0) this.mayBecomeEmpty = true;
  }

  public committed(table: HomeTable, isOwn: boolean, now: ClockReading): void {
    const previous = this.parts.tables.get(this.homes.service);
    this.adopt(table, now);
    if (isOwn) this.announce(table, previous);
    // Ranges stop accepting only when the store has just answered, so that an outage stops no home.
    else this.giveUpRanges(now);
  }

  /** Ends or continues a hand-over after a newer table was adopted, before tenures end by it. */
  public tableAdopted(table: HomeTable, previous: HomeTable | undefined, now: ClockReading): void {
    this.nextSpreadAt = now.monotonic + this.parts.settings.spreadIntervalMilliseconds;
    this.mayBecomeEmpty = false;
    const { handOver } = this;
    if (handOver === undefined) return;
    const isCompleted = handOver.isCompletedBy(table);
    const isStillHome = handOver.tenures.every(({ range, since }) => {
      const assignment = table.ranges[range];
      return namesThisLife(assignment, this.parts.self) && assignment.since === since;
    });
    if (!isCompleted && isStillHome) {
      // A write on an older table can't take effect any more, so the hand-over may start again.
      if (handOver.isWriting) this.abandonHandOver();
      return;
    }
    this.handOver = undefined;
    handOver.abandon();
    this.parts.outbox.count('home_hand_overs', { result: isCompleted ? 'completed' : 'overtaken' });
    if (isCompleted) this.release(table, previous, handOver.recipients);
  }

  private refreshInterval(): number {
    const { members, self, settings } = this.parts;
    if (this.isRefreshWanted) return wantedRefreshMilliseconds;
    const isFirst = members.eligible(this.homes.service)[0]?.server === self.server;
    return isFirst ? settings.tableRefreshMilliseconds : Number.POSITIVE_INFINITY;
  }

  private recipients(): ReturnType<HomeParts['members']['eligible']> {
    const { members, self } = this.parts;
    return members.eligible(this.homes.service).filter(({ server }) => server !== self.server);
  }

  private advanceHandOver(now: ClockReading): void {
    const { handOver } = this;
    if (handOver === undefined) return;
    const { outbox, records } = this.parts;
    const isRunning = (scope: string): boolean => this.homes.requests.isRunning(scope);
    for (const { frame, to } of handOver.tick(isRunning, records, now.monotonic)) {
      outbox.send(to, frame);
    }
    if (handOver.isWriting) return;
    const live = new Set(this.recipients().map(({ server }) => server));
    const isLost = handOver.recipients.some((server) => !live.has(server));
    if (!isLost && !handOver.isOverdue(this.isStopping, now.monotonic)) return;
    for (const server of handOver.recipients) this.failedRecipients.add(server);
    this.abandonHandOver();
  }

  private abandonHandOver(): void {
    this.handOver?.abandon();
    this.handOver = undefined;
    // The table without homes drops the quorums, so its late effect must find nothing accepting.
    if (this.mayBecomeEmpty) {
      for (const tenure of this.homes.tenures.values()) tenure.isAccepting = false;
    }
    this.parts.outbox.count('home_hand_overs', { result: 'abandoned' });
  }

  private begin(tenures: readonly RangeTenure[], now: ClockReading): void {
    const known = this.parts.tables.get(this.homes.service);
    const all = this.recipients();
    const untried = all.filter(({ server }) => !this.failedRecipients.has(server));
    if (untried.length === 0) this.failedRecipients.clear();
    const recipients = untried.length > 0 ? untried : all;
    if (known === undefined || recipients.length === 0) return;
    const homes = new Map<RangeTenure, (typeof recipients)[number]>();
    const ranges = [...known.ranges];
    for (const tenure of tenures) {
      const home = tablePlan.leastLoaded(ranges, recipients);
      if (home === undefined) return;
      homes.set(tenure, home);
      ranges[tenure.range] = { incarnation: home.incarnation, server: home.server, since: 0 };
    }
    const { self, settings } = this.parts;
    this.handOvers += 1;
    const transfer = `${self.server}/${self.incarnation}/${this.handOvers}`;
    this.handOver = new HandOver(transfer, homes, settings, now.monotonic);
  }

  private giveUpRanges(now: ClockReading): void {
    const leaving = this.leavingTenures(now);
    if (this.recipients().length > 0) {
      if (leaving.length > 0) this.begin(leaving, now);
      return;
    }
    for (const tenure of leaving) tenure.isAccepting = false;
  }

  /** The ranges that a hand-over is to start with now. */
  private leavingTenures(now: ClockReading): readonly RangeTenure[] {
    if (this.handOver !== undefined) return [];
    if (!this.isStopping) return this.spreadingTenures(now);
    const tenures = [...this.homes.tenures.values()];
    if (this.recipients().length > 0) return tenures;
    return tenures.filter(({ isAccepting }) => isAccepting);
  }

  /** Whether the table may be emptied: this is the only home, and it accepts and runs nothing. */
  private mayEmpty(): boolean {
    const isClosed = [...this.homes.tenures.values()].every(({ isAccepting }) => !isAccepting);
    return isClosed && this.homes.requests.runningAttempts === 0 && this.isOnlyHome();
  }

  /** Whether every range that has a home is this node's and activated. */
  private isOnlyHome(): boolean {
    const known = this.parts.tables.get(this.homes.service);
    if (known === undefined || this.homes.tenures.size === 0) return false;
    return known.ranges.every(
      (assignment, range) =>
        assignment === undefined || this.homes.tenures.get(range)?.isActivated === true,
    );
  }

  /** One range of the home with the most, if another server has fewer; all if this one may keep none. */
  private spreadingTenures(now: ClockReading): readonly RangeTenure[] {
    const known = this.parts.tables.get(this.homes.service);
    const held = this.homes.tenures.size;
    if (known === undefined || held === 0 || now.monotonic < this.nextSpreadAt) return [];
    const recipients = this.recipients();
    const least = tablePlan.leastLoaded(known.ranges, recipients);
    if (least === undefined) return [];
    const countOf = (server: string): number => tablePlan.rangeCount(known.ranges, server);
    const mayKeep = this.parts.members.eligible(this.homes.service).length > recipients.length;
    if (mayKeep && held <= countOf(least.server) + 1) return [];
    if (mayKeep && recipients.some(({ server }) => countOf(server) > held)) return [];
    const idle = [...this.homes.tenures.values()].filter(
      (tenure) => tenure.hasLease(now.monotonic) && !this.homes.requests.isRunning(tenure.scope),
    );
    return mayKeep ? idle.slice(0, 1) : idle;
  }

  /** Lets the witnesses accept the table at once, and the new homes know of it. */
  private release(
    table: HomeTable,
    previous: HomeTable | undefined,
    recipients: readonly string[],
  ): void {
    const { outbox } = this.parts;
    const { service } = this.homes;
    const witnesses = previous === undefined ? [] : witnessesOf(previous);
    for (const witness of new Set([...witnesses, ...witnessesOf(table)])) {
      const { version } = table;
      const kind = 'home-confirm';
      outbox.send(witness, { kind, released: true, sequence: 0, service, table, version });
    }
    for (const server of recipients) outbox.send(server, { kind: 'home-table', service, table });
  }

  private announce(table: HomeTable, previous: HomeTable | undefined): void {
    const { members, outbox, self } = this.parts;
    const { service } = this.homes;
    const homes = [...table.ranges, ...(previous?.ranges ?? [])].flatMap(
      (assignment) => assignment?.server ?? [],
    );
    const servers = members.eligible(service).map(({ server }) => server);
    const told = [...new Set([...homes, ...servers])].filter((server) => server !== self.server);
    for (const server of told.slice(0, maximumTablePushes)) {
      outbox.send(server, { kind: 'home-table', service, table });
    }
    outbox.count('home_tables_written', { service });
  }
}
