// LOST, at any time: "a machine in touch passes a request from a kept connection on to a sound server and closes that connection
// without an answer, more than three times". "A process that ends by itself counts as running all the while, for every rule".

/** Time between the end of a process and the close of its connections, as the two are seen. */
const closeMilliseconds = 500;
const toleratedLosses = 3;

/** Writes what happened to `lines`; returns whether the rule is broken. */
export function isLostBroken({ cluster, faultyNames, lines, requesters }) {
  const runs = new Map();
  for (const { server } of cluster.machines)
    for (const { at, id } of server.runs) runs.set(id, { at, server: server.name });
  let processEnds = 0;
  let lost = 0;
  const outcomes = new Map();
  for (const { ends, log, memoryKills, name, peakMegabytes, settings } of cluster.machines) {
    const limit = settings.limits.memory_mb;
    lines.push(`${name}: at most ${peakMegabytes.toFixed(0)} MB of memory_mb ${limit}`);
    for (const { at, megabytes } of memoryKills)
      lines.push(`killed for its memory: ${at} ${name} with ${megabytes.toFixed(0)} MB`);
    processEnds += ends.length;
    for (const { at, code, signal } of ends)
      lines.push(`process ended by itself: ${at} ${name} code ${code} signal ${signal}`);
    const error = /^(?:\S*Error|FATAL ERROR)[^\n]*/m.exec(log)?.[0];
    if (error !== undefined) lines.push(`${name} printed: ${error}`);
  }
  for (const { machine, results } of requesters) {
    for (const { detail, endedAt, id, isKept, kind, outcome, sentAt, status } of results) {
      const key = `${kind}: ${outcome}${status === undefined ? '' : ` ${status}`}`;
      outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
      if (outcome === 'answered' && status === 200) continue;
      const run = runs.get(id);
      const isLost =
        outcome === 'closed without an answer' &&
        isKept &&
        run !== undefined &&
        !faultyNames.has(run.server) &&
        machine.ends.some(({ at }) => at >= sentAt && Math.abs(at - endedAt) < closeMilliseconds);
      if (isLost) lost += 1;
      const where = run === undefined ? 'not run' : `run by ${run.server} at ${run.at}`;
      const words = [machine.name, id, kind, `sent ${sentAt} ended ${endedAt}:`, outcome];
      lines.push([...words, status ?? detail ?? '', where, isLost ? '(counted)' : ''].join(' '));
    }
  }
  for (const [key, count] of outcomes) lines.push(`${count} requests, ${key}`);
  lines.push(`${processEnds} ends of processes that nobody ordered`);
  lines.push(
    `requests run by sound servers whose kept connection was closed without an answer: ${lost} (LOST: more than ${toleratedLosses})`,
  );
  return lost > toleratedLosses;
}
