import type { HomeLeaseAnswerFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { HomeOutbox } from './home-outbox.js';
import { majorityOf, witnessesOf } from './table-view.js';

/** Time between two rounds; the answers of a round count until the next one starts. */
const roundMilliseconds = 500;

interface SurveyRound {
  readonly number: number;
  readonly startedAt: number;
  readonly version: number;
  readonly homes: readonly string[];
  /** The homes with a promise, for each witness that answered. */
  readonly bound: Map<string, readonly string[]>;
}

/**
 * Finds out whether homes that this node can't reach have lost their lease. Only the witnesses can
 * tell a zone that failed from a zone that this node alone is cut off from.
 */
export class LeaseSurvey {
  private round: SurveyRound | undefined;
  private rounds = 0;

  public constructor(
    private readonly service: string,
    private readonly outbox: HomeOutbox,
  ) {}

  /** Asks the witnesses of the table, unless answers to the same question are awaited or fresh. */
  public ask(homes: readonly string[], table: HomeTable, monotonic: number): void {
    const { round, service } = this;
    const isCurrent =
      round !== undefined &&
      monotonic < round.startedAt + roundMilliseconds &&
      round.version === table.version &&
      homes.every((home) => round.homes.includes(home));
    if (isCurrent) return;
    this.rounds += 1;
    this.round = {
      bound: new Map(),
      homes,
      number: this.rounds,
      startedAt: monotonic,
      version: table.version,
    };
    for (const witness of witnessesOf(table)) {
      this.outbox.send(witness, {
        homes,
        kind: 'home-lease-question',
        round: this.rounds,
        service,
      });
    }
  }

  public answered(witness: string, frame: HomeLeaseAnswerFrame): void {
    if (frame.round === this.round?.number) this.round.bound.set(witness, frame.bound);
  }

  /** Whether a majority of every quorum has just said that it has no promise to this home. */
  public hasLapsed(home: string, table: HomeTable, monotonic: number): boolean {
    const { round } = this;
    if (round?.version !== table.version || !round.homes.includes(home)) return false;
    if (table.quorums.length === 0 || monotonic >= round.startedAt + roundMilliseconds)
      return false;
    return table.quorums.every((quorum) => {
      const free = quorum.filter((witness) => round.bound.get(witness)?.includes(home) === false);
      return free.length >= majorityOf(quorum);
    });
  }
}
