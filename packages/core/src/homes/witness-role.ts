import type { HomeConfirmFrame, HomeLeaseQuestionFrame } from '../messages/frames.js';
import type { StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { HomeParts } from './service-homes.js';
import type { AdoptTable } from './table-maintenance.js';
import { homeTableKey } from './table-proposer.js';
import { parseTable } from './table-view.js';
import { Witness } from './witness.js';

/**
 * A node's role as a witness for services, its own or others: answers homes and reads home tables
 * from the store.
 */
export class WitnessRole {
  private readonly witness: Witness;
  /** Services whose table is being read from the store, by operation. */
  private readonly reads = new Map<number, string>();

  public constructor(
    private readonly parts: HomeParts,
    private readonly adopt: AdoptTable,
  ) {
    this.witness = new Witness(parts.settings);
  }

  public tick(now: ClockReading): void {
    this.witness.recordStart(now.monotonic);
  }

  /** Answers a home that requests or renews its lease. */
  public confirm(from: string, frame: HomeConfirmFrame, now: ClockReading): void {
    const { outbox, tables } = this.parts;
    if (frame.table !== undefined) this.adopt(frame.table, now);
    // A home that missed a table would keep renewing promises that prevent its witnesses from
    // accepting that table.
    const known = tables.get(frame.service);
    if (known !== undefined && known.version > frame.version) {
      outbox.send(from, { kind: 'home-table', service: frame.service, table: known });
    }
    const answer = this.witness.confirm(from, frame, now.monotonic);
    if (answer.kind === 'answer') {
      outbox.send(from, answer.frame);
      return;
    }
    if ([...this.reads.values()].includes(frame.service)) return;
    const operationId = outbox.store({ key: homeTableKey(frame.service), kind: 'read' });
    this.reads.set(operationId, frame.service);
  }

  /** Answers a server that asks which homes hold a valid promise. */
  public onLeaseQuestion(from: string, frame: HomeLeaseQuestionFrame, now: ClockReading): void {
    const { homes, round, service } = frame;
    const bound = this.witness.promisedHomes(service, homes, now.monotonic);
    this.parts.outbox.send(from, { bound, kind: 'home-lease-answer', round, service });
  }

  /**
   * Handles the result of a store operation. Returns false if it belongs to no read of this role.
   */
  public onStoreResult(operationId: number, result: StoreResult, now: ClockReading): boolean {
    const service = this.reads.get(operationId);
    if (service === undefined) return false;
    this.reads.delete(operationId);
    if (result.kind === 'missing') this.witness.onTableRead(service, 0);
    if (result.kind !== 'found') return true;
    const table = parseTable(result.entry.value);
    if (table === undefined) return true;
    this.adopt(table, now);
    this.witness.onTableRead(service, table.version);
    return true;
  }
}
