// A faulty server answers some requests with a body without end, in small chunks, until the caller closes.
import { Buffer } from 'node:buffer';
import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { Requesters } from '../client.mjs';
import { Cluster, pause } from '../cluster.mjs';
import { isLostBroken } from '../lost.mjs';

const isTroubled = process.env.TROUBLE !== '0';
/** Garbled answers: two of six servers spoil one answer in fifty, for 5 s. */
const faultyServers = new Set([0, 4]);
/** A third of the requests are unsafe, so this is one answer in fifty-one. */
const endlessEvery = 17;
const chunkBytes = 16;
const troubleMilliseconds = 5_000;
const perSecondAndMachine = 70;
const record = fileURLToPath(new URL('record.txt', import.meta.url));

let isEndless = false;
const endless = [];
const piece = Buffer.from(
  `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`.repeat(
    Math.ceil(10_000 / chunkBytes),
  ),
);

function spoil({ id, request, response, server }) {
  if (request.method !== 'POST') return false;
  server.unsafeAnswers = (server.unsafeAnswers ?? 0) + 1;
  if (!isEndless || server.unsafeAnswers % endlessEvery !== 0) return false;
  const entry = { at: Date.now(), bytes: 0, id, server: server.name };
  endless.push(entry);
  const head = [
    'HTTP/1.1 200 OK',
    `Peridotspring-Request-Id: ${id}`,
    `Peridotspring-Response-Signature: s-${id}`,
    `Peridotspring-Server-Load: ${server.load}`,
    'Transfer-Encoding: chunked',
  ];
  const { socket } = response;
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  const writeOn = () => {
    while (!socket.destroyed) {
      entry.bytes += piece.length;
      if (!socket.write(piece)) {
        socket.once('drain', writeOn);
        return;
      }
    }
  };
  socket.on('close', () => (entry.closedAfter = Date.now() - entry.at));
  writeOn();
  return true;
}

async function main() {
  const cluster = new Cluster({
    server: (index) => ({
      ...(faultyServers.has(index) && { spoil }),
      workMilliseconds: () => 60 + 60 * Math.random(),
    }),
    services: Array.from({ length: 6 }, () => 'registry'),
  });
  let code = 2;
  const lines = [`trouble: ${isTroubled}`];
  try {
    await cluster.start([
      { kind: 'safe', name: 'lookup', service: 'registry', timeout_ms: 5_000 },
      { kind: 'unsafe', name: 'issue', service: 'registry', timeout_ms: 3_000 },
    ]);
    await pause(3_000);
    const requesters = cluster.machines.map(
      (machine) => new Requesters(machine, cluster, { timeLimitMilliseconds: 3_000 }),
    );
    const next = (count) =>
      count % 3 === 0
        ? { body: `issue ${count}`, kind: 'unsafe', method: 'POST', path: '/issue/1' }
        : { kind: 'safe', limit: 5_000, method: 'GET', path: `/lookup/${count}` };
    const traffic = requesters.map((each) => each.sendSteadily(perSecondAndMachine, 14_000, next));
    await pause(6_000);
    isEndless = isTroubled;
    await pause(troubleMilliseconds);
    isEndless = false;
    await Promise.all(traffic);
    for (const each of requesters) each.close();
    for (const { at, bytes, closedAfter, id, server } of endless) {
      const end = closedAfter === undefined ? '' : `, closed after ${closedAfter} ms`;
      lines.push(`endless answer: ${at} ${id} by ${server}, ${bytes} bytes${end}`);
    }
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
