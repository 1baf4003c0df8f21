import type { RequestKind, ServiceConfiguration } from '@peridotspring/core';

const plainName = /^[A-Za-z_][A-Za-z0-9_.:-]*$/;

/** A text in double quotes. */
export function quote(text: string): string {
  return `"${text.replace(/["\\]/g, '\\$&')}"`;
}

/** A name as it is written in the language: quoted only where it has to be. */
export function printName(name: string): string {
  return plainName.test(name) ? name : quote(name);
}

/** A duration in the largest unit that divides it. */
export function printDuration(milliseconds: number): string {
  const units: readonly (readonly [string, number])[] = [
    ['h', 3_600_000],
    ['m', 60_000],
    ['s', 1_000],
  ];
  if (milliseconds > 0) {
    for (const [unit, size] of units) {
      if (milliseconds % size === 0) return `${milliseconds / size}${unit}`;
    }
  }
  return `${milliseconds}ms`;
}

/** A number without an exponent, which the language does not have. */
export function printNumber(value: number): string {
  const plain = String(value);
  return plain.includes('e') ? value.toFixed(20).replace(/0+$/, '') : plain;
}

function printRequestKind(kind: RequestKind): string {
  const name = printName(kind.name);
  return `request ${name} ${kind.method} ${quote(kind.pathPrefix)} ${kind.requestClass}`;
}

/** A bound that is not set is left out, because a declaration without it sets none. */
function printBound(word: string, maximum: number | undefined): readonly string[] {
  return maximum === undefined ? [] : [`${word} maximum ${printNumber(maximum)}`];
}

/** Prints a service as the `declare service` command that produces it. */
export function printService(service: ServiceConfiguration): string {
  const clauses = [
    ...service.requestKinds.map(printRequestKind),
    ...service.tenants.map(
      ({ tenant, weight }) => `tenant ${printName(tenant)} weight ${printNumber(weight)}`,
    ),
    `deadline default ${printDuration(service.defaultDeadlineMilliseconds)}`,
    `deadline maximum ${printDuration(service.maximumDeadlineMilliseconds)}`,
    `retry budget ratio ${printNumber(service.retryBudgetRatio)}`,
    `retry budget maximum ${printNumber(service.retryBudgetMaximum)}`,
    `hedging ${service.hedging ? 'on' : 'off'}`,
    `probe budget ${printNumber(service.probeBudgetShare)}`,
    `ramp ${printDuration(service.rampMilliseconds)}`,
    ...printBound('body', service.maximumBodyBytes),
    ...printBound('queue', service.queueLength),
    ...printBound('tenant-in-flight', service.maximumTenantInFlight),
  ];
  return [`declare service ${printName(service.name)}`, ...clauses].join('\n  ');
}
