import type { HomeLeaseAnswerFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { HomeOutbox } from './home-outbox.js';
import { majorityOf, witnessesOf } from './table-view.js';

/**
 * Interval between two poll rounds; a takeover waits up to this long after the lease has lapsed.
 */
const roundIntervalMilliseconds = 250;
/**
 * How long after its question an answer stays valid. Allows for a slow read of the table from the
 * store.
 */
const answerValidityMilliseconds = 2_000;

interface PollRound {
  readonly number: number;
  readonly askedAt: number;
  readonly homes: readonly string[];
}

/** The newest answer of a witness. */
interface PollAnswer {
  readonly round: PollRound;
  /** The homes asked about in this round to which the witness has promised the lease. */
  readonly bound: readonly string[];
}

/**
 * Asks the witnesses which homes still hold a lease, before homes are replaced. Without this, a node
 * that is cut off from the witnesses would write tables that can't come into force, and so take ranges
 * away from the homes that serve them. Only the witnesses can distinguish a failed zone from a zone
 * that this node alone can't reach.
 */
export class WitnessPoll {
  private rounds: readonly PollRound[] = [];
  private lastNumber = 0;
  private readonly latestAnswers = new Map<string, PollAnswer>();

  public constructor(
    private readonly service: string,
    private readonly outbox: HomeOutbox,
  ) {}

  /** Starts a poll round about these homes, unless the last round asked about them just now. */
  public pollIfDue(homes: readonly string[], table: HomeTable, monotonic: number): void {
    const last = this.rounds.at(-1);
    const isCurrent =
      last !== undefined &&
      monotonic < last.askedAt + roundIntervalMilliseconds &&
      homes.every((home) => last.homes.includes(home));
    if (isCurrent) return;
    this.lastNumber += 1;
    const round = { askedAt: monotonic, homes, number: this.lastNumber };
    const isFresh = ({ askedAt }: PollRound): boolean =>
      monotonic < askedAt + answerValidityMilliseconds;
    this.rounds = [...this.rounds.filter(isFresh), round];
    const { service } = this;
    const kind = 'home-lease-question';
    for (const witness of witnessesOf(table)) {
      this.outbox.send(witness, { homes, kind, round: round.number, service });
    }
  }

  public onAnswer(witness: string, { bound, round: number }: HomeLeaseAnswerFrame): void {
    const round = this.rounds.find((asked) => asked.number === number);
    const known = this.latestAnswers.get(witness);
    if (round === undefined || (known !== undefined && known.round.number > number)) return;
    this.latestAnswers.set(witness, { bound, round });
  }

  /**
   * Whether a majority of every quorum has recently answered, so that a new table can come into
   * force.
   */
  public isMajorityReachable(table: HomeTable, monotonic: number): boolean {
    return this.isConfirmedByMajority(table, monotonic, () => true);
  }

  /**
   * Whether a majority of every quorum has recently answered that it has no valid promise to this
   * home.
   */
  public hasLeaseLapsed(home: string, table: HomeTable, monotonic: number): boolean {
    if (table.quorums.length === 0) return false;
    return this.isConfirmedByMajority(
      table,
      monotonic,
      ({ bound, round }) => round.homes.includes(home) && !bound.includes(home),
    );
  }

  private isConfirmedByMajority(
    table: HomeTable,
    monotonic: number,
    isConfirmation: (answer: PollAnswer) => boolean,
  ): boolean {
    return table.quorums.every((quorum) => {
      const confirming = quorum.filter((witness) => {
        const answer = this.latestAnswers.get(witness);
        if (answer === undefined || monotonic >= answer.round.askedAt + answerValidityMilliseconds)
          return false;
        return isConfirmation(answer);
      });
      return confirming.length >= majorityOf(quorum);
    });
  }
}
