import type { MemoryPlace } from './memory-place.js';

/** What a hold needs of its account. */
export interface HoldOwner {
  tryResize(hold: MemoryHold, bytes: number, now: number): boolean;
  resize(hold: MemoryHold, bytes: number): void;
  release(hold: MemoryHold): void;
}

export interface MemoryHoldOptions {
  readonly place: MemoryPlace;
  /** Ends what holds the bytes, and must release the hold. Undefined if it can't be ended early. */
  readonly end?: (() => void) | undefined;
  /** The buffer that is held, if others may hold it too. */
  readonly buffer?: Uint8Array | undefined;
}

/** Bytes that one place holds. They are given back exactly once, however often the hold is released. */
export class MemoryHold {
  private isReleased = false;

  public constructor(
    private readonly owner: HoldOwner,
    public options: MemoryHoldOptions,
    public bytes: number,
    /** Time at which the other side last sent or read something. */
    public progressedAt: number,
  ) {}

  /** Changes the size of the hold. Returns false, and changes nothing, if there is no room or the hold has been released. */
  public tryResize(bytes: number, now: number): boolean {
    return !this.isReleased && this.owner.tryResize(this, bytes, now);
  }

  /** Changes the size of the hold whether or not there is room, for what can't be refused. */
  public resize(bytes: number): void {
    if (!this.isReleased) this.owner.resize(this, bytes);
  }

  public release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.owner.release(this);
    // Whoever keeps the hold for longer must not keep the buffer.
    this.options = { place: this.options.place };
  }
}
