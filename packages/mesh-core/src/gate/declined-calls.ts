import type { MemoryAccount } from '../memory/memory-account.js';
import type { MemoryHold } from '../memory/memory-hold.js';
import { MemoryPlace } from '../memory/memory-place.js';
import type { DeclinedFrame } from '../messages/mesh-frames.js';

/** A frame that was sent before its connection was lost arrives within this time, or never. */
const retentionMilliseconds = 5_000;
/** Memory of a record, with its key. */
const recordBytes = 256;
/** Records are given up while the calls of the gate, records included, take more than this share of the account. */
const maximumShare = 0.4;

/** What the reply to a declined call said. */
export type Decline = Pick<DeclinedFrame, 'expectedMilliseconds' | 'reason'>;

interface DeclinedCall extends Decline {
  readonly expiresAt: number;
}

/**
 * The calls that a gate declined lately. A late frame of one of them must not start it, since the entry may have sent the request
 * to another gate. A record takes far less than a call, as there may be thousands in a second.
 */
export class DeclinedCalls {
  /** In the order in which they were declined. */
  private readonly byKey = new Map<string, DeclinedCall>();
  private readonly hold: MemoryHold;

  public constructor(private readonly memory: MemoryAccount) {
    this.hold = memory.open({ place: MemoryPlace.GateCall }, 0);
  }

  public find(key: string): Decline | undefined {
    return this.byKey.get(key);
  }

  public add(key: string, { expectedMilliseconds, reason }: Decline, now: number): void {
    for (const oldest of this.byKey.keys()) {
      if (this.memory.shareOf(MemoryPlace.GateCall) < maximumShare) break;
      this.remove(oldest);
    }
    this.byKey.set(key, { expectedMilliseconds, expiresAt: now + retentionMilliseconds, reason });
    this.updateHold();
  }

  public removeExpired(now: number): void {
    for (const [key, { expiresAt }] of this.byKey) {
      if (now <= expiresAt) break;
      this.remove(key);
    }
  }

  private remove(key: string): void {
    this.byKey.delete(key);
    this.updateHold();
  }

  private updateHold(): void {
    this.hold.resize(this.byKey.size * recordBytes);
  }
}
