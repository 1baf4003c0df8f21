import type { StartFrame } from '../messages/mesh-frames.js';
import type { GateCall } from './gate-call-registry.js';

/** Ends the validity of the keys of requests at the gate; their entries say for how long they may be acted on. */
export class KeyLeases {
  /** @param leaseClock runs also while the machine is suspended, unlike the clock for deadlines. */
  public constructor(private readonly leaseClock: () => number) {}

  public begin(call: GateCall, { keyValidMilliseconds }: StartFrame): void {
    if (keyValidMilliseconds === undefined) return;
    call.keyValidUntil = this.leaseClock() + keyValidMilliseconds;
  }

  /** Whether the request may start, as far as its key is concerned. */
  public mayStart({ keyValidUntil }: GateCall): boolean {
    return keyValidUntil === Infinity || this.leaseClock() < keyValidUntil;
  }
}
