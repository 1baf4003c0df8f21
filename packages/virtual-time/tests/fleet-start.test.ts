import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Fleet } from '../src/fleet.js';
import { fleetServers } from '../src/fleet-run.js';

// Guards against announcements that are made before the bridges know the other zones and reach
// those only with a chance comparison, 10 to 30 s later: homes then replace servers that serve.
test('nodes that all start at once know every announcement 5 s later', () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const fleet = new Fleet({ seed, servers: fleetServers(), tickMilliseconds: 25 });
    fleet.run(5_000);
    for (const { core, server } of fleet.running) {
      const known = core.subsystems.membership
        .members()
        .filter(({ service }) => service !== undefined);
      assert.is(known.length, fleet.servers.length, `${server} lacks announcements, seed ${seed}`);
    }
  }
});

// Guards against a node that lacks a whole availability zone for 10 s after its start, because each
// comparison examines only two zones: it could not reach homes there, nor answer nodes there.
test('a node that starts anew knows every member 5 s later', () => {
  for (let seed = 36; seed <= 50; seed += 1) {
    const fleet = new Fleet({ seed, servers: fleetServers(), tickMilliseconds: 25 });
    fleet.run(4_000);
    fleet.crash('server-3');
    fleet.run(1_000);
    fleet.start('server-3');
    fleet.run(5_000);
    const known = fleet.node('server-3')?.core.subsystems.membership.members().length;
    assert.is(known, fleet.servers.length, `members are missing, seed ${seed}`);
  }
});

test.run();
