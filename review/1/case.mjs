// One byte of a faulty server's answers is wrong: the first digit of the status.
import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { Requesters } from '../client.mjs';
import { Cluster, pause } from '../cluster.mjs';
import { isLostBroken } from '../lost.mjs';

const isTroubled = process.env.TROUBLE !== '0';
/** Garbled answers: two of six servers spoil one answer in fifty, for 5 s. */
const faultyServers = new Set([0, 4]);
const spoiledEvery = 50;
const troubleMilliseconds = 5_000;
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
    const requesters = cluster.machines.map((machine) => new Requesters(machine, cluster));
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
    for (const { at, id, server } of spoiled)
      lines.push(`spoiled answer: ${at} ${id} by ${server}`);
    const faultyNames = new Set(
      [...faultyServers].map((index) => cluster.machines[index].server.name),
    );
    code = isLostBroken({ cluster, faultyNames, lines, requesters }) ? 1 : 0;
  } catch (error) {
    lines.push(`could not run: ${error.stack}`);
  } finally {
    await cluster.close();
    writeFileSync(record, `${lines.join('\n')}\n`);
  }
  process.exitCode = code;
}

await main();
