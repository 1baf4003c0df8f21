import { BackOff } from '../shared/back-off.js';
import { shuffled } from '../shared/random-source.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import type { MembershipContext } from './membership-context.js';
import {
  decodeSeeds,
  decodeZones,
  encodeSeeds,
  encodeZones,
  seedsKey,
  zonesKey,
  type Seed,
} from './seed-encoding.js';

/** Time to wait for a response of the seeds before a node assumes that it is the first of its zone. */
const seedResponseMilliseconds = 3_000;
/**
 * Time for which the seeds must be unchanged before the first bridge writes them; the second waits
 * longer.
 */
const settleDelayMilliseconds = 2_000;
/**
 * Intervals at which bridges read the list of zones: the initial and the maximum interval of the
 * back-off while there is only one zone or no live member of a listed zone is known, and the interval
 * once all zones are known.
 */
const initialZoneReadIntervalMilliseconds = 2_000;
const maximumZoneReadIntervalMilliseconds = 30_000;
const steadyZoneReadIntervalMilliseconds = 300_000;

/** Callbacks of {@link SeedDiscovery}. */
export interface SeedDiscoveryCallbacks {
  /** Sends the own record to a seed and, if `shouldSync`, starts anti-entropy with it. */
  readonly contact: (seed: Seed, shouldSync: boolean) => void;
  /** The seeds of the own zone have had time to respond, or there are none to contact. */
  readonly onFinished: () => void;
}

/**
 * Finds the first members through the store and, on bridges, keeps the own zone's seeds there
 * current.
 */
export class SeedDiscovery {
  private readonly seedBackOff: BackOff;
  private readonly zoneBackOff: BackOff;
  private writtenSeeds = '';
  /** Encoded text of the seeds that the store should hold. */
  private desiredSeeds = '';
  private desiredSince = 0;
  private isUpdatingSeeds = false;
  private nextZoneReadAt = 0;

  public constructor(
    private readonly context: MembershipContext,
    private readonly storeRequests: StoreRequests,
    private readonly timers: Timers,
    private readonly callbacks: SeedDiscoveryCallbacks,
  ) {
    this.seedBackOff = new BackOff(context.random, 500, 10_000);
    this.zoneBackOff = new BackOff(
      context.random,
      initialZoneReadIntervalMilliseconds,
      maximumZoneReadIntervalMilliseconds,
    );
  }

  /** Reads the seeds of the own zone and contacts them; retries until the store responds. */
  public start(now: ClockReading): void {
    const key = seedsKey(this.context.ownZone().name);
    this.storeRequests.start({ kind: 'read', key }, now, (result, completedAt) => {
      if (result.kind === 'unknown') {
        this.timers.schedule(completedAt, this.seedBackOff.nextDelay(), (time) => {
          this.start(time);
        });
        return;
      }
      const seeds = result.kind === 'found' ? decodeSeeds(result.entry.value) : [];
      if (this.contactUnknownSeeds(seeds) === 0) this.callbacks.onFinished();
      else
        this.timers.schedule(completedAt, seedResponseMilliseconds, () => {
          this.callbacks.onFinished();
        });
    });
  }

  /** Updates the stored seeds and looks for other zones; does nothing on nodes that are not bridges. */
  public tick(isBridge: boolean, now: ClockReading): void {
    if (!isBridge) {
      this.desiredSeeds = '';
      this.writtenSeeds = '';
      return;
    }
    this.updateDesiredSeeds(now);
    const ranked = this.context.ownZone().rankedMembers();
    const delay = settleDelayMilliseconds * (1 + 2 * ranked.indexOf(this.context.self()));
    if (
      !this.isUpdatingSeeds &&
      this.desiredSeeds !== this.writtenSeeds &&
      now.monotonic - this.desiredSince >= delay
    ) {
      this.isUpdatingSeeds = true;
      this.updateStoredSeeds(now);
    }
    if (now.monotonic >= this.nextZoneReadAt) {
      this.nextZoneReadAt = now.monotonic + this.zoneBackOff.nextDelay();
      this.readZones(now);
    }
  }

  private updateDesiredSeeds(now: ClockReading): void {
    const seeds = this.context
      .ownZone()
      .rankedMembers()
      .map(({ record }) => {
        return { server: record.server, address: record.peerAddress };
      });
    const encodedSeeds = encodeSeeds(seeds);
    if (encodedSeeds === this.desiredSeeds) return;
    this.desiredSeeds = encodedSeeds;
    this.desiredSince = now.monotonic;
  }

