import type { ClientFault, MemoryAccount } from '@peridotspring/mesh-core';
import { createMemoryAccount } from '@peridotspring/mesh-core/fixtures';

import { DeferredInput } from '../src/index.js';

export interface LoopbackOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  readonly clock: () => number;
  readonly deferredInput: DeferredInput;
  readonly memory: MemoryAccount;
  readonly onClientFault: (fault: ClientFault) => void;
}

/** Options of an HTTP server at any free port of the loopback address, with memory for all that a test sends. */
export function createLoopbackOptions(memoryBytes?: number): LoopbackOptions {
  return {
    bindHost: '127.0.0.1',
    bindPort: 0,
    clock: () => performance.now(),
    deferredInput: new DeferredInput(),
    memory: createMemoryAccount(memoryBytes),
    onClientFault: () => undefined,
  };
}
