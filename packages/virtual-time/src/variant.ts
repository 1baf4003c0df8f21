import {
  LeastInFlightPolicy,
  PowerOfChoicesPolicy,
  RandomPolicy,
  RoundRobinPolicy,
  TwoChoicesPolicy,
  createZoneTopology,
} from '@peridotspring/core';
import type { RandomSource, RouterOptions, SelectionPolicy } from '@peridotspring/core';

/** Mechanisms that a run may do without. */
export const Mechanism = {
  Ageing: 'ageing',
  ConcurrencyLimit: 'concurrency limit',
  FairShare: 'fair share',
  Hedging: 'hedging',
  Ramp: 'ramp',
  RetryBudget: 'retry budget',
  SentSinceReport: 'sent-since correction',
  Shunning: 'shunning',
  ZoneAwareness: 'zone awareness',
} as const;
export type Mechanism = (typeof Mechanism)[keyof typeof Mechanism];

/** A policy, and the mechanism that is switched off. */
export interface Variant {
  readonly name: string;
  readonly without?: Mechanism;
  readonly shunning: boolean;
  createPolicy(options: RouterOptions, random: RandomSource): SelectionPolicy;
}

/** The policy that the daemon uses. */
export const chosenVariant: Variant = chosen('power of choices');

/** The chosen policy and the baselines, which know of no shunning. */
export const policyVariants: readonly Variant[] = [
  chosenVariant,
  baseline('random', (random) => new RandomPolicy(random)),
  baseline('round robin', (random) => new RoundRobinPolicy(random)),
  baseline('least in-flight', (random) => new LeastInFlightPolicy(random)),
  baseline('two choices', (random) => new TwoChoicesPolicy(random)),
];

/** The chosen policy complete and with each mechanism switched off in turn. */
export const ablationVariants: readonly Variant[] = [
  chosen('complete'),
  ...Object.values(Mechanism).map((mechanism) => chosen(`without ${mechanism}`, mechanism)),
];

function chosen(name: string, without?: Mechanism): Variant {
  return {
    createPolicy: (options, random) =>
      new PowerOfChoicesPolicy(random, createZoneTopology(options), {
        ageing: without !== Mechanism.Ageing,
        sentSinceReport: without !== Mechanism.SentSinceReport,
        zoneCost: without !== Mechanism.ZoneAwareness,
      }),
    name,
    shunning: without !== Mechanism.Shunning,
    without,
  };
}

function baseline(name: string, create: (random: RandomSource) => SelectionPolicy): Variant {
  return { createPolicy: (_options, random) => create(random), name, shunning: false };
}
