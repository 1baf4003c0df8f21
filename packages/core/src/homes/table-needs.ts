import type { HomeLeaseAnswerFrame } from '../messages/frames.js';
import type { HomeAssignment, HomeTable } from '../messages/home-table.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { LeaseSurvey } from './lease-survey.js';
import type { HomeParts, ServiceHomes } from './service-homes.js';
import * as tablePlan from './table-plan.js';
import { namesThisLife } from './table-view.js';

/** Only so many servers, the first in rank order, ask the witnesses about homes that seem gone. */
const maximumSurveyors = 3;

/** Says which table a service needs in place of the current one, and whether it is this node's turn. */
export class TableNeeds {
  private neededSince: number | undefined;
  private readonly survey: LeaseSurvey;

  public constructor(
    private readonly homes: ServiceHomes,
    private readonly parts: HomeParts,
  ) {
    this.survey = new LeaseSurvey(homes.service, parts.outbox);
  }

  public surveyed(witness: string, frame: HomeLeaseAnswerFrame): void {
    this.survey.answered(witness, frame);
  }

  /** The table that this node is to propose now. */
  public next(current: HomeTable | undefined, now: ClockReading): HomeTable | undefined {
    const isSurveyor = this.rank() < maximumSurveyors;
    if (isSurveyor && this.misses(current, now.monotonic)) this.ask(current, now.monotonic);
    const next = this.desired(current, now);
    if (next === undefined) {
      this.neededSince = undefined;
      return undefined;
    }
    this.neededSince ??= now.monotonic;
    if (!this.isMyTurn(current, now)) return undefined;
    if (current === undefined) return next;
    // A change of witnesses misses no home, so nobody has asked yet whether a majority answers.
    this.ask(current, now.monotonic);
    return this.survey.isMajorityReachable(current, now.monotonic) ? next : undefined;
  }

  /** The table that is needed, whoever is to write it. */
  private desired(current: HomeTable | undefined, now: ClockReading): HomeTable | undefined {
    const { members, self } = this.parts;
    const { service } = this.homes;
    const eligible = members.eligible(service);
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
    return takeover ?? this.desiredWitnesses(current, now.monotonic);
  }

  private isUsable(assignment: HomeAssignment, current: HomeTable, monotonic: number): boolean {
    const { self } = this.parts;
    const { server } = assignment;
    if (server === self.server) return namesThisLife(assignment, self);
    if (!this.isMissing(assignment, monotonic)) return true;
    return !this.survey.hasLapsed(server, current, monotonic);
  }

  /**
   * Whether this node can't tell that a home lives. A zone out of reach keeps its members, and a node
   * that was cut off takes live members for dead, so the witnesses decide.
   */
  private isMissing(assignment: HomeAssignment, monotonic: number): boolean {
    const { members } = this.parts;
    const isGone = members.isGoneHome(assignment, this.homes.service, monotonic);
    return isGone || members.isUnreachable(assignment.server);
  }

  private misses(current: HomeTable | undefined, monotonic: number): current is HomeTable {
    const homes = current?.ranges ?? [];
    return homes.some((assignment) => assignment && this.isMissing(assignment, monotonic));
  }

  private ask(current: HomeTable, monotonic: number): void {
    const homes = new Set(current.ranges.flatMap((assignment) => assignment?.server ?? []));
    this.survey.ask([...homes], current, monotonic);
  }

  /** Position of this server in the order in which the service's servers propose. */
  private rank(): number {
    const { members, self } = this.parts;
    const eligible = members.eligible(this.homes.service);
    const position = eligible.findIndex(({ server }) => server === self.server);
    return position < 0 ? Number.POSITIVE_INFINITY : position;
  }

  private desiredWitnesses(current: HomeTable, monotonic: number): HomeTable | undefined {
    const [witnesses, newer] = current.quorums;
    if (newer !== undefined) {
      // Only a home knows that a majority of the old set has accepted this table.
      const mayEnd = this.homes.holdsLeaseUnder(current, monotonic);
      return mayEnd ? tablePlan.witnessChangeEndTable(current) : undefined;
    }
    if (witnesses === undefined) return undefined;
    const { members } = this.parts;
    const kept = witnesses.filter((server) => !members.isGoneWitness(server, monotonic));
    const isWhole = kept.length === witnesses.length;
    const chosen = members.chooseWitnesses(this.homes.service, kept);
    if (isWhole && chosen.length <= witnesses.length) return undefined;
    return tablePlan.witnessChangeTable(current, chosen);
  }

  /** Servers propose in rank order, so that they don't all write at once. */
  private isMyTurn(current: HomeTable | undefined, now: ClockReading): boolean {
    const { self, settings } = this.parts;
    if (current !== undefined && current.quorums.length > 1 && this.isFirstHome(current))
      return true;
    const rank = this.rank();
    if (rank === Number.POSITIVE_INFINITY) return false;
    const hasEarlierLife = current?.ranges.some(
      (assignment) => assignment?.server === self.server && !namesThisLife(assignment, self),
    );
    if (hasEarlierLife === true) return true;
    const waited = now.monotonic - (this.neededSince ?? now.monotonic);
    return waited >= rank * settings.proposalStaggerMilliseconds;
  }

  private isFirstHome(table: HomeTable): boolean {
    return namesThisLife(
      table.ranges.find((assignment) => assignment !== undefined),
      this.parts.self,
    );
  }
}
