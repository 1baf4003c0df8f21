// One byte of a faulty server's answers is wrong: the first digit of the status.
import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { Requesters } from '../lib/client.mjs';
import { Cluster, pause } from '../lib/cluster.mjs';

const isTroubled = process.env.TROUBLE !== '0';
/** Garbled answers: two of six servers spoil one answer in fifty, for 5 s. */
const faultyServers = new Set([1, 4]);
const spoiledEvery = 50;
const troubleMilliseconds = 5_000;
/** Time between two spoiled answers after which the ends of processes count one by one. */
const touchMilliseconds = 3_000;
const perSecondAndMachine = 40;
const record = fileURLToPath(new URL('record.txt', import.meta.url));

let isSpoiling = false;
const spoiled = [];

function spoil({ id, response, server }) {
  if (!isSpoiling || server.answered % spoiledEvery !== 0) return false;
  spoiled.push({ at: Date.now(), id, server: server.name });
  const body = `answer to ${id}`;
  const head = [
    'HTTP/1.1 000 OK',
    `Peridotspring-Request-Id: ${id}`,
    `Peridotspring-Response-Signature: s-${id}`,
    `Peridotspring-Server-Load: ${server.load}`,
    `Content-Length: ${body.length}`,
  ];
  response.socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
  response.socket.end();
  return true;
}

async function main() {
  const cluster = new Cluster({
    server: (index) => ({
      ...(faultyServers.has(index) && { spoil }),
      workMilliseconds: () => 90 + 60 * Math.random(),
    }),
    services: Array.from({ length: 6 }, () => 'registry'),
  });
  let code = 2;
  const lines = [`trouble: ${isTroubled}`];
  try {
    await cluster.start([
      { kind: 'safe', name: 'lookup', service: 'registry' },
      { kind: 'unsafe', name: 'issue', service: 'registry' },
    ]);
    await pause(3_000);
    const requesters = cluster.machines.map((machine) => new Requesters(machine));
    const next = (count) =>
      count % 3 === 0
        ? { body: `issue ${count}`, kind: 'unsafe', method: 'POST', path: '/issue/1' }
        : { kind: 'safe', method: 'GET', path: `/lookup/${count}` };
    const traffic = requesters.map((each) => each.sendSteadily(perSecondAndMachine, 14_000, next));
    await pause(6_000);
    isSpoiling = isTroubled;
    await pause(troubleMilliseconds);
    isSpoiling = false;
    await Promise.all(traffic);
    for (const each of requesters) each.close();
    code = judge(cluster, requesters, lines);
  } catch (error) {
    lines.push(`could not run: ${error.stack}`);
  } finally {
    await cluster.close();
    writeFileSync(record, `${lines.join('\n')}\n`);
  }
  process.exitCode = code;
}

function judge(cluster, requesters, lines) {
  const soundRuns = new Map();
  for (const { server } of cluster.machines)
    for (const run of server.runs) if (!run.isSpoiled) soundRuns.set(run.id, { ...run, server });
  const faultyNames = new Set([...faultyServers].map((index) => cluster.machines[index].name));
  for (const { at, id, server } of spoiled) lines.push(`spoiled answer: ${at} ${id} by ${server}`);
  let processEnds = 0;
  for (const { ends, log, name } of cluster.machines) {
    for (const { at, code, signal } of ends)
      lines.push(`process ended by itself: ${at} ${name} code ${code} signal ${signal}`);
    processEnds += ends.length;
    const [, error] = /\n(\S*Error[^\n]*)/.exec(log) ?? [];
    if (error !== undefined) lines.push(`${name} printed: ${error}`);
  }
  // LOST, at any time: a machine in touch closes a kept connection without an answer to a request that it has passed on to a
  // sound server. Only ends of a process that had run for the whole window before are counted.
  let lost = 0;
  const outcomes = new Map();
  for (const { results, machine } of requesters) {
    const counted = machine.ends.filter(
      ({ at }) =>
        Math.max(...machine.starts.filter((start) => start < at)) <= at - touchMilliseconds,
    );
    for (const { detail, endedAt, id, isKept, kind, outcome, sentAt, status } of results) {
      const key = `${kind}: ${outcome}${status === undefined ? '' : ` ${status}`}`;
      outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
      if (outcome === 'answered' && status === 200) continue;
      const run = soundRuns.get(id);
      const ranAt = run === undefined ? 'not run' : `run by ${run.server.name} at ${run.at}`;
      lines.push(
        `${machine.name} ${id} ${kind} sent ${sentAt} ended ${endedAt}: ${outcome} ${detail ?? status ?? ''}, ${ranAt}`,
      );
      if (outcome !== 'closed without an answer' || !isKept || run === undefined) continue;
      if (faultyNames.has(run.server.name)) continue;
      if (counted.some(({ at }) => at >= sentAt && Math.abs(at - endedAt) < 500)) lost += 1;
    }
  }
  for (const [key, count] of outcomes) lines.push(`${count} requests, ${key}`);
  lines.push(`${spoiled.length} answers spoiled, ${processEnds} processes ended by themselves`);
  lines.push(
    `requests that sound servers ran and whose kept connection was closed without an answer: ${lost} (LOST: more than 3)`,
  );
  return lost > 3 ? 1 : 0;
}

await main();
