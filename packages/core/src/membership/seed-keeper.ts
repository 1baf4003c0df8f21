import { BackOff } from '../shared/back-off.js';
import { shuffled } from '../shared/random-source.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import type { MembershipLinks } from './membership-links.js';
import {
  decodeSeeds,
  decodeZones,
  encodeSeeds,
  encodeZones,
  seedsKey,
  zonesKey,
  type Seed,
} from './seed-layout.js';

/** Time for seeds to answer before a node takes itself for the first of its zone. */
const seedAnswerMilliseconds = 3_000;
/** Seeds are written once the bridges have not changed for this long, by the second bridge later. */
const settleMilliseconds = 2_000;
/** How often bridges look for zones: while one is known by name only or there is no other, else rarely. */
const firstZoneIntervalMilliseconds = 2_000;
const longestZoneIntervalMilliseconds = 30_000;
const settledZoneIntervalMilliseconds = 300_000;

/** What the seeds lead to. */
export interface SeedActions {
  readonly contact: (seed: Seed, asksForMembers: boolean) => void;
  /** The node knows as much of its zone as the seeds can tell. */
  readonly settled: () => void;
}

/** Finds the first members through the store and keeps the seeds of the own zone there. */
export class SeedKeeper {
  private readonly backOff: BackOff;
  private readonly zoneBackOff: BackOff;
  private written = '';
  private wanted = '';
  private wantedSince = 0;
  private isBusy = false;
  private nextZoneReadAt = 0;

  public constructor(
    private readonly links: MembershipLinks,
    private readonly requests: StoreRequests,
    private readonly timers: Timers,
    private readonly actions: SeedActions,
  ) {
    this.backOff = new BackOff(links.random, 500, 10_000);
    this.zoneBackOff = new BackOff(
      links.random,
      firstZoneIntervalMilliseconds,
      longestZoneIntervalMilliseconds,
    );
  }

  /** Reads the seeds of the own zone; tries again until the store answers. */
  public start(now: ClockReading): void {
    const key = seedsKey(this.links.ownZone().name);
    this.requests.start({ kind: 'read', key }, now, (result, later) => {
      if (result.kind === 'unknown') {
        this.timers.after(later, this.backOff.next(), (time) => {
          this.start(time);
        });
        return;
      }
      const seeds = result.kind === 'found' ? decodeSeeds(result.entry.value) : [];
      if (this.contactUnknown(seeds) === 0) this.actions.settled();
      else
        this.timers.after(later, seedAnswerMilliseconds, () => {
          this.actions.settled();
        });
    });
  }

  /** Writes the seeds and looks for other zones, on bridges only. */
  public tick(isBridge: boolean, now: ClockReading): void {
    if (!isBridge) {
      this.wanted = '';
      this.written = '';
      return;
    }
    this.updateWanted(now);
    const ranked = this.links.ownZone().rankedMembers();
    const delay = settleMilliseconds * (1 + 2 * ranked.indexOf(this.links.self()));
    if (!this.isBusy && this.wanted !== this.written && now.monotonic - this.wantedSince >= delay) {
      this.isBusy = true;
      this.compareSeeds(now);
    }
    if (now.monotonic >= this.nextZoneReadAt) {
      this.nextZoneReadAt = now.monotonic + this.zoneBackOff.next();
      this.readZones(now);
    }
  }

  private updateWanted(now: ClockReading): void {
    const seeds = this.links
      .ownZone()
      .rankedMembers()
      .map(({ record }) => {
        return { server: record.server, address: record.peerAddress };
      });
    const text = encodeSeeds(seeds);
    if (text === this.wanted) return;
    this.wanted = text;
    this.wantedSince = now.monotonic;
  }

  private compareSeeds(now: ClockReading): void {
    const text = this.wanted;
    const key = seedsKey(this.links.ownZone().name);
    this.requests.start({ kind: 'read', key }, now, (result, later) => {
      if (result.kind === 'found' && result.entry.value === text) {
        this.finishWrite(text);
      } else if (result.kind === 'found') {
        // Seeds that this node does not know may belong to another part of the same zone.
        this.contactUnknown(decodeSeeds(result.entry.value));
        this.writeSeeds(text, result.entry.version, later);
      } else if (result.kind === 'missing') {
        this.writeSeeds(text, 0, later);
      } else {
        this.releaseLater(later);
      }
    });
  }

  private writeSeeds(value: string, expectedVersion: number, now: ClockReading): void {
    const key = seedsKey(this.links.ownZone().name);
    const operation = { kind: 'compare-and-swap', key, expectedVersion, value } as const;
    this.requests.start(operation, now, (result, later) => {
      if (result.kind === 'written') {
        this.finishWrite(value);
        return;
      }
      if (result.kind === 'conflict' && result.entry !== undefined) {
        this.contactUnknown(decodeSeeds(result.entry.value));
      }
      this.releaseLater(later);
    });
  }

  private finishWrite(text: string): void {
    this.written = text;
    this.isBusy = false;
    this.backOff.reset();
  }

  private releaseLater(now: ClockReading): void {
    this.timers.after(now, this.backOff.next(), () => {
      this.isBusy = false;
    });
  }

  private readZones(now: ClockReading): void {
    this.requests.start({ kind: 'read', key: zonesKey }, now, (result, later) => {
      if (result.kind !== 'found' && result.kind !== 'missing') return;
      const zones = result.kind === 'found' ? decodeZones(result.entry.value) : [];
      const own = this.links.ownZone().name;
      if (!zones.includes(own)) {
        const expectedVersion = result.kind === 'found' ? result.entry.version : 0;
        this.addZone([...zones, own].sort(), expectedVersion, later);
        return;
      }
      const missing = zones.filter((zone) => (this.links.table.zone(zone)?.live.length ?? 0) === 0);
      for (const zone of missing) {
        this.readSeedsOf(zone, later);
      }
      const isSettled = missing.length === 0 && zones.length > 1;
      if (!isSettled) return;
      this.zoneBackOff.reset();
      const jitter = 0.75 + 0.5 * this.links.random.next();
      this.nextZoneReadAt = later.monotonic + settledZoneIntervalMilliseconds * jitter;
    });
  }

  private addZone(zones: readonly string[], expectedVersion: number, now: ClockReading): void {
    const value = encodeZones(zones);
    const operation = { kind: 'compare-and-swap', key: zonesKey, expectedVersion, value } as const;
    this.requests.start(operation, now, (_, later) => {
      // Read again in any case: the list may hold zones that this node must contact.
      this.nextZoneReadAt = later.monotonic + settleMilliseconds * this.links.random.next();
    });
  }

  private readSeedsOf(zone: string, now: ClockReading): void {
    this.requests.start({ kind: 'read', key: seedsKey(zone) }, now, (result) => {
      if (result.kind === 'found') this.contactUnknown(decodeSeeds(result.entry.value).slice(0, 2));
    });
  }

  /** Contacts the seeds that are no members yet and returns their number. */
  private contactUnknown(seeds: readonly Seed[]): number {
    const own = this.links.self().record.server;
    const unknown = seeds.filter(
      ({ server }) => server !== own && (this.links.table.get(server)?.position ?? -1) < 0,
    );
    for (const [index, seed] of shuffled(this.links.random, unknown).entries()) {
      // One of them sends what it knows; six would send the same records to each node that starts.
      this.actions.contact(seed, index === 0);
    }
    return unknown.length;
  }
}
