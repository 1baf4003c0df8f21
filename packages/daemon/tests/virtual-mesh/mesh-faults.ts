import type { SeededRandomSource } from '@peridotspring/core';

import { SilentDirection } from './virtual-links.js';
import type { VirtualMesh } from './virtual-mesh.js';

/** An isolation has to end before the mesh must have recovered. */
const latestIsolationMilliseconds = 5_000;

/** A fault and its name. */
export type NamedFault = readonly [name: string, inject: InjectFault];
type InjectFault = (mesh: VirtualMesh, random: SeededRandomSource) => void;

/** Faults that are injected at random times; they may repeat and overlap. */
const faults: readonly NamedFault[] = [
  [
    'kill a node',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      mesh.kill(machine);
      mesh.queue.after(300 * random.next(), () => {
        mesh.start(machine);
      });
    },
  ],
  [
    'stop a node',
    (mesh) => {
      mesh.stop(mesh.pickMachine());
    },
  ],
  [
    'restart a server',
    (mesh, random) => {
      mesh.pickMachine().server.restart(random.next() < 0.5);
    },
  ],
  [
    'replace a server',
    (mesh, random) => {
      mesh.pickMachine().server.replace(random.next() < 0.5);
    },
  ],
  [
    'partition two nodes',
    (mesh, random) => {
      mesh.links.blockConnection(mesh.pickMachine().name, mesh.pickMachine().name);
      mesh.queue.after(2_000 * random.next(), () => {
        mesh.links.unblockConnections();
      });
    },
  ],
  [
    'reset the connections',
    (mesh) => {
      mesh.links.resetAll();
    },
  ],
  [
    'change the configuration',
    (mesh) => {
      mesh.configure();
    },
  ],
  [
    'make the store unreadable for a node',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      machine.canReadStore = false;
      mesh.queue.after(1_500 * random.next(), () => {
        machine.canReadStore = true;
      });
    },
  ],
  [
    'slow a server down',
    (mesh, random) => {
      const { server } = mesh.pickMachine();
      server.slowdown = 2 + 10 * random.next();
      mesh.queue.after(1_500 * random.next(), () => {
        server.slowdown = 1;
      });
    },
  ],
  [
    'lose answers',
    (mesh, random) => {
      for (const { server } of mesh.machines) server.lostAnswerShare = 0.6;
      mesh.queue.after(1_500 * random.next(), () => {
        for (const { server } of mesh.machines) server.lostAnswerShare = 0;
      });
    },
  ],
];

/** Additional faults for larger fleets. A change of the first list would change what existing seeds simulate. */
const largeFleetFaults: readonly NamedFault[] = [
  [
    'kill half of the nodes',
    (mesh, random) => {
      for (const machine of mesh.machines) {
        if (random.next() < 0.5) continue;
        mesh.kill(machine);
        mesh.queue.after(300 + 300 * random.next(), () => {
          mesh.start(machine);
        });
      }
    },
  ],
  [
    'kill the node of a draining server',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      machine.server.replace(random.next() < 0.5);
      mesh.queue.after(100 * random.next(), () => {
        mesh.kill(machine);
        mesh.queue.after(50 * random.next(), () => {
          mesh.start(machine);
        });
      });
    },
  ],
];

/** The longest time for which a server serves after it has left. */
const longestServingMilliseconds = 4_000;

/** Additional faults if servers leave without draining, and go on serving. */
const departureFaults: readonly NamedFault[] = [
  [
    'a server leaves, and its node is killed',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      machine.server.retire(longestServingMilliseconds * random.next());
      mesh.queue.after(300 * random.next(), () => {
        mesh.restart(machine, 300 * random.next());
      });
    },
  ],
  [
    'a server leaves, and all nodes are killed',
    (mesh, random) => {
      mesh.pickMachine().server.retire(longestServingMilliseconds * random.next());
      mesh.queue.after(300 * random.next(), () => {
        for (const machine of mesh.machines) mesh.restart(machine, 300 * random.next());
      });
    },
  ],
  [
    'a server leaves, and the nodes are killed one after another',
    (mesh, random) => {
      mesh.pickMachine().server.retire(longestServingMilliseconds * random.next());
      for (const machine of mesh.machines) {
        mesh.queue.after(1_000 * random.next(), () => {
          mesh.restart(machine, 100 * random.next());
        });
      }
    },
  ],
  [
    'a server leaves and its node is killed, beside a store that refuses the node for some of the time',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      mesh.queue.after(500 * random.next(), () => {
        machine.server.retire(longestServingMilliseconds * random.next());
      });
      mesh.queue.after(500 * random.next(), () => {
        mesh.restart(machine, 300 * random.next());
      });
      mesh.queue.after(500 * random.next(), () => {
        machine.canReadStore = false;
        mesh.queue.after(2_000 * random.next(), () => {
          machine.canReadStore = true;
        });
      });
    },
  ],
];

