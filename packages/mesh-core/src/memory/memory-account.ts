import { MemoryHold } from './memory-hold.js';
import type { HoldOwner, MemoryHoldOptions } from './memory-hold.js';
import { MemoryPlace } from './memory-place.js';

/** A request or an answer of at most this size is ordinary and may use all of the account. */
const ordinaryBytes = 1_048_576;
/** Share of the account that only ordinary requests and answers may use. */
const ordinaryShare = 0.1;
/**
 * Share of the account for several large requests and answers together. Their buffers wait for the collection of garbage when
 * they are released, which those of a single large request don't.
 */
const severalLargeShare = 0.6;
/** Share of the account from which on memory is short. */
const shortShare = 0.5;
/** What has made no progress for this long may be ended in favour of others; callers on a working link make some sooner. */
const stallMilliseconds = 1_000;
/** Interval between two searches for something to end, if the first was in vain: each looks at all holds. */
const searchIntervalMilliseconds = 50;

export interface MemoryAccountOptions {
  readonly limitBytes: number;
  /** A hold was ended in favour of others. */
  readonly onEnded: (place: MemoryPlace, bytes: number) => void;
  /** Bytes are held no more, and wait for the collection of garbage. */
  readonly onReleased: (bytes: number) => void;
  /** There was no room for bytes at a place. */
  readonly onRefused: (place: MemoryPlace, bytes: number) => void;
}

export interface SharedHoldOptions extends MemoryHoldOptions {
  readonly buffer: Uint8Array;
}

/**
 * Counts the bytes of others that a process holds, and decides who gets room. Nothing waits for room, so no two holders can
 * wait for each other: bytes are granted or refused at once. To make room, the account ends holds that have made no progress
 * for some time, first the one with the largest product of size and time.
 */
export class MemoryAccount implements HoldOwner {
  private totalBytes = 0;
  private readonly bytesByPlace = new Map<MemoryPlace, number>();
  private readonly endable = new Set<MemoryHold>();
  /** How many holds share a buffer, which counts once. */
  private readonly sharers = new Map<Uint8Array, { count: number; place: MemoryPlace }>();
  private nextSearchAt = -Infinity;

  public constructor(private readonly options: MemoryAccountOptions) {
    for (const place of Object.values(MemoryPlace)) this.bytesByPlace.set(place, 0);
  }

  public get heldBytes(): number {
    return this.totalBytes;
  }

  /** Whether so much is held that only what is needed for others to be served should be added. */
  public get isShort(): boolean {
    return this.totalBytes > shortShare * this.options.limitBytes;
  }

  /** Share of the account that a place holds. */
  public shareOf(place: MemoryPlace): number {
    return (this.bytesByPlace.get(place) ?? 0) / this.options.limitBytes;
  }

  /** Bytes that are held now, by place. */
  public get heldByPlace(): ReadonlyMap<MemoryPlace, number> {
    return this.bytesByPlace;
  }

  /** Opens a hold of no bytes. */
  public open(options: MemoryHoldOptions, now: number): MemoryHold {
    return this.register(new MemoryHold(this, options, 0, now));
  }

  /** Holds a buffer that may be shared with other holds; returns undefined if it has no room. */
  public tryShare(options: SharedHoldOptions, now: number): MemoryHold | undefined {
    const { buffer, place } = options;
    const isHeld = this.sharers.has(buffer);
    if (!isHeld && !this.hasRoom(buffer.length, buffer.length, now)) {
      this.options.onRefused(place, buffer.length);
      return undefined;
    }
    return this.share(options, now);
  }

  /** Holds a buffer whether or not there is room, for bytes that are moved here from another hold. */
  public share(options: SharedHoldOptions, now: number): MemoryHold {
    const { buffer, place } = options;
    const sharers = this.sharers.get(buffer) ?? { count: 0, place };
    if (sharers.count === 0) {
      this.sharers.set(buffer, sharers);
      this.add(place, buffer.length);
    }
    sharers.count += 1;
    return this.register(new MemoryHold(this, options, buffer.length, now));
  }

  /** Changes the size of a hold that shares no buffer. To be called by the hold. */
  public tryResize(hold: MemoryHold, bytes: number, now: number): boolean {
    const { place } = hold.options;
    const added = bytes - hold.bytes;
    if (added > 0 && !this.hasRoom(added, bytes, now)) {
      this.options.onRefused(place, bytes);
      return false;
    }
    this.resize(hold, bytes);
    return true;
  }

  /** Changes the size of a hold whether or not there is room. To be called by the hold. */
  public resize(hold: MemoryHold, bytes: number): void {
    this.add(hold.options.place, bytes - hold.bytes);
    hold.bytes = bytes;
  }

  /** Gives back what a hold has taken. To be called by the hold, once. */
  public release(hold: MemoryHold): void {
    const { buffer, place } = hold.options;
    this.endable.delete(hold);
    if (buffer === undefined) this.add(place, -hold.bytes);
    else this.endSharing(buffer);
  }

  private register(hold: MemoryHold): MemoryHold {
    if (hold.options.end !== undefined) this.endable.add(hold);
    return hold;
  }

  private endSharing(buffer: Uint8Array): void {
    const sharers = this.sharers.get(buffer);
    if (sharers === undefined) return;
    sharers.count -= 1;
    if (sharers.count > 0) return;
    this.sharers.delete(buffer);
    this.add(sharers.place, -buffer.length);
  }

  /** Whether `added` bytes have room for a request of `size` bytes in all, after others have been ended if necessary. */
  private hasRoom(added: number, size: number, now: number): boolean {
    const limit = this.limitFor(size, this.totalBytes + added - size);
    if (this.totalBytes + added <= limit) return true;
    if (size > limit) return false;
    this.endStalled(limit - added, now);
    return this.totalBytes + added <= limit;
  }

  /** Limit on the account for a request of a size, beside what others hold. */
  private limitFor(size: number, othersBytes: number): number {
    const { limitBytes } = this.options;
    if (size <= ordinaryBytes) return limitBytes;
    const isAlone = othersBytes <= limitBytes * ordinaryShare;
    return limitBytes * (isAlone ? 1 - ordinaryShare : severalLargeShare);
  }

  /** Ends stalled holds until the account holds at most `targetBytes`. */
  private endStalled(targetBytes: number, now: number): void {
    if (now < this.nextSearchAt) return;
    const stalled = [...this.endable].filter(
      ({ progressedAt }) => now - progressedAt >= stallMilliseconds,
    );
    const weight = ({ bytes, progressedAt }: MemoryHold): number => bytes * (now - progressedAt);
    stalled.sort((first, second) => weight(second) - weight(first));
    for (const hold of stalled) {
      if (this.totalBytes <= targetBytes) return;
      // One end may release several holds, as when a connection closes.
      if (!this.endable.delete(hold)) continue;
      this.options.onEnded(hold.options.place, hold.bytes);
      hold.options.end?.();
      hold.release();
    }
    if (this.totalBytes > targetBytes) this.nextSearchAt = now + searchIntervalMilliseconds;
  }

  private add(place: MemoryPlace, bytes: number): void {
    this.totalBytes += bytes;
    this.bytesByPlace.set(place, (this.bytesByPlace.get(place) ?? 0) + bytes);
    if (bytes < 0) this.options.onReleased(-bytes);
  }
}
