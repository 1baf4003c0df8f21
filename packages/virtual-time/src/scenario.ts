/** What is wrong with the first server of each service, or with all of them. */
export const Fault = {
  AllSlow: 'all-slow',
  Cold: 'cold',
  Draining: 'draining',
  FailingFast: 'failing-fast',
  HalfFail: 'half-fail',
  LyingEndpoints: 'lying-endpoints',
  None: 'none',
  Overstated: 'overstated',
  Slow: 'slow',
} as const;
export type Fault = (typeof Fault)[keyof typeof Fault];

/** One row of the tables: load over time and a fault. */
export interface Scenario {
  readonly name: string;
  /** Load relative to the capacity of all servers, before and after the turn. */
  readonly loadBefore: number;
  readonly loadAfter: number;
  readonly fault: Fault;
  /** Load of a tenant without restraint after the turn, beside the load of the others. */
  readonly noisyLoad: number;
}

/** Calls before this time are not counted. */
export const warmUpMilliseconds = 5_000;
/** Time of the jump or of the fault. */
export const turnMilliseconds = 6_000;
/** Calls after this time are not counted. */
export const endMilliseconds = 20_000;

const troughLoad = 0.4;
const peakLoad = 0.85;
const faultLoad = 0.65;

/** All rows. The load falls by half at night, so the trough is about half of the peak. */
export const scenarios: readonly Scenario[] = [
  scenario('steady, trough', troughLoad, troughLoad),
  scenario('steady, peak', peakLoad, peakLoad),
  scenario('jump from trough to peak', troughLoad, 0.95),
  scenario('one server five times slower', faultLoad, faultLoad, Fault.Slow),
  scenario('all servers twice as slow', troughLoad, troughLoad, Fault.AllSlow),
  scenario('one server fails fast', faultLoad, faultLoad, Fault.FailingFast),
  scenario('one server drains', faultLoad, faultLoad, Fault.Draining),
  scenario('one server is cold', faultLoad, faultLoad, Fault.Cold),
  scenario('endpoints stale and lying', faultLoad, faultLoad, Fault.LyingEndpoints),
  scenario('one server has half its slots', faultLoad, faultLoad, Fault.Overstated),
  scenario('half of all requests fail', peakLoad, peakLoad, Fault.HalfFail),
  { ...scenario('noisy tenant', troughLoad, troughLoad), noisyLoad: 2 },
];

function scenario(
  name: string,
  loadBefore: number,
  loadAfter: number,
  fault: Fault = Fault.None,
): Scenario {
  return { fault, loadAfter, loadBefore, name, noisyLoad: 0 };
}
