import type { HomeConfirmFrame, HomePromiseFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { HomeSettings } from './home-settings.js';
import { takesRangeFrom } from './table-view.js';

interface WitnessedService {
  /** Undefined until the table has been read from the store. */
  accepted: HomeTable | undefined;
  /** Version in the store when it was read; nothing older is accepted. */
  storedVersion: number | undefined;
  /** Monotonic end of the promise to each home. */
  readonly promises: Map<string, number>;
}

/** What a witness answers, or that it must read the table first. */
export type WitnessAnswer =
  { readonly kind: 'answer'; readonly frame: HomePromiseFrame } | { readonly kind: 'read-first' };

/** A witness's side of the leases: promises to homes and acceptance of newer tables. */
export class Witness {
  private readonly services = new Map<string, WitnessedService>();
  private startedAt: number | undefined;

  public constructor(private readonly settings: HomeSettings) {}

  /** Notes the start of the process, from which forgotten promises are counted. */
  public start(monotonic: number): void {
    this.startedAt ??= monotonic;
  }

  /** Takes over what the store held at some time after the start of the process. */
  public tableRead(service: string, version: number): void {
    const witnessed = this.service(service);
    witnessed.storedVersion ??= version;
  }

  /** Answers a home's request. */
  public confirm(from: string, frame: HomeConfirmFrame, monotonic: number): WitnessAnswer {
    this.start(monotonic);
    const witnessed = this.service(frame.service);
    if (witnessed.storedVersion === undefined) return { kind: 'read-first' };
    const isAccepted = this.accept(witnessed, from, frame, monotonic);
    if (isAccepted && !frame.released) {
      witnessed.promises.set(from, monotonic + this.settings.leaseMilliseconds);
    }
    const { accepted } = witnessed;
    const isNewer = accepted !== undefined && accepted.version > frame.version;
    return {
      frame: {
        accepted: isAccepted,
        kind: 'home-promise',
        sequence: frame.sequence,
        service: frame.service,
        ...(isNewer ? { table: accepted } : {}),
        version: isAccepted ? frame.version : (accepted?.version ?? 0),
      },
      kind: 'answer',
    };
  }

  /** Those of the homes to which a promise is valid. */
  public boundTo(service: string, homes: readonly string[], monotonic: number): string[] {
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
    // The home believes that this witness knows the table; the refusal makes it send the table again.
    if (table === undefined) return false;
    const isBound = (server: string): boolean =>
      !(released && server === from) && (witnessed.promises.get(server) ?? 0) > monotonic;
    if (accepted !== undefined && takesRangeFrom(accepted, table, isBound)) return false;
    witnessed.accepted = table;
    this.forgetEndedPromises(witnessed, monotonic);
    return true;
  }

  private forgetEndedPromises(witnessed: WitnessedService, monotonic: number): void {
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
