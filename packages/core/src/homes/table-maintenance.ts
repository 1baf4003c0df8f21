import type { HomeLeaseAnswerFrame, RecordsReceivedFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { HandOver } from './hand-over.js';
import type { LocalRange } from './local-range.js';
import type { HomeParts, ServiceHomes } from './service-homes.js';
import { TableChangePolicy } from './table-change-policy.js';
import * as tablePlan from './table-plan.js';
import { TableProposer } from './table-proposer.js';
import type { TablePlanner } from './table-proposer.js';
import { namesThisIncarnation, witnessesOf } from './table-view.js';

/** Interval at which this node checks whether the table has to change. */
const checkIntervalMilliseconds = 100;
/**
 * Shortest interval between two reads of the table caused by senders that use a different table.
 */
const requestedRefreshIntervalMilliseconds = 1_000;
/** Largest number of servers to which a new table is sent at once; the others request it. */
const maximumTablePushes = 64;

/** Makes a committed table the current one on this node, if it is newer. */
export type AdoptTable = (table: HomeTable, now: ClockReading) => void;

/**
 * Decides when the home table of one service changes: its first table, takeovers, changes of witnesses,
 * and hand-overs. Also runs the hand-overs of this node.
 */
export class TableMaintenance implements TablePlanner {
  private readonly proposer: TableProposer;
  private readonly changePolicy: TableChangePolicy;
  private handOver: HandOver | undefined;
  private isStopping = false;
  /** A table without homes was sent to the store, and its write may still take effect. */
  private isEmptyTablePending = false;
  private nextCheckAt = Number.NEGATIVE_INFINITY;
  private lastUpdateAt = Number.NEGATIVE_INFINITY;
  private isRefreshRequested = false;
  private nextRebalanceAt = Number.NEGATIVE_INFINITY;
  private handOverCount = 0;
  private readonly failedRecipients = new Set<string>();

  public constructor(
    private readonly serviceHomes: ServiceHomes,
    private readonly parts: HomeParts,
    private readonly adopt: AdoptTable,
  ) {
    const { outbox, settings } = parts;
    this.proposer = new TableProposer(serviceHomes.service, settings, outbox, this);
    this.changePolicy = new TableChangePolicy(serviceHomes, parts);
  }

  /**
   * Whether a planned stop need not wait for this service any longer: nothing is left to hand over, or
   * there is no recipient and the table can't be emptied, because it also names other homes.
   */
  public get isHandedOver(): boolean {
    if (this.serviceHomes.requests.runningAttemptCount > 0 || this.handOver !== undefined)
      return false;
    if (this.serviceHomes.localRanges.size === 0) return true;
    const isClosed = [...this.serviceHomes.localRanges.values()].every(
      ({ isAccepting }) => !isAccepting,
    );
    return isClosed && this.recipients().length === 0 && !this.isOnlyHome();
  }

  public stop(): void {
    this.isStopping = true;
    this.nextCheckAt = Number.NEGATIVE_INFINITY;
  }

  /** Requests an early read of the table, because a sender took this node for the home of a key. */
  public requestRefresh(): void {
    this.isRefreshRequested = true;
  }

  public onRecordsReceived(from: string, frame: RecordsReceivedFrame, now: ClockReading): void {
    this.handOver?.onRecordsReceived(from, frame);
    if (this.handOver?.isReadyForTableWrite === true) this.proposer.startUpdate(now);
  }

  public onLeaseAnswer(witness: string, frame: HomeLeaseAnswerFrame): void {
    this.changePolicy.onLeaseAnswer(witness, frame);
  }

  public onStoreResult(operationId: number, result: StoreResult, now: ClockReading): boolean {
    return this.proposer.onStoreResult(operationId, result, now);
  }

  /**
   * When the next tick is needed: immediately during a hand-over, which waits for attempts to end.
   */
  public get nextTickAt(): number {
    if (this.handOver !== undefined) return Number.NEGATIVE_INFINITY;
    return Math.min(this.proposer.nextTickAt, this.nextCheckAt);
  }

  public tick(now: ClockReading): void {
    this.proposer.tick(now);
    this.advanceHandOver(now);
    if (now.monotonic < this.nextCheckAt) return;
    this.nextCheckAt = now.monotonic + checkIntervalMilliseconds;
    const known = this.parts.tables.get(this.serviceHomes.service);
    const isDue =
      known === undefined ||
      now.monotonic >= this.lastUpdateAt + this.refreshInterval() ||
      this.plan(known, now) !== undefined ||
      this.rangesToHandOver(now).length > 0;
    if (!isDue) return;
    this.lastUpdateAt = now.monotonic;
    this.isRefreshRequested = false;
    this.proposer.startUpdate(now);
  }

  public plan(current: HomeTable | undefined, now: ClockReading): HomeTable | undefined {
    if (current !== undefined && this.handOver?.isReadyForTableWrite === true) {
      return tablePlan.handOverTable(current, this.handOver.targets());
    }
    if (this.isStopping) {
      const isEmptying = this.recipients().length === 0 && this.canEmptyTable();
      return current !== undefined && isEmptying ? tablePlan.emptyTable(current) : undefined;
    }
    return this.changePolicy.nextTable(current, now);
  }

  public onWriteStarted(table: HomeTable): void {
    if (this.handOver?.isCompletedBy(table) === true) this.handOver.onWriteStarted();
    if (table.quorums.length === 0) this.isEmptyTablePending = true;
  }

  public onCommitted(table: HomeTable, isOwn: boolean, now: ClockReading): void {
    const previous = this.parts.tables.get(this.serviceHomes.service);
    this.adopt(table, now);
    if (isOwn) this.announce(table, previous);
    // Ranges stop accepting only after a response of the store, so that its outage stops no home.
    else this.vacateRanges(now);
  }

  /** Ends or continues a hand-over when a newer table is adopted, before its ranges are removed. */
  public onTableAdopted(
    table: HomeTable,
    previous: HomeTable | undefined,
    now: ClockReading,
  ): void {
    this.nextRebalanceAt = now.monotonic + this.parts.settings.rebalanceIntervalMilliseconds;
    this.isEmptyTablePending = false;
    const { handOver } = this;
    if (handOver === undefined) return;
    const isCompleted = handOver.isCompletedBy(table);
    const isStillHome = handOver.localRanges.every(({ rangeNumber: range, since }) => {
      const assignment = table.ranges[range];
      return namesThisIncarnation(assignment, this.parts.self) && assignment.since === since;
    });
    if (!isCompleted && isStillHome) {
      // A compare-and-swap on an older table can't succeed any more, so the hand-over may restart.
      if (handOver.isWriting) this.abandonHandOver();
      return;
    }
    this.handOver = undefined;
    handOver.resumeAccepting();
    this.parts.outbox.count('home_hand_overs', {
      result: isCompleted ? 'completed' : 'overtaken',
    });
    if (isCompleted) this.announceHandOver(table, previous, handOver.recipients);
  }

  private refreshInterval(): number {
    const { members, self, settings } = this.parts;
    if (this.isRefreshRequested) return requestedRefreshIntervalMilliseconds;
    const isFirst = members.eligibleHomes(this.serviceHomes.service)[0]?.server === self.server;
    return isFirst ? settings.tableRefreshMilliseconds : Number.POSITIVE_INFINITY;
  }

  private recipients(): ReturnType<HomeParts['members']['eligibleHomes']> {
    const { members, self } = this.parts;
    return members
      .eligibleHomes(this.serviceHomes.service)
      .filter(({ server }) => server !== self.server);
  }

  private advanceHandOver(now: ClockReading): void {
    const { handOver } = this;
    if (handOver === undefined) return;
    const { outbox, records } = this.parts;
    const hasRunningAttempt = (rangeId: string): boolean =>
      this.serviceHomes.requests.hasRunningAttempt(rangeId);
    for (const { frame, to } of handOver.tick(hasRunningAttempt, records, now.monotonic)) {
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
    this.handOver?.resumeAccepting();
    this.handOver = undefined;
    // A pending table without homes may still take effect. It has no quorums that would have to
    // accept it, so no range may accept new keys in the meantime.
    if (this.isEmptyTablePending) {
      for (const localRange of this.serviceHomes.localRanges.values())
        localRange.isAccepting = false;
    }
    this.parts.outbox.count('home_hand_overs', { result: 'abandoned' });
  }

  private startHandOver(localRanges: readonly LocalRange[], now: ClockReading): void {
    const known = this.parts.tables.get(this.serviceHomes.service);
    const all = this.recipients();
    const untried = all.filter(({ server }) => !this.failedRecipients.has(server));
    if (untried.length === 0) this.failedRecipients.clear();
    const recipients = untried.length > 0 ? untried : all;
    if (known === undefined || recipients.length === 0) return;
    const newHomes = new Map<LocalRange, (typeof recipients)[number]>();
    const ranges = [...known.ranges];
    for (const localRange of localRanges) {
      const home = tablePlan.leastLoaded(ranges, recipients);
      if (home === undefined) return;
      newHomes.set(localRange, home);
      ranges[localRange.rangeNumber] = {
        incarnation: home.incarnation,
        server: home.server,
        since: 0,
      };
    }
    const { self, settings } = this.parts;
    this.handOverCount += 1;
    const transfer = `${self.server}/${self.incarnation}/${this.handOverCount}`;
    this.handOver = new HandOver(transfer, newHomes, settings, now.monotonic);
  }

  private vacateRanges(now: ClockReading): void {
    const leaving = this.rangesToHandOver(now);
    if (this.recipients().length > 0) {
      if (leaving.length > 0) this.startHandOver(leaving, now);
      return;
    }
    for (const localRange of leaving) localRange.isAccepting = false;
  }

  /** The ranges that this node should hand over, or stop accepting keys for, now. */
  private rangesToHandOver(now: ClockReading): readonly LocalRange[] {
    if (this.handOver !== undefined) return [];
    if (!this.isStopping) return this.rangesToRebalance(now);
    const localRanges = [...this.serviceHomes.localRanges.values()];
    if (this.recipients().length > 0) return localRanges;
    return localRanges.filter(({ isAccepting }) => isAccepting);
  }

  /**
   * Whether the table may be emptied: this node is the only home, accepts no keys and runs no
   * attempts.
   */
  private canEmptyTable(): boolean {
    const isClosed = [...this.serviceHomes.localRanges.values()].every(
      ({ isAccepting }) => !isAccepting,
    );
    return isClosed && this.serviceHomes.requests.runningAttemptCount === 0 && this.isOnlyHome();
  }

  /** Whether this node is the home of every range that has one, and all of them are activated. */
  private isOnlyHome(): boolean {
    const known = this.parts.tables.get(this.serviceHomes.service);
    if (known === undefined || this.serviceHomes.localRanges.size === 0) return false;
    return known.ranges.every(
      (assignment, range) =>
        assignment === undefined || this.serviceHomes.localRanges.get(range)?.isActivated === true,
    );
  }

  /**
   * Returns one idle range if this node has the most ranges and another server has at least two fewer,
   * or all idle ranges if this node may no longer be a home.
   */
  private rangesToRebalance(now: ClockReading): readonly LocalRange[] {
    const known = this.parts.tables.get(this.serviceHomes.service);
    const localCount = this.serviceHomes.localRanges.size;
    if (known === undefined || localCount === 0 || now.monotonic < this.nextRebalanceAt) return [];
    const recipients = this.recipients();
    const least = tablePlan.leastLoaded(known.ranges, recipients);
    if (least === undefined) return [];
    const countOf = (server: string): number => tablePlan.rangeCount(known.ranges, server);
    const isEligible =
      this.parts.members.eligibleHomes(this.serviceHomes.service).length > recipients.length;
    if (isEligible && localCount <= countOf(least.server) + 1) return [];
    if (isEligible && recipients.some(({ server }) => countOf(server) > localCount)) return [];
    const idle = [...this.serviceHomes.localRanges.values()].filter(
      (localRange) =>
        localRange.hasLease(now.monotonic) &&
        !this.serviceHomes.requests.hasRunningAttempt(localRange.rangeId),
    );
    return isEligible ? idle.slice(0, 1) : idle;
  }

  /**
   * Releases this node's lease at the witnesses, so that they accept the new table immediately, and
   * sends the table to the new homes.
   */
  private announceHandOver(
    table: HomeTable,
    previous: HomeTable | undefined,
    recipients: readonly string[],
  ): void {
    const { outbox } = this.parts;
    const { service } = this.serviceHomes;
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
    const { service } = this.serviceHomes;
    const homes = [...table.ranges, ...(previous?.ranges ?? [])].flatMap(
      (assignment) => assignment?.server ?? [],
    );
    const servers = members.eligibleHomes(service).map(({ server }) => server);
    const receivers = [...new Set([...homes, ...servers])].filter(
      (server) => server !== self.server,
    );
    for (const server of receivers.slice(0, maximumTablePushes)) {
      outbox.send(server, { kind: 'home-table', service, table });
    }
    outbox.count('home_tables_written', { service });
  }
}