  private updateStoredSeeds(now: ClockReading): void {
    const encodedSeeds = this.desiredSeeds;
    const key = seedsKey(this.context.ownZone().name);
    this.storeRequests.start({ kind: 'read', key }, now, (result, completedAt) => {
      if (result.kind === 'found' && result.entry.value === encodedSeeds) {
        this.finishWrite(encodedSeeds);
      } else if (result.kind === 'found') {
        // Unknown seeds may belong to a separate partition of the same zone.
        this.contactUnknownSeeds(decodeSeeds(result.entry.value));
        this.writeSeeds(encodedSeeds, result.entry.version, completedAt);
      } else if (result.kind === 'missing') {
        this.writeSeeds(encodedSeeds, 0, completedAt);
      } else {
        this.allowRetryLater(completedAt);
      }
    });
  }

  private writeSeeds(value: string, expectedVersion: number, now: ClockReading): void {
    const key = seedsKey(this.context.ownZone().name);
    const operation = { kind: 'compare-and-swap', key, expectedVersion, value } as const;
    this.storeRequests.start(operation, now, (result, completedAt) => {
      if (result.kind === 'written') {
        this.finishWrite(value);
        return;
      }
      if (result.kind === 'conflict' && result.entry !== undefined) {
        this.contactUnknownSeeds(decodeSeeds(result.entry.value));
      }
      this.allowRetryLater(completedAt);
    });
  }

  private finishWrite(encodedSeeds: string): void {
    this.writtenSeeds = encodedSeeds;
    this.isUpdatingSeeds = false;
    this.seedBackOff.reset();
  }

  private allowRetryLater(now: ClockReading): void {
    this.timers.schedule(now, this.seedBackOff.nextDelay(), () => {
      this.isUpdatingSeeds = false;
    });
  }

  private readZones(now: ClockReading): void {
    this.storeRequests.start({ kind: 'read', key: zonesKey }, now, (result, completedAt) => {
      if (result.kind !== 'found' && result.kind !== 'missing') return;
      const zones = result.kind === 'found' ? decodeZones(result.entry.value) : [];
      const own = this.context.ownZone().name;
      if (!zones.includes(own)) {
        const expectedVersion = result.kind === 'found' ? result.entry.version : 0;
        this.addZone([...zones, own].sort(), expectedVersion, completedAt);
        return;
      }
      const missing = zones.filter(
        (zone) => (this.context.table.zone(zone)?.live.length ?? 0) === 0,
      );
      for (const zone of missing) {
        this.contactSeedsOf(zone, completedAt);
      }
      const areOtherZonesKnown = missing.length === 0 && zones.length > 1;
      if (!areOtherZonesKnown) return;
      this.zoneBackOff.reset();
      const jitterFactor = 0.75 + 0.5 * this.context.random.next();
      this.nextZoneReadAt =
        completedAt.monotonic + steadyZoneReadIntervalMilliseconds * jitterFactor;
    });
  }

  private addZone(zones: readonly string[], expectedVersion: number, now: ClockReading): void {
    const value = encodeZones(zones);
    const operation = { kind: 'compare-and-swap', key: zonesKey, expectedVersion, value } as const;
    this.storeRequests.start(operation, now, (_, completedAt) => {
      // Read again whatever the result: the list may contain zones that this node must contact.
      this.nextZoneReadAt =
        completedAt.monotonic + settleDelayMilliseconds * this.context.random.next();
    });
  }

  private contactSeedsOf(zone: string, now: ClockReading): void {
    this.storeRequests.start({ kind: 'read', key: seedsKey(zone) }, now, (result) => {
      if (result.kind === 'found')
        this.contactUnknownSeeds(decodeSeeds(result.entry.value).slice(0, 2));
    });
  }

  /** Contacts the seeds that are not live members yet and returns their number. */
  private contactUnknownSeeds(seeds: readonly Seed[]): number {
    const own = this.context.self().record.server;
    const unknown = seeds.filter(
      ({ server }) => server !== own && (this.context.table.get(server)?.position ?? -1) < 0,
    );
    for (const [index, seed] of shuffled(this.context.random, unknown).entries()) {
      // Only one seed is asked for its members; all six would send the same records to a starting node.
      this.callbacks.contact(seed, index === 0);
    }
    return unknown.length;
  }
}
