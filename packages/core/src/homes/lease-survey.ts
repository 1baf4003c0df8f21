import type { HomeLeaseAnswerFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { HomeOutbox } from './home-outbox.js';
import { majorityOf, witnessesOf } from './table-view.js';

/** Time between two rounds of questions; a takeover waits up to this long after the lease has lapsed. */
const roundMilliseconds = 250;
/** Answers count for this long after their question, so that a slow read of the table fits in. */
const answerMilliseconds = 2_000;

interface SurveyRound {
  readonly number: number;
  readonly askedAt: number;
  readonly homes: readonly string[];
}

interface WitnessWord {
  readonly round: SurveyRound;
  /** Those of the round's homes to which the witness has promised the lease. */
  readonly bound: readonly string[];
}

/**
 * Asks the witnesses before homes are replaced. A node that is cut off from them would write tables
 * that can't come into force and take their ranges from the homes that serve them. Only the witnesses
 * can tell a zone that failed from a zone that this node alone can't reach.
 */
export class LeaseSurvey {
  private rounds: readonly SurveyRound[] = [];
  private lastNumber = 0;
  private readonly words = new Map<string, WitnessWord>();

  public constructor(
    private readonly service: string,
    private readonly outbox: HomeOutbox,
  ) {}

  /** Asks the witnesses of the table which of these homes hold a promise, unless just asked. */
  public ask(homes: readonly string[], table: HomeTable, monotonic: number): void {
    const last = this.rounds.at(-1);
    const isCurrent =
      last !== undefined &&
      monotonic < last.askedAt + roundMilliseconds &&
      homes.every((home) => last.homes.includes(home));
    if (isCurrent) return;
    this.lastNumber += 1;
    const round = { askedAt: monotonic, homes, number: this.lastNumber };
    const isFresh = ({ askedAt }: SurveyRound): boolean => monotonic < askedAt + answerMilliseconds;
    this.rounds = [...this.rounds.filter(isFresh), round];
    const { service } = this;
    const kind = 'home-lease-question';
    for (const witness of witnessesOf(table)) {
      this.outbox.send(witness, { homes, kind, round: round.number, service });
    }
  }

  public answered(witness: string, { bound, round: number }: HomeLeaseAnswerFrame): void {
    const round = this.rounds.find((asked) => asked.number === number);
    const known = this.words.get(witness);
    if (round === undefined || (known !== undefined && known.round.number > number)) return;
    this.words.set(witness, { bound, round });
  }

  /** Whether a majority of every quorum answers this node, so that a new table can come into force. */
  public isMajorityReachable(table: HomeTable, monotonic: number): boolean {
    return this.isSaidByMajority(table, monotonic, () => true);
  }

  /** Whether a majority of every quorum has just said that it has no promise to this home. */
  public hasLapsed(home: string, table: HomeTable, monotonic: number): boolean {
    if (table.quorums.length === 0) return false;
    return this.isSaidByMajority(
      table,
      monotonic,
      ({ bound, round }) => round.homes.includes(home) && !bound.includes(home),
    );
  }

  private isSaidByMajority(
    table: HomeTable,
    monotonic: number,
    isSaid: (word: WitnessWord) => boolean,
  ): boolean {
    return table.quorums.every((quorum) => {
      const saying = quorum.filter((witness) => {
        const word = this.words.get(witness);
        if (word === undefined || monotonic >= word.round.askedAt + answerMilliseconds)
          return false;
        return isSaid(word);
      });
      return saying.length >= majorityOf(quorum);
    });
  }
}
