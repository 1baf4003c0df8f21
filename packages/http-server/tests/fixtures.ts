import { createMemoryAccount } from '@peridotspring/mesh-core/fixtures';

import { DeferredInput } from '../src/index.js';
import type { SharedServerOptions } from '../src/index.js';

/** Options of an HTTP server at any free port of the loopback address, with memory for all that a test sends. */
export function createLoopbackOptions(memoryBytes?: number): SharedServerOptions {
  return {
    bindHost: '127.0.0.1',
    bindPort: 0,
    clock: () => performance.now(),
    deferredInput: new DeferredInput(),
    memory: createMemoryAccount(memoryBytes),
    onClientFault: () => undefined,
  };
}
