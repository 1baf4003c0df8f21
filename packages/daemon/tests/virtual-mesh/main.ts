import { simulateMesh } from './simulate-mesh.js';

/** Usage: node main.js [first seed] [number of seeds] [availability zones] [machines] [1: restores of the store] [1: cold servers] [1: cuts of all watchers] [1: limited servers] [1: a request that crashes servers] [1: silent connections] [1: removed keys] [1: departures, 2: and the store loses their records]. */
const [
  first = 1,
  count = 1_000,
  zones = 2,
  machines = 5,
  restores = 0,
  cold = 0,
  cuts = 0,
  limits = 0,
  deadly = 0,
  silent = 0,
  keys = 0,
  departures = 0,
] = process.argv.slice(2).map(Number);
let failed = 0;
let requests = 0;
let answered = 0;
for (let seed = first; seed < first + count; seed += 1) {
  const result = await simulateMesh(seed, {
    cutsWatchers: cuts > 0,
    departs: departures > 0,
    forgetsDepartures: departures > 1,
    limitsServers: limits > 0,
    machines,
    replacesKeys: keys > 0,
    restoresStore: restores > 0,
    sendsDeadlyRequest: deadly > 0,
    silencesConnections: silent > 0,
    startsCold: cold > 0,
    zones,
  });
  requests += result.requests;
  answered += result.answered;
  if (result.violations.length === 0) continue;
  failed += 1;
  console.log(`FAIL seed ${seed}`);
  for (const line of [...result.violations.slice(0, 10), ...result.injectedFaults])
    console.log(`  ${line}`);
}
console.log(`${answered} of ${requests} requests answered`);
console.log(`${count - failed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
