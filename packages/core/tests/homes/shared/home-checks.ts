import type { HomeNetwork } from './home-network.js';

/** Returns a UUIDv7 with this creation time and a number that makes it unique. */
export function keyCreatedAt(wall: number, number: number): string {
  const time = Math.round(wall).toString(16).padStart(12, '0');
  const unique = number.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${unique}`;
}

/**
 * Returns each violation of at-most-once execution found in the execution log and the callers'
 * outcomes.
 */
export function violations({ attempts, executions }: HomeNetwork): string[] {
  const found: string[] = [];
  const runs = new Map<string, number>();
  for (const { key } of executions) runs.set(key, (runs.get(key) ?? 0) + 1);
  for (const [key, count] of runs) if (count > 1) found.push(`${key} ran ${count} times`);
  for (const attempt of attempts) {
    const { digest, key, number, outcome, outcomeAt } = attempt;
    if (outcome?.kind === 'answered') {
      if (new TextDecoder().decode(outcome.body) !== key)
        found.push(`${number}: answer of another key`);
      if (!runs.has(key)) found.push(`${number}: answered without a run`);
    }
    if (outcome?.kind !== 'refused-not-run' || outcomeAt === undefined) continue;
    for (const execution of executions) {
      if (execution.key !== key || execution.digest !== digest) continue;
      const entered = attempts[execution.attempt]?.enteredAt ?? 0;
      if (execution.at <= outcomeAt)
        found.push(`${number}: "not run" (${outcome.reason}) after a run`);
      else if (entered <= outcomeAt) {
        found.push(
          `${number}: "not run" (${outcome.reason}), run later from attempt ${execution.attempt}`,
        );
      }
    }
  }
  return found;
}
