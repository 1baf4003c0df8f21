import { isWaiting } from './fleet-callers.js';
import { markerOf } from './fleet-changes.js';
import type { ExecutionEntry, FleetLog, PeriodEntry, RequestEntry } from './fleet-log.js';

/** Time past its deadline by which a request has its outcome: a few ticks. */
const outcomeMarginMilliseconds = 150;
const drainLimitMilliseconds = 2_000;
const inForceLimitMilliseconds = 6_000;

/** Looks for violations of one promise and describes each. */
export type FleetCheck = (log: FleetLog) => string[];

/** I4: no key runs twice. */
export const checkAtMostOnce: FleetCheck = (log) => {
  const violations: string[] = [];
  for (const [key, executions] of executionsByKey(log)) {
    if (executions.length > 1) {
      const places = executions.map(({ server, startedAt }) => `${server} at ${startedAt}`);
      violations.push(`key ${key} ran on ${places.join(' and on ')}`);
    }
  }
  return violations;
};

/** I3: what a caller was told about a key that did not run holds. */
export const checkRefusals: FleetCheck = (log) => {
  const violations: string[] = [];
  const byKey = executionsByKey(log);
  const requests = new Map(log.requests.map((request) => [request.requestId, request]));
  for (const { answers, key, requestId } of log.requests) {
    for (const { at, outcome } of key === undefined ? [] : answers) {
      const told = `${requestId} was told ${outcome.kind} at ${at}`;
      for (const { requestId: attempt, startedAt } of byKey.get(key ?? '') ?? []) {
        const enteredAt = requests.get(attempt)?.sentAt ?? 0;
        const isRefused = outcome.kind === 'refused-not-run';
        if (isRefused && (startedAt <= at || enteredAt <= at)) {
          violations.push(`${told}, and ${attempt} of ${enteredAt} ran at ${startedAt}`);
        }
        const isUnstarted = outcome.kind === 'outcome-unknown' && !outcome.attemptStarted;
        if (isUnstarted && attempt === requestId) {
          violations.push(`${told} with an attempt that was not started, and it ran`);
        }
      }
    }
  }
  return violations;
};

/** I2: an answer belongs to the request it was given to. */
export const checkAnswersBelong: FleetCheck = (log) => {
  const violations: string[] = [];
  for (const { answers, key, requestId } of log.requests) {
    for (const { body, outcome } of answers) {
      if (outcome.kind !== 'answered') continue;
      const [ranRequest, ranKey] = body?.split(' ') ?? [];
      const belongs = key === undefined ? ranRequest === requestId : ranKey === key;
      if (!belongs) violations.push(`${requestId} of key ${key ?? '-'} got "${body ?? ''}"`);
    }
  }
  return violations;
};

/** A streamed body passes as whole at its upstream, and in its answer, only if its caller sent all of it. */
export const checkBodies: FleetCheck = (log) => {
  const violations: string[] = [];
  const consumed = new Map<string, number>();
  const requests = new Map(log.requests.map((request) => [request.requestId, request]));
  for (const { body, end, requestId, server } of log.executions) {
    if (body === undefined) continue;
    const sent = requests.get(requestId)?.body;
    const isWhole = sent?.state === 'whole' && sent.chunks === body.chunks;
    const seen = `${requestId} (${sent?.chunks ?? 0} chunks, ${sent?.state ?? 'none'}) on ${server}`;
    if (body.state === 'whole' && !isWhole) violations.push(`${seen} passed as whole`);
    if (end === 'answered' && body.state !== 'whole') violations.push(`${seen} was answered`);
    if (body.chunks === 0) continue;
    consumed.set(requestId, (consumed.get(requestId) ?? 0) + 1);
    if (consumed.get(requestId) === 2) violations.push(`${seen} was sent a second time`);
  }
  for (const { answers, requestId } of log.requests) {
    for (const { outcome, sentBody = 'whole' } of answers) {
      if (outcome.kind !== 'answered' || sentBody === 'whole') continue;
      violations.push(`${requestId} was answered while its body was ${sentBody}`);
    }
  }
  return violations;
};

/** Every request has exactly one outcome soon after its deadline, or after its entry's freeze. */
export function checkOneOutcome(log: FleetLog, now: number): string[] {
  const violations: string[] = [];
  for (const request of log.requests) {
    const { answers, requestId } = request;
    if (answers.length > 1) violations.push(`${requestId} has ${answers.length} outcomes`);
    const due = dueAt(log, request);
    const [answer] = answers;
    const at = answer?.at ?? (isWaiting(request) ? now : 0);
    if (at > due) violations.push(`${requestId} has no outcome at ${due}`);
  }
  return violations;
}

/** I5: a gate starts nothing from 2 s after it was asked to drain. */
export const checkDrains: FleetCheck = (log) => {
  const violations: string[] = [];
  for (const { server, startedAt, requestId } of log.executions) {
    for (const period of [...log.of('drained', server), ...log.of('stopping', server)]) {
      const until = period.to ?? Number.POSITIVE_INFINITY;
      // A frozen gate can't hear the request to drain.
      const limit = afterFreezes(log, server, period.from) + drainLimitMilliseconds;
      if (startedAt > limit && startedAt < until) {
        violations.push(`${requestId} started on ${server}, ${period.kind} since ${period.from}`);
      }
    }
  }
  return violations;
};

