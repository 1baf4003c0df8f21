// Measures what operators' questions cost: time to the answer and bytes between the asked node and the others.
// Usage: PERIDOTCTL_ADDRESS=host:port PERIDOTCTL_SECRET=… node scripts/measure-questions.mjs
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

const repetitions = 20;
const idleMilliseconds = 10_000;
const questions = [
  'show load by service',
  'show load by server',
  'show revision',
  'show platform',
  'show budgets',
  'show refusals',
  'show requests limit 100',
  'show request unknown',
  'show configuration',
  'show members',
];
const base = `http://${process.env.PERIDOTCTL_ADDRESS ?? '127.0.0.1:7103'}`;
const headers = { authorization: `Bearer ${process.env.PERIDOTCTL_SECRET ?? ''}` };

async function request(path, init) {
  const response = await fetch(base + path, { ...init, headers });
  const text = await response.text();
  if (!response.ok) throw new Error(`${path} answered ${response.status}: ${text}`);
  return text;
}

const ask = (text) =>
  request('/query', { body: JSON.stringify({ output: 'json', text }), method: 'POST' });

async function peerBytes() {
  const metrics = await request('/metrics');
  const values = metrics.matchAll(/^peridotspring_peer_bytes_(?:sent|received) (\S+)$/gm);
  return [...values].reduce((sum, [, value]) => sum + Number(value), 0);
}

/** Bytes per millisecond without a question, which the figures of the questions are reduced by. */
async function idleRate() {
  const before = await peerBytes();
  const startedAt = performance.now();
  await sleep(idleMilliseconds);
  return ((await peerBytes()) - before) / (performance.now() - startedAt);
}

async function measure(text, rate) {
  const times = [];
  const bytesBefore = await peerBytes();
  const startedAt = performance.now();
  let missing = 0;
  for (let count = 0; count < repetitions; count += 1) {
    const askedAt = performance.now();
    missing += JSON.parse(await ask(text)).missing.length;
    times.push(performance.now() - askedAt);
  }
  const idleBytes = rate * (performance.now() - startedAt);
  const bytes = ((await peerBytes()) - bytesBefore - idleBytes) / repetitions;
  times.sort((left, right) => left - right);
  return { bytes, maximum: times.at(-1), median: times[repetitions / 2], missing };
}

const rate = await idleRate();
console.log(
  `between the node and the others without questions: ${(rate * 1_000).toFixed(0)} bytes/s`,
);
for (const text of questions) {
  await ask(text);
  const { bytes, maximum, median, missing } = await measure(text, rate);
  const time = `median ${median.toFixed(1)} ms, maximum ${maximum.toFixed(1)} ms`;
  console.log(`${text.padEnd(26)} ${time}, ${(bytes / 1_000).toFixed(1)} KB, ${missing} missing`);
}
