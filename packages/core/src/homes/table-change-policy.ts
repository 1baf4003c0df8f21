import type { HomeLeaseAnswerFrame } from '../messages/frames.js';
import type { HomeAssignment, HomeTable } from '../messages/home-table.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { WitnessPoll } from './witness-poll.js';
import type { HomeParts, ServiceHomes } from './service-homes.js';
import * as tablePlan from './table-plan.js';
import { namesThisIncarnation } from './table-view.js';

/**
 * Only this many servers, the first in rank order, poll the witnesses about homes that may be down.
 */
const maximumPollingServers = 3;

/**
 * Determines which table should replace the current one of a service, and whether it is this node's
 * turn to propose it.
 */
export class TableChangePolicy {
  private changeNeededSince: number | undefined;
  private readonly witnessPoll: WitnessPoll;

  public constructor(
    private readonly serviceHomes: ServiceHomes,
    private readonly parts: HomeParts,
  ) {
    this.witnessPoll = new WitnessPoll(serviceHomes.service, parts.outbox);
  }

  public onLeaseAnswer(witness: string, frame: HomeLeaseAnswerFrame): void {
    this.witnessPoll.onAnswer(witness, frame);
  }

  /** The table that this node should propose now, if any. */
  public nextTable(current: HomeTable | undefined, now: ClockReading): HomeTable | undefined {
    const isPollingServer = this.rank() < maximumPollingServers;
    if (isPollingServer && this.hasHomeThatMayBeDown(current, now.monotonic))
      this.pollWitnesses(current, now.monotonic);
    const next = this.desiredTable(current, now);
    if (next === undefined) {
      this.changeNeededSince = undefined;
      return undefined;
    }
    this.changeNeededSince ??= now.monotonic;
    if (!this.isMyTurn(current, now)) return undefined;
    if (current === undefined) return next;
    // If only witnesses have to change, no poll was started above, so it is not known whether a
    // majority answers.
    this.pollWitnesses(current, now.monotonic);
    return this.witnessPoll.isMajorityReachable(current, now.monotonic) ? next : undefined;
  }

  /** The table that is needed, regardless of which server proposes it. */
  private desiredTable(current: HomeTable | undefined, now: ClockReading): HomeTable | undefined {
    const { members, self } = this.parts;
    const { service } = this.serviceHomes;
    const eligible = members.eligibleHomes(service);
    const own = eligible.find(({ server }) => server === self.server);
    if (current === undefined) {
      if (own === undefined) return undefined;
      return tablePlan.firstTable(service, own, members.chooseWitnesses(service, []));
    }
    const takeover = tablePlan.takeoverTable(
      current,
      eligible,
      (assignment) => this.isUsable(assignment, current, now.monotonic),
      () => members.chooseWitnesses(service, []),
    );
    return takeover ?? this.desiredWitnessChange(current, now.monotonic);
  }

  private isUsable(assignment: HomeAssignment, current: HomeTable, monotonic: number): boolean {
    const { self } = this.parts;
    const { server } = assignment;
    if (server === self.server) return namesThisIncarnation(assignment, self);
    if (!this.mayBeDown(assignment, monotonic)) return true;
    return !this.witnessPoll.hasLeaseLapsed(server, current, monotonic);
  }

  /**
   * Whether a home may be down, as far as this node can tell. Members of an unreachable zone stay in the
   * member list, and a node that was cut off regards live members as dead, so the witnesses decide.
   */
  private mayBeDown(assignment: HomeAssignment, monotonic: number): boolean {
    const { members } = this.parts;
    const isGone = members.isHomeGone(assignment, this.serviceHomes.service, monotonic);
    return isGone || members.isUnreachable(assignment.server);
  }

  private hasHomeThatMayBeDown(
    current: HomeTable | undefined,
    monotonic: number,
  ): current is HomeTable {
    const homes = current?.ranges ?? [];
    return homes.some((assignment) => assignment && this.mayBeDown(assignment, monotonic));
  }

  private pollWitnesses(current: HomeTable, monotonic: number): void {
    const homes = new Set(current.ranges.flatMap((assignment) => assignment?.server ?? []));
    this.witnessPoll.pollIfDue([...homes], current, monotonic);
  }

  /**
   * Position of this server in the rank order of the servers that may be homes; infinite if it may
   * not.
   */
  private rank(): number {
    const { members, self } = this.parts;
    const eligible = members.eligibleHomes(this.serviceHomes.service);
    const position = eligible.findIndex(({ server }) => server === self.server);
    return position < 0 ? Number.POSITIVE_INFINITY : position;
  }

  private desiredWitnessChange(current: HomeTable, monotonic: number): HomeTable | undefined {
    const [witnesses, newer] = current.quorums;
    if (newer !== undefined) {
      // Only a home, from its lease, knows that a majority of the old set has accepted this table.
      const canEndChange = this.serviceHomes.hasLeaseUnder(current, monotonic);
      return canEndChange ? tablePlan.witnessChangeEndTable(current) : undefined;
    }
    if (witnesses === undefined) return undefined;
    const { members } = this.parts;
    const kept = witnesses.filter((server) => !members.isWitnessGone(server, monotonic));
    const areAllKept = kept.length === witnesses.length;
    const chosen = members.chooseWitnesses(this.serviceHomes.service, kept);
    if (areAllKept && chosen.length <= witnesses.length) return undefined;
    return tablePlan.witnessChangeTable(current, chosen);
  }

  /** Servers propose in rank order, with a delay for each, so that they don't all write at once. */
  private isMyTurn(current: HomeTable | undefined, now: ClockReading): boolean {
    const { self, settings } = this.parts;
    if (current !== undefined && current.quorums.length > 1 && this.isFirstHome(current))
      return true;
    const rank = this.rank();
    if (rank === Number.POSITIVE_INFINITY) return false;
    const namesEarlierIncarnation = current?.ranges.some(
      (assignment) => assignment?.server === self.server && !namesThisIncarnation(assignment, self),
    );
    if (namesEarlierIncarnation === true) return true;
    const waited = now.monotonic - (this.changeNeededSince ?? now.monotonic);
    return waited >= rank * settings.proposalStaggerMilliseconds;
  }

  private isFirstHome(table: HomeTable): boolean {
    return namesThisIncarnation(
      table.ranges.find((assignment) => assignment !== undefined),
      this.parts.self,
    );
  }
}
