import { ServerState } from '../messages/mesh-frames.js';
import type { GateLoad, MeshNode } from '../messages/mesh-frames.js';

/** What this node knows of one gate. */
export interface GateView {
  readonly node: MeshNode;
  load: GateLoad;
  loadAt: number;
  /** Requests that this node has sent and that the load does not include yet. */
  unreported: number;
  isConnected: boolean;
}

/** The gates of all services that this node can reach, with the load that each last told. */
export class TargetBook {
  private readonly views = new Map<string, GateView>();

  public connected(node: MeshNode, load: GateLoad, now: number): void {
    this.views.set(node.name, { isConnected: true, load, loadAt: now, node, unreported: 0 });
  }

  public disconnected(name: string): void {
    const view = this.views.get(name);
    if (view !== undefined) view.isConnected = false;
  }

  public forget(name: string): void {
    this.views.delete(name);
  }

  public reported(name: string, load: GateLoad, now: number): void {
    const view = this.views.get(name);
    if (view === undefined) return;
    view.load = load;
    view.loadAt = now;
    view.unreported = 0;
  }

  public sent(name: string): void {
    const view = this.views.get(name);
    if (view !== undefined) view.unreported += 1;
  }

  public get(name: string): GateView | undefined {
    return this.views.get(name);
  }

  /** Age of the newest load of each service. */
  public loadAges(now: number): ReadonlyMap<string, number> {
    const ages = new Map<string, number>();
    for (const { loadAt, node } of this.views.values()) {
      ages.set(node.service, Math.min(ages.get(node.service) ?? Infinity, now - loadAt));
    }
    return ages;
  }

  /** Gates of a service that take requests. */
  public *ready(service: string): Generator<GateView> {
    for (const view of this.views.values()) {
      if (
        view.node.service === service &&
        view.isConnected &&
        view.load.state === ServerState.Ready
      ) {
        yield view;
      }
    }
  }
}
