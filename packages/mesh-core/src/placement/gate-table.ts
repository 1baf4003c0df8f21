import { ServerState } from '../messages/mesh-frames.js';
import type { GateLoad, MeshNode } from '../messages/mesh-frames.js';

/** What this node knows about one gate. */
export interface GateView {
  readonly node: MeshNode;
  load: GateLoad;
  loadReceivedAt: number;
  /** Number of requests that this node has sent since the last load report, which does not include them. */
  unreportedRequests: number;
  isConnected: boolean;
  /** Whether the connection to it may have gone silent. */
  isSuspected: boolean;
}

/** The gates of all services that this node is or was connected to, with the last reported load of each. */
export class GateTable {
  private readonly views = new Map<string, GateView>();
  private evacuatedZones: ReadonlySet<string> = new Set();

  public onConnected(node: MeshNode, load: GateLoad, now: number): void {
    this.views.set(node.name, {
      isConnected: true,
      isSuspected: false,
      load,
      loadReceivedAt: now,
      node,
      unreportedRequests: 0,
    });
  }

  public onDisconnected(name: string): void {
    const view = this.views.get(name);
    if (view !== undefined) view.isConnected = false;
  }

  /** Records whether the connection to a gate may have gone silent. */
  public setSuspected(name: string, isSuspected: boolean): void {
    const view = this.views.get(name);
    if (view !== undefined) view.isSuspected = isSuspected;
  }

  public remove(name: string): void {
    this.views.delete(name);
  }

  /** Records the load of a gate and returns its view; undefined if the gate is not known. */
  public onLoadReported(name: string, load: GateLoad, now: number): GateView | undefined {
    const view = this.views.get(name);
    if (view === undefined) return undefined;
    view.load = load;
    view.loadReceivedAt = now;
    view.unreportedRequests = 0;
    return view;
  }

  public onRequestSent(name: string): void {
    const view = this.views.get(name);
    if (view !== undefined) view.unreportedRequests += 1;
  }

  public get(name: string): GateView | undefined {
    return this.views.get(name);
  }

  /** Sets the availability zones whose servers get no requests. */
  public setEvacuatedZones(availabilityZones: readonly string[]): void {
    this.evacuatedZones = new Set(availabilityZones);
  }

  /** Age in milliseconds of the newest load report of each service. */
  public loadAges(now: number): ReadonlyMap<string, number> {
    const ages = new Map<string, number>();
    for (const { loadReceivedAt: loadAt, node } of this.views.values()) {
      ages.set(node.service, Math.min(ages.get(node.service) ?? Infinity, now - loadAt));
    }
    return ages;
  }

  /**
   * The gates of a service that are connected, whose server is ready, and whose zone is not evacuated; with regions, only
   * those in one of them. Gates whose connection may have gone silent are included only if there are no others.
   */
  public *readyGates(service: string, regions?: readonly string[]): Generator<GateView> {
    const suspectedGates: GateView[] = [];
    let hasOthers = false;
    for (const view of this.views.values()) {
      if (!this.isReady(view, service, regions)) continue;
      if (view.isSuspected) {
        suspectedGates.push(view);
        continue;
      }
      hasOthers = true;
      yield view;
    }
    if (!hasOthers) yield* suspectedGates;
  }

  private isReady(
    { isConnected, load, node }: GateView,
    service: string,
    regions: readonly string[] | undefined,
  ): boolean {
    return (
      node.service === service &&
      isConnected &&
      load.state === ServerState.Ready &&
      !this.evacuatedZones.has(node.availabilityZone) &&
      regions?.includes(node.region) !== false
    );
  }
}
