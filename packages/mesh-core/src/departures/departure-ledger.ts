import type { EndedServer } from '../messages/mesh-frames.js';
import { BoundedMap } from '../shared/bounded-map.js';
import { isSameOrEarlier } from './same-or-earlier.js';

/** Whether an incarnation of the server beside the node may get requests. */
export const IncarnationStatus = {
  /** No record says that it left. */
  Present: 'present',
  /** It left, and its departure was confirmed or announced. */
  Departed: 'departed',
  /** An earlier process may have confirmed its departure: the store was not read since, or has lost records. */
  Unverified: 'unverified',
} as const;
export type IncarnationStatus = (typeof IncarnationStatus)[keyof typeof IncarnationStatus];

/** The departures of an instance that the store holds. */
export interface DepartureRecords {
  readonly departures: readonly EndedServer[];
  /** False if the store may have lost others, since it was restored from an older copy. */
  readonly isComplete: boolean;
}

/** Maximum number of instances that are remembered; those that are forgotten count as unverified. */
const maximumInstances = 64;

/**
 * Departures of servers, as read from the store and as announced to this process. Memory of processes does not outlast them,
 * so an incarnation counts as present only after the store was read in the lifetime of this process, or after the
 * server has proved that it is running.
 */
export class DepartureLedger {
  /** Departures announced to this process, by instance identifier. */
  private readonly announced = new BoundedMap<string, readonly EndedServer[]>(maximumInstances);
  /** What the store holds, by instance identifier. */
  private readonly read = new BoundedMap<string, DepartureRecords>(maximumInstances);
  /** Incarnations that have proved that they are running, by instance identifier. */
  private readonly proven = new BoundedMap<string, EndedServer>(maximumInstances);

  public statusOf(incarnation: EndedServer): IncarnationStatus {
    const { instanceId } = incarnation;
    const read = this.read.get(instanceId);
    if (this.isAnnounced(incarnation) || isCovered(incarnation, read?.departures))
      return IncarnationStatus.Departed;
    if (read?.isComplete === true) return IncarnationStatus.Present;
    const proven = this.proven.get(instanceId);
    const isProven = proven !== undefined && isSameOrEarlier(proven, incarnation);
    return isProven ? IncarnationStatus.Present : IncarnationStatus.Unverified;
  }

  /** Whether the departure was announced to this process. */
  public isAnnounced(incarnation: EndedServer): boolean {
    return isCovered(incarnation, this.announced.get(incarnation.instanceId));
  }

  /** The store was read in the lifetime of this process. */
  public onRecordsRead(instanceId: string, records: DepartureRecords): void {
    this.read.set(instanceId, records);
  }

  /** The server announced to this process that the incarnation drains or leaves. */
  public onAnnounced(departure: EndedServer): void {
    const { instanceId } = departure;
    const known = this.announced.get(instanceId) ?? [];
    if (known.some(({ startedAt }) => startedAt === departure.startedAt)) return;
    // Without its announcement, an instance must be read from the store again.
    const forgotten = this.announced.set(instanceId, [...known, departure]);
    if (forgotten === undefined) return;
    this.read.delete(forgotten);
    this.proven.delete(forgotten);
  }

  /** The incarnation sent a report after the start of this process. Those that the store may have lost ended before it. */
  public onPresenceProven(incarnation: EndedServer): void {
    this.proven.set(incarnation.instanceId, incarnation);
    for (const [instanceId, { isComplete }] of this.read)
      if (!isComplete) this.read.delete(instanceId);
  }
}

function isCovered(
  incarnation: EndedServer,
  departures: readonly EndedServer[] | undefined,
): boolean {
  return departures?.some((departure) => isSameOrEarlier(incarnation, departure)) === true;
}
