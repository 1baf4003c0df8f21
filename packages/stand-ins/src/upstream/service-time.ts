import type { RandomSource } from '@peridotspring/core';

/** How long a request takes at the upstream. */
export type ServiceTime =
  | { readonly kind: 'fixed'; readonly milliseconds: number }
  | { readonly kind: 'exponential'; readonly meanMilliseconds: number };

/** Draws a service time in milliseconds. */
export function drawServiceTime(serviceTime: ServiceTime, random: RandomSource): number {
  switch (serviceTime.kind) {
    case 'fixed':
      return serviceTime.milliseconds;
    case 'exponential':
      return -Math.log(1 - random.next()) * serviceTime.meanMilliseconds;
  }
}
