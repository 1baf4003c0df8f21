import { ConfigurationProof, isSameZone, ProofExchange } from '@peridotspring/mesh-core';
import type { MeshNode, ProofAnswer } from '@peridotspring/mesh-core';
import type { MeshConnections } from '@peridotspring/nodes';

import { MeshEvent } from './mesh-event.js';

/** Versions of the configuration that this node knows of. */
export interface KnownVersions {
  readonly inForce: number;
  /** The newest that a peer announced; at least the one in force. */
  readonly newest: number;
  /** The one that the store held when it was last read; undefined if none was read or it is invalid. */
  readonly inStore: number | undefined;
}

export interface KeyProofSynchronizerOptions {
  readonly self: MeshNode;
  /** Time for which a key may be used after its removal was confirmed; undefined if that is not enforced. */
  readonly revocationMilliseconds: number | undefined;
  /** Clock of a `LeaseClock`. */
  readonly leaseClock: () => number;
  readonly versions: () => KnownVersions;
  readonly connections: () => Pick<MeshConnections, 'send'>;
  readonly isWatching: () => boolean;
  readonly reachesStore: () => boolean;
  /** Reads the configuration from the store, up to date; a pending watch is started anew. */
  readonly readStore: () => void;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Keeps the proof up to date that the keys of the configuration in force may be acted on, by the store and by peers. */
export class KeyProofSynchronizer {
  private readonly peers = new Map<string, MeshNode>();
  private readonly startedAt: number;
  /** Undefined while removals of keys need not take effect within a bound. */
  private held:
    { readonly exchange: ProofExchange; readonly proof: ConfigurationProof } | undefined;
  private wasValid = false;

  public constructor(private readonly options: KeyProofSynchronizerOptions) {
    this.startedAt = options.leaseClock();
    this.configure(options.revocationMilliseconds);
  }

  /** Applies a changed bound. A proof that is held counts for the earlier bound only. */
  public configure(revocationMilliseconds: number | undefined): void {
    if (revocationMilliseconds === this.held?.proof.boundMilliseconds) return;
    if (revocationMilliseconds === undefined) {
      this.held = undefined;
      return;
    }
    const proof = new ConfigurationProof(revocationMilliseconds);
    const { leaseClock, self } = this.options;
    // Far fewer questions than one a millisecond are sent, so no number repeats, also after a restart.
    const firstNumber = self.boot + Math.round(leaseClock() - this.startedAt);
    const exchange = new ProofExchange(self.name, firstNumber, proof);
    this.held = { exchange, proof };
    this.wasValid = false;
    for (const peer of this.peers.values()) this.addToExchange(peer);
  }

  /** Time for which the keys of the configuration in force may be acted on; infinite without a bound. */
  public get validMilliseconds(): number {
    return this.held?.proof.remainingMilliseconds(this.options.leaseClock()) ?? Infinity;
  }

  /** Time since the proof; since the start without one, and 0 without a bound. */
  public get ageMilliseconds(): number {
    if (this.held === undefined) return 0;
    const now = this.options.leaseClock();
    return Math.min(this.held.proof.ageMilliseconds(now), now - this.startedAt);
  }

  /** Whether an up-to-date call to the store would renew a proof that is no longer fresh. */
  public get isRenewalUseful(): boolean {
    return this.held?.exchange.isRenewalUseful(this.options.leaseClock()) ?? false;
  }

  public onConnected(node: MeshNode): void {
    this.peers.set(node.name, node);
    this.addToExchange(node);
  }

  public onDisconnected(name: string): void {
    this.peers.delete(name);
    this.held?.exchange.removeNode(name);
  }

  /** The store has shown what it holds in answer to a call that was sent at this time. Returns whether that is a proof. */
  public onStoreRead(sentAt: number): boolean {
    const { inForce, inStore, newest } = this.options.versions();
    if (this.held === undefined || inStore === undefined || newest > inForce) return false;
    const isNewer = this.held.proof.offer({ provenAt: sentAt, version: inStore }, inForce);
    this.updateValidity();
    return isNewer;
  }

  /** A peer has got a proof from the store. */
  public onAnnounced(node: string): void {
    this.held?.exchange.onAnnounced(node, this.options.leaseClock());
  }

  public onRequested(node: string, number: number): void {
    if (this.held === undefined) return;
    const now = this.options.leaseClock();
    if (!this.held.proof.isValid(now)) return;
    this.options.connections().send(node, {
      ageMilliseconds: this.held.proof.ageMilliseconds(now),
      kind: 'proof',
      number,
      // The proof may be of an older version. Then it holds for this one too, and a node that lacks this one must not use it.
      version: this.options.versions().inForce,
    });
  }

  public onAnswer(node: string, answer: ProofAnswer): void {
    const { inForce, newest } = this.options.versions();
    if (newest > inForce) return;
    this.held?.exchange.onAnswer(node, answer, inForce);
    this.updateValidity();
  }

  public tick(): void {
    if (this.held === undefined) return;
    const { connections, isWatching, leaseClock, reachesStore, readStore } = this.options;
    const now = leaseClock();
    this.updateValidity();
    const { exchange } = this.held;
    const ask = exchange.takeDueAsk(now);
    if (ask !== undefined)
      connections().send(ask.node, { kind: 'proof-request', number: ask.number });
    if (reachesStore() && exchange.takeDueRead(isWatching(), now)) readStore();
  }

  private addToExchange(node: MeshNode): void {
    const { leaseClock, self } = this.options;
    this.held?.exchange.addNode(node.name, isSameZone(node, self), leaseClock());
  }

  private updateValidity(): void {
    if (this.held === undefined) return;
    const { leaseClock, log, versions } = this.options;
    const now = leaseClock();
    const isValid = this.held.proof.isValid(now);
    if (isValid === this.wasValid) return;
    this.wasValid = isValid;
    const event = isValid ? MeshEvent.KeyProofRegained : MeshEvent.KeyProofExpired;
    log(event, { milliseconds: Math.round(this.ageMilliseconds), version: versions().inForce });
  }
}
