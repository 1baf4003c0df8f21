import { emptyConfiguration, type Configuration } from '@peridotspring/core';
import { createLoopbackOptions } from '@peridotspring/http-server/fixtures';
import { parseStatement } from '@peridotspring/language';
import { Metrics, OperatorServer, type OperatorBackend } from '@peridotspring/operators';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { ExitCode, runProgram, type Terminal } from '../src/index.js';

let configuration: Configuration = emptyConfiguration;
let isStoreReachable = true;
const committed = new Map<string, number>();

/** A node without peers. While the store is unreachable, changes are committed without an answer. */
const backend: OperatorBackend = {
  configuration: () => configuration,
  gather: () => Promise.resolve({ missing: [], revisions: [], rows: [] }),
  members: () => [],
  survey: ({ revision: asked }) => {
    const { revision } = configuration;
    const named = revision < asked ? [{ revision, server: 'regina-1' }] : [];
    const lacking = { count: named.length, named };
    const missing = { count: 0, named: [] };
    return Promise.resolve(new Map([['regina-hall', { lacking, members: 1, missing }]]));
  },
  answerZoneQuestion: () => Promise.resolve({ kind: 'failed', cause: 'no members' }),
  propose: ({ changeId, configuration: proposed }) => {
    configuration = { ...proposed, revision: configuration.revision + 1 };
    committed.set(changeId, configuration.revision);
    const { revision } = configuration;
    return Promise.resolve(
      isStoreReachable ? { kind: 'accepted', revision } : { kind: 'unresolved' },
    );
  },
  readiness: () => ({ causes: [], ready: true }),
  localRows: () =>
    Promise.resolve([
      { revision: configuration.revision, server: 'regina-1', zone: 'regina-hall' },
    ]),
  server: 'regina-1',
  lookUpChange: (changeId) => {
    const revision = committed.get(changeId);
    if (!isStoreReachable) return Promise.resolve({ kind: 'unresolved' });
    return Promise.resolve(
      revision === undefined
        ? { kind: 'not-found', revision: configuration.revision }
        : { kind: 'in-force', revision },
    );
  },
};

const server = new OperatorServer({
  ...createLoopbackOptions(),
  backend,
  metrics: new Metrics(),
  parser: { parse: (text) => Promise.resolve(parseStatement(text)) },
  secrets: { current: 'operator-secret-1' },
});
let address = '';

const port = suite('peridotctl and the operator port');
port.before(async () => {
  address = `127.0.0.1:${await server.listen()}`;
});
port.after(() => server.close());

async function run(
  argumentList: readonly string[],
  secret = 'operator-secret-1',
): Promise<{ readonly code: ExitCode; readonly out: string }> {
  let out = '';
  const terminal: Terminal = {
    ask: () => Promise.resolve('no'),
    error: (text) => (out += `${text}\n`),
    isInteractive: false,
    out: (text) => (out += `${text}\n`),
    readInput: () => Promise.resolve('declare service provenance ramp 5s'),
  };
  const connection = ['--address', address, '--secret', secret, '--resolve', '5s'];
  return { code: await runProgram([...connection, ...argumentList], terminal), out };
}

/** Arguments, exit code, and what is printed. */
const runs: readonly (readonly [readonly string[], ExitCode, RegExp])[] = [
  [['apply', '-f', '-'], ExitCode.Done, /^accepted, revision 1, change .*\n\+ service provenance/],
  [['apply', '-f', '-'], ExitCode.Done, /^unchanged, revision 1/],
  [['drain', 'zone', 'regina-hall', '--yes', '--wait'], ExitCode.Done, /in force everywhere/],
  [['query', 'change service issuance ramp 1s'], ExitCode.Usage, /a declared service/],
  [['query', 'show revision where revision = 2'], ExitCode.Done, /regina-1 +regina-hall +2 +true/],
  [['--output', 'json', 'query', 'show revision'], ExitCode.Done, /"server": "regina-1"/],
  [['wait', '--revision', '9', '--up-to', '10ms'], ExitCode.Partial, /not in force everywhere yet/],
];

for (const [argumentList, code, printed] of runs) {
  port(`the tool understands the port: ${argumentList.join(' ')}`, async () => {
    const result = await run(argumentList);
    assert.is(result.code, code, result.out);
    assert.match(result.out, printed);
  });
}

port('a wrong secret is told apart from other failures', async () => {
  assert.is((await run(['wait'], 'other-secret')).code, ExitCode.Forbidden);
});

port('an unresolved change is reported as made once the store answers again', async () => {
  isStoreReachable = false;
  setTimeout(() => {
    isStoreReachable = true;
  }, 300);
  const result = await run(['restore', 'zone', 'regina-hall']);
  assert.is(result.code, ExitCode.Done, result.out);
  assert.match(result.out, /the change was made/);
});

port.run();
