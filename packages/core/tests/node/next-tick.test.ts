import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { CoreCommand } from '../../src/index.js';
import { SingleNode, tickMilliseconds } from './single-node.js';

type Script = (node: SingleNode) => void;

interface Emitted {
  readonly at: number;
  readonly command: CoreCommand;
}

/** Runs a script with ticks every 10 ms, or only with those that the core asks for. */
function emitted(script: Script, onDemand: boolean): { commands: Emitted[]; ticks: number } {
  const node = new SingleNode();
  node.ticksOnDemand = onDemand;
  const commands: Emitted[] = [];
  node.observe = (command) => commands.push({ at: node.monotonic, command });
  script(node);
  return { commands, ticks: node.ticks };
}

const scripts: Readonly<Record<string, Script>> = {
  'a quiet node': (node) => {
    node.serve(4);
    node.run(20_000);
  },
  'calls that reach their deadline while they run': (node) => {
    node.serve(1);
    node.run(6_005);
    node.request('idempotent', { deadlineMilliseconds: 333 });
    node.run(2_000);
  },
  'a request that waits in the queue of the gate': (node) => {
    node.serve(1);
    for (let sent = 0; sent < 3; sent += 1) {
      node.request('idempotent', { deadlineMilliseconds: 500 });
    }
    node.run(2_000);
  },
  'a keyed request whose attempt does not end': (node) => {
    node.serve(2);
    node.run(6_000);
    node.request('non-idempotent', { deadlineMilliseconds: 700, key: 'a' });
    node.run(3_000);
  },
  'a planned stop': (node) => {
    node.serve(2);
    node.run(6_000);
    node.send({ kind: 'stop' });
    node.run(3_000);
  },
};

/** Commands by kind with the time of each, so that those of one tick may come in another order. */
function timesByKind(commands: readonly Emitted[]): ReadonlyMap<string, readonly number[]> {
  const times = new Map<string, number[]>();
  for (const { at, command } of commands) {
    const kind = command.kind === 'send-frame' ? command.frame.kind : command.kind;
    times.set(kind, [...(times.get(kind) ?? []), at]);
  }
  return times;
}

for (const [name, script] of Object.entries(scripts)) {
  test(`no command is late or left out because ticks are skipped: ${name}`, () => {
    const always = timesByKind(emitted(script, false).commands);
    const onDemand = timesByKind(emitted(script, true).commands);
    assert.equal([...onDemand.keys()].sort(), [...always.keys()].sort());
    for (const [kind, times] of always) {
      const others = onDemand.get(kind) ?? [];
      // Rounds that start a few ms later each time may lose one of 20.
      assert.ok(Math.abs(others.length - times.length) <= times.length / 20, kind);
      for (const [index, at] of times.entries()) {
        const other = others[index] ?? at;
        assert.ok(Math.abs(other - at) <= 2 * tickMilliseconds, `${kind}: ${at}, ${other}`);
      }
    }
  });
}

test('a quiet node needs a third of the ticks at most, and none is more than 50 ms away', () => {
  const { ticks } = emitted((node) => {
    node.serve(4);
    node.ticks = 0;
    node.run(30_000);
  }, true);
  assert.ok(ticks >= 600 && ticks <= 1_000, `${ticks} ticks`);
});

test.run();
