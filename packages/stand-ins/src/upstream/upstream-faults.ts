import { z } from 'zod';

const factor = z.number().positive().max(10_000);

/** Faults of the upstream stand-in, as accepted by its control endpoint. */
export const upstreamFaultsSchema = z.strictObject({
  /** Nothing is answered, the health and load endpoints included, until this is false again. */
  freeze: z.boolean(),
  /** Requests are answered with 500 at once, without running. */
  failFast: z.boolean(),
  /** Requests run, and then their connection is closed without an answer. */
  closeWithoutAnswer: z.boolean(),
  /** The connection is closed after half of the answer's body. */
  cutBody: z.boolean(),
  /** The listening port is closed. */
  refuseConnections: z.boolean(),
  /** Every service time is multiplied by this. */
  slowFactor: factor,
  /** From now on, service times are longer by this factor at first, falling to 1. */
  coldStart: z.strictObject({
    factor: factor.min(1),
    milliseconds: z.number().min(0).max(600_000),
  }),
  /** What the load endpoint tells. */
  load: z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('honest') }),
    z.strictObject({ kind: z.literal('lying'), inFlight: z.number().int().min(0) }),
    z.strictObject({ kind: z.literal('lagging'), milliseconds: z.number().min(0).max(600_000) }),
  ]),
  /** What the health endpoint tells. */
  health: z.enum(['honest', 'always-healthy', 'always-unhealthy']),
});

/** Faults in force at an upstream stand-in. */
export type UpstreamFaults = Readonly<z.infer<typeof upstreamFaultsSchema>>;

/** An upstream that works. */
export const noUpstreamFaults: UpstreamFaults = {
  closeWithoutAnswer: false,
  coldStart: { factor: 1, milliseconds: 0 },
  cutBody: false,
  failFast: false,
  freeze: false,
  health: 'honest',
  load: { kind: 'honest' },
  refuseConnections: false,
  slowFactor: 1,
};
