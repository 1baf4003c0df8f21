import type { HomeConfirmFrame, HomeLeaseQuestionFrame } from '../messages/frames.js';
import type { StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { HomeParts } from './service-homes.js';
import type { AdoptTable } from './table-maintenance.js';
import { homeTableKey } from './table-proposer.js';
import { parseTable } from './table-view.js';
import { Witness } from './witness.js';

/** What a node does as a witness of services, its own or others: answers homes, reads their tables. */
export class WitnessRole {
  private readonly witness: Witness;
  /** Services whose table is being read, by operation. */
  private readonly reads = new Map<number, string>();

  public constructor(
    private readonly parts: HomeParts,
    private readonly adopt: AdoptTable,
  ) {
    this.witness = new Witness(parts.settings);
  }

  public tick(now: ClockReading): void {
    this.witness.start(now.monotonic);
  }

  /** Answers a home that asks for its lease. */
  public confirm(from: string, frame: HomeConfirmFrame, now: ClockReading): void {
    const { outbox, tables } = this.parts;
    if (frame.table !== undefined) this.adopt(frame.table, now);
    // A home that missed a table would renew promises that keep its witnesses from accepting it.
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

  /** Answers a server that wants to know which homes hold a promise. */
  public surveyed(from: string, frame: HomeLeaseQuestionFrame, now: ClockReading): void {
    const { homes, round, service } = frame;
    const bound = this.witness.boundTo(service, homes, now.monotonic);
    this.parts.outbox.send(from, { bound, kind: 'home-lease-answer', round, service });
  }

  /** Takes a result; returns false when it belongs to no read of this role. */
  public storeResult(operationId: number, result: StoreResult, now: ClockReading): boolean {
    const service = this.reads.get(operationId);
    if (service === undefined) return false;
    this.reads.delete(operationId);
    if (result.kind === 'missing') this.witness.tableRead(service, 0);
    if (result.kind !== 'found') return true;
    const table = parseTable(result.entry.value);
    if (table === undefined) return true;
    this.adopt(table, now);
    this.witness.tableRead(service, table.version);
    return true;
  }
}
