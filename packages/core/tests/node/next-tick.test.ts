import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { CoreCommand } from '../../src/index.js';
import { SingleNode, tickMilliseconds } from './single-node.js';

type Scenario = (node: SingleNode) => void;

interface TimedCommand {
  readonly at: number;
  readonly command: CoreCommand;
}

/** Runs a scenario either with a tick every 10 ms, or only with the ticks requested by `nextTickAt`. */
function runScenario(
  scenario: Scenario,
  ticksOnDemand: boolean,
): { commands: TimedCommand[]; ticks: number } {
  const node = new SingleNode();
  node.isTickingOnDemand = ticksOnDemand;
  const commands: TimedCommand[] = [];
  node.onCommand = (command) => commands.push({ at: node.monotonic, command });
  scenario(node);
  return { commands, ticks: node.tickCount };
}

const scenarios: Readonly<Record<string, Scenario>> = {
  'an idle node': (node) => {
    node.startServing(4);
    node.advance(20_000);
  },
  'calls that reach their deadline while running': (node) => {
    node.startServing(1);
    node.advance(6_005);
    node.sendRequest('idempotent', { deadlineMilliseconds: 333 });
    node.advance(2_000);
  },
  'requests waiting in the gate queue': (node) => {
    node.startServing(1);
    for (let sent = 0; sent < 3; sent += 1) {
      node.sendRequest('idempotent', { deadlineMilliseconds: 500 });
    }
    node.advance(2_000);
  },
  'a keyed request whose attempt never finishes': (node) => {
    node.startServing(2);
    node.advance(6_000);
    node.sendRequest('non-idempotent', { deadlineMilliseconds: 700, key: 'a' });
    node.advance(3_000);
  },
  'a graceful shutdown': (node) => {
    node.startServing(2);
    node.advance(6_000);
    node.deliver({ kind: 'stop' });
    node.advance(3_000);
  },
};

/**
 * Groups the times of the commands by kind, so that the order of commands within one tick is
 * ignored.
 */
function timesByKind(commands: readonly TimedCommand[]): ReadonlyMap<string, readonly number[]> {
  const times = new Map<string, number[]>();
  for (const { at, command } of commands) {
    const kind = command.kind === 'send-frame' ? command.frame.kind : command.kind;
    times.set(kind, [...(times.get(kind) ?? []), at]);
  }
  return times;
}

for (const [name, scenario] of Object.entries(scenarios)) {
  test(`skipping ticks neither delays nor omits commands: ${name}`, () => {
    const always = timesByKind(runScenario(scenario, false).commands);
    const onDemand = timesByKind(runScenario(scenario, true).commands);
    assert.equal([...onDemand.keys()].sort(), [...always.keys()].sort());
    for (const [kind, times] of always) {
      const others = onDemand.get(kind) ?? [];
      // Periodic commands that start a few ms later in each round may lose one round in 20.
      assert.ok(Math.abs(others.length - times.length) <= times.length / 20, kind);
      for (const [index, at] of times.entries()) {
        const other = others[index] ?? at;
        assert.ok(Math.abs(other - at) <= 2 * tickMilliseconds, `${kind}: ${at}, ${other}`);
      }
    }
  });
}

test('an idle node ticks at most a third as often, but at least every 50 ms', () => {
  const { ticks } = runScenario((node) => {
    node.startServing(4);
    node.tickCount = 0;
    node.advance(30_000);
  }, true);
  assert.ok(ticks >= 600 && ticks <= 1_000, `${ticks} ticks`);
});

test.run();