/** Additional faults if the simulation includes restores of the store. */
const storeRestoreFaults: readonly NamedFault[] = [
  [
    'restore the store from a backup',
    (mesh, random) => {
      mesh.restoreStore(5_000 * random.next());
    },
  ],
  [
    'restore the store right after a change',
    (mesh, random) => {
      mesh.configure();
      mesh.queue.after(200 * random.next(), () => {
        mesh.restoreStore(300 + 3_000 * random.next());
      });
    },
  ],
];

/** Additional faults if servers start cold. */
const coldServerFaults: readonly NamedFault[] = [
  [
    'evacuate a zone',
    (mesh, random) => {
      const { availabilityZone } = mesh.pickMachine();
      mesh.evacuate(availabilityZone, true);
      mesh.queue.after(500 + 2_500 * random.next(), () => {
        mesh.evacuate(availabilityZone, false);
      });
    },
  ],
  [
    'kill a node beside a cold server several times',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      machine.server.restart(random.next() < 0.5);
      for (const after of [150, 400, 700]) {
        mesh.queue.after(after, () => {
          mesh.kill(machine);
          mesh.start(machine);
        });
      }
    },
  ],
];

/** Additional faults if all nodes that watch the configuration may fail at once. */
const watcherFaults: readonly NamedFault[] = [
  [
    'cut all watchers off from the store and change the configuration',
    (mesh, random) => {
      mesh.cutWatchers(3_000 + 3_000 * random.next());
      mesh.queue.after(500 * random.next(), () => {
        mesh.configure();
      });
    },
  ],
];

/** Additional faults if keys are removed. */
const removedKeyFaults: readonly NamedFault[] = [false, true].map((isSuspended): NamedFault => [
  `isolate a node${isSuspended ? ', suspended,' : ''} and change the configuration`,
  (mesh, random) => {
    if (mesh.queue.now > latestIsolationMilliseconds) return;
    mesh.isolate(mesh.pickMachine(), 3_000 + 1_000 * random.next(), isSuspended);
    mesh.queue.after(500 * random.next(), () => {
      mesh.configure();
    });
  },
]);

/** The limit has to end before the mesh must have recovered. */
const latestLimitMilliseconds = 5_000;

/** Additional faults if servers may state that they take few requests. */
const limitedServerFaults: readonly NamedFault[] = [
  [
    'a server takes few requests',
    (mesh, random) => {
      if (mesh.queue.now > latestLimitMilliseconds) return;
      mesh.pickMachine().server.stateLimit(1 + 6 * random.next(), 8_000);
    },
  ],
];

/** Additional faults if a request crashes servers. */
const deadlyRequestFaults: readonly NamedFault[] = [
  [
    'kill all nodes',
    (mesh) => {
      for (const machine of mesh.machines) {
        mesh.kill(machine);
        mesh.queue.after(300, () => {
          mesh.start(machine);
        });
      }
    },
  ],
];

/** Additional faults if connections go silent. */
const silentConnectionFaults: readonly NamedFault[] = [
  ...Object.values(SilentDirection).map((direction): NamedFault => [
    `some connections go silent (${direction})`,
    (mesh, random) => {
      const share = random.next();
      mesh.links.silence(() => random.next() < share, direction);
    },
  ]),
  [
    'all connections go silent',
    (mesh) => {
      mesh.links.silence(() => true, SilentDirection.Both);
    },
  ],
  [
    'connections are suspected wrongly',
    (mesh, random) => {
      mesh.links.suspectWrongly(() => random.next() < 0.5, 400 * random.next());
    },
  ],
];

/** What a simulation contains that has faults of its own. */
export interface FaultOptions {
  readonly cutsWatchers: boolean;
  readonly departs: boolean;
  readonly isLargeFleet: boolean;
  readonly limitsServers: boolean;
  readonly replacesKeys: boolean;
  readonly restoresStore: boolean;
  readonly sendsDeadlyRequest: boolean;
  readonly silencesConnections: boolean;
  readonly startsCold: boolean;
}

/** The faults that may be injected; those that an option adds are listed twice, so that they are more frequent. */
export function selectFaults({
  cutsWatchers,
  departs,
  isLargeFleet,
  limitsServers,
  replacesKeys,
  restoresStore,
  sendsDeadlyRequest,
  silencesConnections,
  startsCold,
}: FaultOptions): readonly NamedFault[] {
  return [
    ...faults,
    ...(departs ? [...departureFaults, ...departureFaults] : []),
    ...(cutsWatchers ? [...watcherFaults, ...watcherFaults] : []),
    ...(limitsServers ? [...limitedServerFaults, ...limitedServerFaults] : []),
    ...(replacesKeys ? removedKeyFaults : []),
    ...(sendsDeadlyRequest ? deadlyRequestFaults : []),
    ...(silencesConnections ? silentConnectionFaults : []),
    ...(isLargeFleet ? largeFleetFaults : []),
    ...(startsCold ? [...coldServerFaults, ...coldServerFaults] : []),
    ...(restoresStore ? [...storeRestoreFaults, ...storeRestoreFaults] : []),
  ];
}
