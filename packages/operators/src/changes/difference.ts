import type { Configuration } from '@peridotspring/core';
import { printService } from '@peridotspring/language/text';

import { findService } from './find-service.js';

/** One line of the difference between two configurations. */
export interface ConfigurationDifference {
  readonly change: 'added' | 'removed' | 'reordered';
  /** Kind and name of the object, such as `service antrag`, `server regina-1` or `zone thun-c`. */
  readonly object: string;
  /** A clause of the service, or `drained` for a server or zone. */
  readonly clause: string;
}

function clausesOf(configuration: Configuration, name: string): readonly string[] {
  const service = findService(configuration, name);
  return service === undefined
    ? []
    : printService(service)
        .split('\n')
        .map((line) => line.trim());
}

function compareClauses(
  object: string,
  before: readonly string[],
  after: readonly string[],
): readonly ConfigurationDifference[] {
  const removed = before.filter((clause) => !after.includes(clause));
  const added = after.filter((clause) => !before.includes(clause));
  const difference: ConfigurationDifference[] = [
    ...removed.map((clause) => ({ change: 'removed' as const, clause, object })),
    ...added.map((clause) => ({ change: 'added' as const, clause, object })),
  ];
  const kept = before.filter((clause) => after.includes(clause)).join('\n');
  // The first matching request kind applies, so a different order is a change.
  if (kept !== after.filter((clause) => before.includes(clause)).join('\n')) {
    difference.push({ change: 'reordered', clause: 'order of the clauses', object });
  }
  return difference;
}

function compareNames(
  kind: string,
  before: readonly string[],
  after: readonly string[],
): readonly ConfigurationDifference[] {
  const names = [...new Set([...before, ...after])].sort();
  return names.flatMap((name) =>
    compareClauses(
      `${kind} ${name}`,
      before.includes(name) ? ['drained'] : [],
      after.includes(name) ? ['drained'] : [],
    ),
  );
}

/** Lists the differences between two configurations, ignoring their revisions. */
export function diffConfigurations(
  before: Configuration,
  after: Configuration,
): readonly ConfigurationDifference[] {
  const services = new Set([...Object.keys(before.services), ...Object.keys(after.services)]);
  return [
    ...[...services]
      .sort()
      .flatMap((name) =>
        compareClauses(`service ${name}`, clausesOf(before, name), clausesOf(after, name)),
      ),
    ...compareNames('server', before.drainedServers, after.drainedServers),
    ...compareNames('zone', before.drainedAvailabilityZones, after.drainedAvailabilityZones),
  ];
}
