// A server leaves with a confirmed DELETE, all nodes are killed, and a report that the server had sent before arrives late.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { pause } from '../deployment-2.mjs';
import { runCase } from '../run-case-2.mjs';

const drainMilliseconds = 2_000;
const stabilityWindowMilliseconds = 3_000;
/** The server goes on serving for `drain_ms` and some seconds, as the pages allow, and then exits. */
const servingAfterConfirmationMilliseconds = 10_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  deployment.route('retire', 'retirement', 'unsafe');
  deployment.route('lookup', 'provenance', 'safe');
  await deployment.start(['retirement', 'retirement', 'provenance'], {
    server: { workMilliseconds: () => 300 },
  });
  const [first, , requester] = deployment.nodes;
  const server = first.application;
  await pause(2_000);

  const lateReport = server.nextReport();
  server.isReporting = false;
  deployment.log(`a report of ${server.id} (ready) is sent, and held up on its way`);
  await pause(300);
  const status = await server.call('DELETE');
  const confirmedAt = Date.now();
  server.state = 'draining';
  deployment.log(`DELETE of ${server.id} got ${status}`);
  if (status !== 200) throw new Error('the DELETE was not confirmed');
  const exitsAt = confirmedAt + servingAfterConfirmationMilliseconds;

  if (hasTrouble) {
    await pause(200);
    await Promise.all(deployment.nodes.map((node) => deployment.endNode(node, 'SIGKILL')));
    await pause(500);
    for (const node of deployment.nodes) deployment.startNode(node);
    await deployment.ready();
  } else await pause(2_000);
  const late = await server.report(lateReport);
  deployment.log(`the late report of ${server.id} arrives, and gets ${late}`);

  // From here on, all machines are in touch.
  await pause(stabilityWindowMilliseconds + 300);
  const inTouchFrom = Date.now();
  const sending = [];
  for (let number = 0; Date.now() < exitsAt + 500; number += 1) {
    const request = { body: '1', id: `retire-${number}`, method: 'POST', path: '/retire/claim' };
    sending.push(
      deployment.send(requester, request).then(({ status: got }) => ({ got, id: request.id })),
    );
    if (Date.now() >= exitsAt && server.server.listening) {
      deployment.log(`server ${server.id} exits`);
      server.close();
    }
    await pause(100);
  }
  const results = await Promise.all(sending);

  const late421 = server.runs.filter(
    ({ at }) => at >= inTouchFrom && at > confirmedAt + drainMilliseconds,
  );
  if (late421.length === 0) return [];
  const ids = new Set(late421.map(({ id }) => id));
  const lost = results.filter(({ got, id }) => ids.has(id) && got !== 200);
  return [
    `DRAIN: ${late421.length} requests reached ${server.id} later than ${drainMilliseconds} ms after its DELETE was` +
      ` confirmed, the first ${late421[0].at - confirmedAt} ms after it`,
    `${lost.length} of them were cut when the server exited, and their requesters got ${lost.map(({ got }) => got ?? 'no answer').join(', ') || 'nothing else'}`,
  ];
});