/** I6, for runs without other faults: nothing is cut off and no outcome becomes unknown. */
export const checkPlannedStops: FleetCheck = (log) => {
  const violations: string[] = [];
  for (const { answers, brokenAt, requestId } of log.requests) {
    if (brokenAt !== undefined) violations.push(`${requestId} was cut off at ${brokenAt}`);
    for (const { at, outcome } of answers) {
      if (outcome.kind === 'outcome-unknown') {
        violations.push(`${requestId} became unknown at ${at}: ${outcome.reason}`);
      }
    }
  }
  for (const { end, key, requestId, server } of log.executions) {
    if (key !== undefined && end !== 'answered') {
      violations.push(`${requestId} did not finish on ${server}`);
    }
  }
  for (const { from, server, to } of log.periods.filter(({ kind }) => kind === 'stopping')) {
    if (to === undefined) violations.push(`${server} has not stopped since ${from}`);
  }
  return violations;
};

/** I7: revisions only rise at a node, and one revision is the same configuration everywhere. */
export const checkRevisions: FleetCheck = (log) => {
  const violations: string[] = [];
  const highest = new Map<number, number>();
  const contents = new Map<number, string>();
  for (const { configuration, life, server } of log.inForce) {
    const { revision } = configuration;
    const before = highest.get(life) ?? 0;
    if (revision <= before) violations.push(`${server} went from ${before} to ${revision}`);
    highest.set(life, Math.max(before, revision));
    const text = contentOf(configuration.services);
    const known = contents.get(revision) ?? text;
    if (known !== text) violations.push(`revision ${revision} differs at ${server}`);
    contents.set(revision, known);
  }
  return violations;
};

/** I7: what operators were told about their changes is true of every configuration in force. */
export const checkChanges: FleetCheck = (log) => {
  const violations: string[] = [];
  for (const { marker, result, services } of log.changes) {
    if (result === undefined || result.kind === 'unresolved') continue;
    for (const { configuration, server } of log.inForce) {
      const held = services.filter((service) => markerOf(configuration, service) === marker);
      const isRefused = result.kind !== 'accepted';
      const where = `${server} at revision ${configuration.revision}`;
      if (isRefused && held.length > 0) {
        violations.push(`change ${marker} was told ${result.kind} and holds on ${where}`);
      }
      const isThis = !isRefused && configuration.revision === result.revision;
      if (isThis && held.length < services.length) {
        violations.push(`accepted change ${marker} does not hold on ${where}`);
      }
    }
  }
  return violations;
};

/** I7, for runs without faults: an accepted change is in force everywhere within 6 s. */
export const checkInForceEverywhere: FleetCheck = (log) => {
  const violations: string[] = [];
  for (const { concludedAt, marker, result } of log.changes) {
    if (result?.kind !== 'accepted' || concludedAt === undefined) continue;
    const limit = concludedAt + inForceLimitMilliseconds;
    for (const { server } of log.periods.filter((period) => covers(period, concludedAt, limit))) {
      const inForceAt = log.inForce.find(
        (entry) => entry.server === server && entry.configuration.revision >= result.revision,
      )?.at;
      if (inForceAt === undefined || inForceAt > limit) {
        violations.push(`change ${marker} of ${concludedAt} is not in force on ${server}`);
      }
    }
  }
  return violations;
};

/** Every one of the requests was answered by an upstream. */
export function checkAllAnswered(requests: readonly RequestEntry[]): string[] {
  return requests
    .filter(({ abandonedAt, answers }) => {
      return abandonedAt === undefined && answers[0]?.outcome.kind !== 'answered';
    })
    .map(({ answers, entry, key, requestId, service }) => {
      const outcome = JSON.stringify(answers[0]?.outcome);
      const asked = `${requestId} (${service}, key ${key ?? '-'})`;
      return `${asked} through ${entry} got ${outcome}`;
    });
}

/** The checks that hold whatever fails. */
export function checkAlways(log: FleetLog, now: number): string[] {
  return [
    ...checkAtMostOnce(log),
    ...checkRefusals(log),
    ...checkAnswersBelong(log),
    ...checkBodies(log),
    ...checkOneOutcome(log, now),
    ...checkDrains(log),
    ...checkRevisions(log),
    ...checkChanges(log),
  ];
}

function executionsByKey({ executions }: FleetLog): Map<string, ExecutionEntry[]> {
  const byKey = new Map<string, ExecutionEntry[]>();
  for (const execution of executions) {
    if (execution.key === undefined) continue;
    byKey.set(execution.key, [...(byKey.get(execution.key) ?? []), execution]);
  }
  return byKey;
}

function dueAt(log: FleetLog, { deadlineAt, entry, sentAt }: RequestEntry): number {
  let due = deadlineAt;
  for (const { from, to } of log.of('frozen', entry)) {
    const resumedAt = to ?? Infinity;
    if (from > due + outcomeMarginMilliseconds || resumedAt < sentAt) continue;
    // A request that was sent to a frozen entry is read, and its time begins, when it resumes.
    due = from <= sentAt ? resumedAt + deadlineAt - sentAt : Math.max(due, resumedAt);
  }
  return due + outcomeMarginMilliseconds;
}

function afterFreezes(log: FleetLog, server: string, at: number): number {
  const covering = log
    .of('frozen', server)
    .filter(({ from, to }) => from <= at + drainLimitMilliseconds && (to ?? Infinity) >= at);
  return Math.max(at, ...covering.map(({ to }) => to ?? Infinity));
}

function covers({ from, kind, to }: PeriodEntry, start: number, end: number): boolean {
  return kind === 'running' && from <= start && (to ?? Infinity) >= end;
}

function contentOf(services: Readonly<Record<string, unknown>>): string {
  return JSON.stringify(
    Object.entries(services).sort(([left], [right]) => (left < right ? -1 : 1)),
  );
}
