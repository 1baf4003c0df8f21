import type { RecordRequest } from '@peridotspring/mesh-core';
import type { MeshConnections } from '@peridotspring/nodes';

import { isDepartureName, maximumRecordBytes } from './stored-departure.js';

/** The own write usually takes milliseconds; after this time, a peer is asked. */
const ownWriteMilliseconds = 400;
/** Time after which another peer is asked. */
const peerMilliseconds = 200;

export interface DepartureRelayOptions {
  readonly connections: () => Pick<MeshConnections, 'send'>;
  /** Version of the configuration in force, which is part of the frames. */
  readonly configurationVersion: () => number;
  /** Connected peers that reach the store. */
  readonly peersReachingStore: () => readonly string[];
  readonly reachesStore: () => boolean;
  readonly schedule: (action: () => void, milliseconds: number) => () => void;
  readonly writeDeparture: (name: string, value: Uint8Array) => Promise<boolean>;
}

/** Has departures recorded by peers that reach the store, while the store does not answer this node. */
export class DepartureRelay {
  /** What to do when a peer has recorded a departure, by the name of the record. */
  private readonly waiting = new Map<string, () => void>();

  public constructor(private readonly options: DepartureRelayOptions) {}

  /** Asks one peer after another until one has recorded the departure. Returns a function that ends this. */
  public request({ name, value }: RecordRequest, onRecorded: () => void): () => void {
    const { peersReachingStore, reachesStore, schedule } = this.options;
    const asked = new Set<string>();
    const askNext = (): void => {
      const peer = peersReachingStore().find((candidate) => !asked.has(candidate));
      if (peer === undefined) return;
      asked.add(peer);
      this.send(peer, { recordRequest: { name, value } });
      cancel = schedule(askNext, peerMilliseconds);
    };
    let cancel = schedule(askNext, reachesStore() ? ownWriteMilliseconds : 0);
    const end = (): void => {
      cancel();
      this.waiting.delete(name);
    };
    this.waiting.set(name, () => {
      end();
      onRecorded();
    });
    return end;
  }

  /** A peer that does not reach the store asks this node to record a departure. */
  public async onRequested(peer: string, request: unknown): Promise<void> {
    if (!isRecordRequest(request)) return;
    const { name, value } = request;
    if (await this.options.writeDeparture(name, value)) this.send(peer, { recordedName: name });
  }

  /** A peer has recorded a departure for this node. */
  public onRecorded(name: unknown): void {
    if (typeof name === 'string') this.waiting.get(name)?.();
  }

  /** The fields are part of a frame that nodes of older versions know, which ignore them. */
  private send(
    peer: string,
    fields: { readonly recordRequest: RecordRequest } | { readonly recordedName: string },
  ): void {
    const { configurationVersion, connections } = this.options;
    connections().send(peer, { kind: 'version', version: configurationVersion(), ...fields });
  }
}

function isRecordRequest(request: unknown): request is RecordRequest {
  if (typeof request !== 'object' || request === null) return false;
  const { name, value } = request as Readonly<Record<string, unknown>>;
  return (
    typeof name === 'string' &&
    isDepartureName(name) &&
    value instanceof Uint8Array &&
    value.length <= maximumRecordBytes
  );
}
