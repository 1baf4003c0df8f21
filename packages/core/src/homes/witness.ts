import type { HomeConfirmFrame, HomePromiseFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { HomeSettings } from './home-settings.js';
import { takesRangeFrom } from './table-view.js';

interface WitnessedService {
  /** The newest home table that this witness has accepted; undefined until it accepts one. */
  accepted: HomeTable | undefined;
  /** Version of the table in the store when it was first read; no older table is accepted. */
  storedVersion: number | undefined;
  /** Monotonic time at which the promise to each home expires. */
  readonly promises: Map<string, number>;
}

/** The answer to a home, or `read-first` if the table has to be read from the store first. */
export type ConfirmResult =
  { readonly kind: 'answer'; readonly frame: HomePromiseFrame } | { readonly kind: 'read-first' };

/** The witness's side of leases: promises them to homes and accepts newer tables. */
export class Witness {
  private readonly services = new Map<string, WitnessedService>();
  private startedAt: number | undefined;

  public constructor(private readonly settings: HomeSettings) {}

  /**
   * Records the start of the process. A restarted witness has lost its promises, so it accepts nothing
   * until all of them must have expired.
   */
  public recordStart(monotonic: number): void {
    this.startedAt ??= monotonic;
  }

  /**
   * Records the version of the table that was read from the store after the start of the process.
   */
  public onTableRead(service: string, version: number): void {
    const witnessed = this.service(service);
    witnessed.storedVersion ??= version;
  }

  /** Answers a home that requests or renews its lease. */
  public confirm(from: string, frame: HomeConfirmFrame, monotonic: number): ConfirmResult {
    this.recordStart(monotonic);
    const witnessed = this.service(frame.service);
    if (witnessed.storedVersion === undefined) return { kind: 'read-first' };
    const isAccepted = this.accept(witnessed, from, frame, monotonic);
    if (isAccepted && !frame.released) {
      witnessed.promises.set(from, monotonic + this.settings.leaseMilliseconds);
    }
    const { accepted } = witnessed;
    const hasNewerTable = accepted !== undefined && accepted.version > frame.version;
    return {
      frame: {
        accepted: isAccepted,
        kind: 'home-promise',
        sequence: frame.sequence,
        service: frame.service,
        ...(hasNewerTable ? { table: accepted } : {}),
        version: isAccepted ? frame.version : (accepted?.version ?? 0),
      },
      kind: 'answer',
    };
  }

  /** Returns those of the homes that hold a valid promise. */
  public promisedHomes(service: string, homes: readonly string[], monotonic: number): string[] {
    const promises = this.services.get(service)?.promises;
    return homes.filter((home) => (promises?.get(home) ?? Number.NEGATIVE_INFINITY) > monotonic);
  }

  private accept(
    witnessed: WitnessedService,
    from: string,
    { released, table, version }: HomeConfirmFrame,
    monotonic: number,
  ): boolean {
    const startedAt = this.startedAt ?? monotonic;
    if (monotonic < startedAt + this.settings.leaseMilliseconds) return false;
    if (version < (witnessed.storedVersion ?? 0)) return false;
    const { accepted } = witnessed;
    if (accepted !== undefined && version < accepted.version) return false;
    if (accepted?.version === version) return true;
    // The home left the table out because this witness had accepted it; the refusal makes it send
    // it again.
    if (table === undefined) return false;
    const hasPromise = (server: string): boolean =>
      !(released && server === from) && (witnessed.promises.get(server) ?? 0) > monotonic;
    if (accepted !== undefined && takesRangeFrom(accepted, table, hasPromise)) return false;
    witnessed.accepted = table;
    this.pruneExpiredPromises(witnessed, monotonic);
    return true;
  }

  private pruneExpiredPromises(witnessed: WitnessedService, monotonic: number): void {
    for (const [server, until] of witnessed.promises) {
      if (until <= monotonic) witnessed.promises.delete(server);
    }
  }

  private service(name: string): WitnessedService {
    let witnessed = this.services.get(name);
    if (witnessed === undefined) {
      witnessed = { accepted: undefined, promises: new Map(), storedVersion: undefined };
      this.services.set(name, witnessed);
    }
    return witnessed;
  }
}
